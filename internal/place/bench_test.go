package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/overload"
)

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Decide(overload.Request, overload.Forecast, time.Time) overload.Decision {
	return overload.Decision{Admitted: true}
}

func (admitAll) Share(string, string, time.Time) overload.Share { return overload.Share{} }

func (admitAll) Declined(overload.Request, time.Time) {}

// BenchmarkOffer measures an offer of a hub in a deployment with 2,300 endpoints, of which the hub
// owns 40 to 400, with a decision on the request and without, at 1,000 offers a second and at 100. At
// 100, each decision sums the load of all endpoints again.
func BenchmarkOffer(b *testing.B) {
	const total, open = 2300, 8
	all := endpoints(total)
	for _, owned := range []int{40, 383, 400} {
		for _, c := range []struct {
			name    string
			decided bool
			between time.Duration // offers
		}{
			{"undecided", false, time.Millisecond},
			{"undecided_slow", false, 10 * time.Millisecond},
			{"decided", true, time.Millisecond},
			{"decided_slow", true, 10 * time.Millisecond},
		} {
			b.Run(fmt.Sprintf("owned=%d/%s", owned, c.name), func(b *testing.B) {
				loads := loadreport.New()
				for i := range all {
					loads.Observe(&all[i], loadreport.Report{Running: 3, Slots: 16, Slowdown: 1}, start)
				}
				d, now, served := New(start, loads), start, 0
				if c.decided {
					d.SetAdmission(admitAll{}, func(string) float64 { return 1 }, ignoreShare)
				}
				requester := Requester{"a", 1}
				r := prompt("x")
				var tickets []uint64
				b.ReportAllocs()
				for b.Loop() {
					o, ok := d.Offer(requester, all[:owned], r, now.Add(time.Minute), now)
					if !ok {
						b.Fatal("no offer")
					}
					if tickets = append(tickets, o.Ticket); len(tickets) > open*owned {
						d.Update(Progress{Ticket: tickets[0], Done: true}, now)
						tickets = tickets[1:]
					}
					// Reports have to stay recent to count.
					e := &all[served%owned]
					served++
					loads.Observe(e, loadreport.Report{Running: 3, Slots: 16, Slowdown: 1}, now)
					now = now.Add(c.between)
				}
			})
		}
	}
}
