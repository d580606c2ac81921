package brittle

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// The slots of an endpoint that do not divide evenly go to the instances that come first for it by rendezvous hashing.
// Where a service has few endpoints, some instances would get many of these slots and others none, while all of them
// may get as many requests. So an instance that has as many as the mean over the service comes last.

// maxDivided bounds the product of endpoints and instances up to which slots are divided with regard to the mean. With
// more, the hashing alone divides them evenly enough.
const maxDivided = 20_000

// divisionOverlap is how long after a change of the endpoints or instances a share is not above what it was
// before: other instances may learn of the change later, and use their former shares.
const divisionOverlap = time.Second

// division is how the slots of the endpoints of a service are divided.
type division struct {
	endpoints []registry.Endpoint // of the service; compared by identity, as the slice does not change
	others    []string            // names of the other instances
	share     map[string]int      // slots of this instance, by endpoint
	before    map[string]int      // the same before the division changed
	until     time.Time           // until when before holds as well
}

// shareAt returns the slots of this instance at an endpoint, and whether the division has that endpoint.
func (d *division) shareAt(endpoint string, now time.Time) (n int, ok bool) {
	n, ok = d.share[endpoint]
	if before, had := d.before[endpoint]; had && now.Before(d.until) {
		n = min(n, before)
	}
	return n, ok
}

// share returns how many requests this instance may have at an endpoint without any risk of a
// rejection, if the others are those named, in order.
func (t *Table) share(e *registry.Endpoint, others []string, now time.Time) int {
	if len(others) == 0 && now.Sub(t.options.Start) < aloneAfter {
		return 0
	}
	if n, ok := t.divisionOf(e.Service, others, now).shareAt(e.ID, now); ok {
		return n
	}
	return divide([]registry.Endpoint{*e}, t.options.Slots, t.options.Self, others)[e.ID]
}

// divisionOf returns how the slots of a service are divided, computed again if the endpoints or instances changed.
func (t *Table) divisionOf(service string, others []string, now time.Time) *division {
	var endpoints []registry.Endpoint
	if t.options.Endpoints != nil {
		endpoints = t.options.Endpoints(service)
	}
	if len(endpoints)*(len(others)+1) > maxDivided {
		endpoints = nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.divisions[service]
	if d != nil && sameSlice(d.endpoints, endpoints) && slices.Equal(d.others, others) {
		return d
	}
	next := &division{endpoints: endpoints, others: others, share: divide(endpoints, t.options.Slots, t.options.Self, others)}
	if d != nil && !maps.Equal(d.share, next.share) {
		next.before, next.until = make(map[string]int, len(d.share)), now.Add(divisionOverlap)
		for id := range d.share {
			next.before[id], _ = d.shareAt(id, now)
		}
	} else if d != nil {
		next.before, next.until = d.before, d.until
	}
	t.divisions[service] = next
	return next
}

func sameSlice(a, b []registry.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// divide returns the slots of the instance self at each endpoint, by ID. All instances get the same result from the
// same endpoints and instances.
func divide(endpoints []registry.Endpoint, slots func(*registry.Endpoint) int, self string, others []string) map[string]int {
	names := append(slices.Clone(others), self)
	endpoints = slices.SortedFunc(slices.Values(endpoints), func(a, b registry.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	uneven := 0 // slots that do not divide evenly
	for i := range endpoints {
		uneven += slots(&endpoints[i]) % len(names)
	}
	most := (uneven + len(names) - 1) / len(names)
	share, given := make(map[string]int, len(endpoints)), make(map[string]int, len(names))
	for i := range endpoints {
		e := &endpoints[i]
		order := rendezvous.Order(rendezvous.Hash(e.ID), names)
		over := func(name string) int { return max(0, given[name]+1-most) }
		slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(over(a), over(b)) })
		n := slots(e)
		share[e.ID] = n / len(names)
		for _, name := range order[:n%len(names)] {
			given[name]++
			if name == self {
				share[e.ID]++
			}
		}
	}
	return share
}
