package peerproxy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	minAvoid = 500 * time.Millisecond // how long an instance that refused a request is not asked again
	maxAvoid = 4 * time.Second        // this doubles up to here, so that a fleet that is mostly cut off does not spend its time on refusals
)

// chooser chooses the instances that are asked to serve requests. It does no I/O.
//
// Instances are asked in the order of the requests that they serve for this one, so that those that
// are left after most of a hall is cut off share the work evenly. Those of this instance's hall come
// first among equals. It is safe for concurrent use.
type chooser struct {
	mu      sync.Mutex
	open    map[string]int              // requests that an instance serves for this one; guarded by mu
	avoided map[avoidedInstance]avoided // guarded by mu
}

// avoidedInstance is an instance that refused requests to a service.
type avoidedInstance struct{ instance, service string }

type avoided struct {
	until time.Time
	next  time.Duration // how long it is avoided after the next refusal
}

func newChooser() *chooser {
	return &chooser{open: make(map[string]int), avoided: make(map[avoidedInstance]avoided)}
}

// choose returns the instance to ask next for a request, other than those already asked, and counts
// the request there. The second result is false if there is none.
func (c *chooser) choose(others []topology.Member, hall, service, request string, asked []string, now time.Time) (topology.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := lo.Filter(others, func(m topology.Member, _ int) bool {
		return !slices.Contains(asked, m.Name) && !now.Before(c.avoided[avoidedInstance{m.Name, service}].until)
	})
	if len(candidates) == 0 {
		return topology.Member{}, false
	}
	key := rendezvous.Hash(request)
	best := slices.MinFunc(candidates, func(a, b topology.Member) int {
		return cmp.Or(
			cmp.Compare(c.open[a.Name], c.open[b.Name]),
			cmp.Compare(otherHall(a, hall), otherHall(b, hall)),
			cmp.Compare(rendezvous.Score(key, a.Name), rendezvous.Score(key, b.Name)),
		)
	})
	c.open[best.Name]++
	return best, true
}

// otherHall returns 1 for an instance of another hall, else 0.
func otherHall(m topology.Member, hall string) int {
	if m.Hall == hall {
		return 0
	}
	return 1
}

// done records that an instance no longer serves a request for this one.
func (c *chooser) done(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[instance]--; c.open[instance] <= 0 {
		delete(c.open, instance)
	}
}

// refused records that an instance did not accept a request to a service.
func (c *chooser) refused(instance, service string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := avoidedInstance{instance, service}
	wait := max(minAvoid, c.avoided[key].next)
	c.avoided[key] = avoided{until: now.Add(wait), next: min(2*wait, maxAvoid)}
}

// accepted records that an instance accepted a request to a service.
func (c *chooser) accepted(instance, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.avoided, avoidedInstance{instance, service})
}

// expire drops refusals that are so old that they no longer count.
func (c *chooser) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, a := range c.avoided {
		if now.Sub(a.until) > maxAvoid {
			delete(c.avoided, key)
		}
	}
}
