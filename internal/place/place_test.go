package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

var start = time.Unix(1000, 0)

func endpoints(n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprint("s", i), Service: "llm"})
	}
	return out
}

func prompt(id string) *balance.Request {
	return &balance.Request{Service: "llm", ID: id, Engine: true, Slots: 4, Tokens: 1000}
}

// Requests of many instances that know nothing of each other are spread evenly over the endpoints.
func TestASchedulerKnowsAllThatItPlaced(t *testing.T) {
	is := is.New(t)
	d := New(start, nil)
	got := make(map[string]int)
	for i := range 24 {
		o, ok := d.Offer(Requester{fmt.Sprint("n", i), 1}, endpoints(6), prompt(fmt.Sprint(i)), start.Add(time.Minute), start)
		is.True(ok)
		got[o.Endpoint]++
	}
	for id, n := range got {
		t.Log(id, n)
		is.True(n <= 4) // no endpoint exceeds its slots while another has a free one
	}
}

func TestEndedRequestsNoLongerCount(t *testing.T) {
	is := is.New(t)
	d := New(start, nil)
	all := func(string) bool { return true }
	offer := func(instance string, incarnation int64) Offer {
		o, ok := d.Offer(Requester{instance, incarnation}, endpoints(1), prompt("x"), start.Add(time.Minute), start)
		is.True(ok)
		return o
	}
	a := offer("a", 1)
	d.Update(Progress{Ticket: a.Ticket, PromptRead: true}, start)
	is.Equal(d.Open(), 1)
	d.Update(Progress{Ticket: a.Ticket, Done: true}, start)
	d.Update(Progress{Ticket: a.Ticket, Done: true}, start) // reported twice
	is.Equal(d.Open(), 0)
	offer("a", 1)
	offer("a", 2) // restarted: the earlier request ended with the process
	is.Equal(d.Open(), 1)
	offer("b", 1)
	d.Expire(func(instance string) bool { return instance != "a" }, all, start)
	is.Equal(d.Open(), 1)
	d.Expire(all, all, start.Add(2*time.Minute))
	is.Equal(d.Open(), 0)
}

func TestEachEndpointHasOneOwner(t *testing.T) {
	is := is.New(t)
	hubs := []string{"h1", "h2", "h3", "h4"}
	owners := make(map[string]int)
	for _, h := range hubs {
		for _, s := range Owned(h, []string{"h4", "h2", "h3", "h1"}, endpoints(80)) {
			owners[s.ID]++
		}
	}
	is.Equal(len(owners), 80)
	for _, n := range owners {
		is.Equal(n, 1)
	}
}
