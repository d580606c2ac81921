package peerproxy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	minAvoid = 500 * time.Millisecond // how long an instance that refused a request is not asked again
	maxAvoid = 4 * time.Second        // this doubles up to here, so that a fleet that is mostly cut off does not spend its time on refusals
	// maxRepeats is how many times a second instances that are not asked again yet are asked all the same, if nobody else
	// takes a request. The only one that has paths again may be among them.
	maxRepeats = 100
	// keepRefusals is how long a refusal counts in the order of the instances after the instance is asked again.
	keepRefusals = time.Minute
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
	repeats *rate.Limiter               // has a lock of its own
}

// avoidedInstance is an instance that refused requests to a service.
type avoidedInstance struct{ instance, service string }

type avoided struct {
	until    time.Time
	next     time.Duration // how long it is avoided after the next refusal
	askedAt  time.Time     // when it was last asked
	answered bool          // it refused, rather than not answer in time
}

func newChooser() *chooser {
	return &chooser{open: make(map[string]int), avoided: make(map[avoidedInstance]avoided), repeats: rate.NewLimiter(maxRepeats, maxAsked)}
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
			c.compareRefusals(a.Name, b.Name, service, asked),
			cmp.Compare(c.open[a.Name], c.open[b.Name]),
			cmp.Compare(otherHall(a, hall), otherHall(b, hall)),
			cmp.Compare(rendezvous.Score(key, a.Name), rendezvous.Score(key, b.Name)),
		)
	})
	c.open[best.Name]++
	return best, true
}

// chooseAvoided returns an instance to ask although it refused lately, other than those already asked, and counts the
// request there: the one that was asked longest ago. The second result is false if there is none, or if maxRepeats
// would be exceeded.
func (c *chooser) chooseAvoided(others []topology.Member, service string, asked []string, now time.Time) (topology.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := lo.Filter(others, func(m topology.Member, _ int) bool {
		return !slices.Contains(asked, m.Name) && c.avoided[avoidedInstance{m.Name, service}].answered
	})
	if len(candidates) == 0 || !c.repeats.AllowN(now, 1) {
		return topology.Member{}, false
	}
	best := slices.MinFunc(candidates, func(a, b topology.Member) int {
		return c.avoided[avoidedInstance{a.Name, service}].askedAt.Compare(c.avoided[avoidedInstance{b.Name, service}].askedAt)
	})
	key := avoidedInstance{best.Name, service}
	a := c.avoided[key]
	a.askedAt = now
	c.avoided[key] = a
	c.open[best.Name]++
	return best, true
}

// compareRefusals puts instances whose last answer was a refusal behind the others, once another instance was asked. A
// request asks one of them first at most: where most of the fleet is cut off, it would not get to those that are not.
// mu is held.
func (c *chooser) compareRefusals(a, b, service string, asked []string) int {
	if len(asked) == 0 {
		return 0
	}
	rank := func(name string) int {
		if _, refused := c.avoided[avoidedInstance{name, service}]; refused {
			return 1
		}
		return 0
	}
	return cmp.Compare(rank(a), rank(b))
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

// refused records that an instance did not accept a request to a service, and whether it said so.
func (c *chooser) refused(instance, service string, answered bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := avoidedInstance{instance, service}
	wait := minAvoid
	if last, ok := c.avoided[key]; ok && now.Sub(last.until) <= maxAvoid {
		wait = last.next
	}
	c.avoided[key] = avoided{until: now.Add(wait), next: min(2*wait, maxAvoid), askedAt: now, answered: answered}
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
		if now.Sub(a.until) > keepRefusals {
			delete(c.avoided, key)
		}
	}
}
