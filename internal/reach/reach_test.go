package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

func endpoints(n int) []registry.Endpoint {
	out := make([]registry.Endpoint, n)
	for i := range out {
		out[i].ID = fmt.Sprint("e", i)
	}
	return out
}

// paths simulates the paths of an instance to its endpoints, and its probes.
type paths struct {
	*Tracker
	listed []registry.Endpoint
	cut    map[string]bool
	now    time.Time
}

func newPaths(n int) *paths {
	p := &paths{Tracker: New(), listed: endpoints(n), cut: make(map[string]bool), now: time.Unix(1000, 0)}
	p.Due(p.listed, p.now)
	return p
}

// connect makes a connection attempt.
func (p *paths) connect(id string) bool {
	if p.cut[id] {
		p.Failed(id, p.now)
		return false
	}
	p.Connected(id, p.now)
	return true
}

// run lets a time pass, with probes every 100 ms.
func (p *paths) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		due := p.Due(p.listed, p.now)
		if len(due) == 0 {
			continue
		}
		succeeded := 0
		for _, e := range due {
			if p.connect(e.ID) {
				succeeded++
			}
		}
		p.Probed(len(due), succeeded)
	}
}

func (p *paths) reachable() int { return len(p.Reachable(p.listed)) }

func TestEndpointsThatFailAloneDoNotCutTheInstanceOff(t *testing.T) {
	is := is.New(t)
	p := newPaths(20)
	for i := range 10 {
		p.cut[p.listed[i].ID] = true
		is.True(!p.connect(p.listed[i].ID))
		is.True(p.connect(p.listed[19].ID)) // one that works is used in between
		is.True(!p.Lost())
		is.Equal(p.reachable(), 19-i)
	}
}

// Guards against taking crashes of three endpoints, tried one after the other, for the loss of all paths.
func TestThreeCrashedEndpointsDoNotCutTheInstanceOff(t *testing.T) {
	is := is.New(t)
	p := newPaths(12)
	for _, e := range p.listed[:3] {
		p.cut[e.ID] = true
		is.True(!p.connect(e.ID))
	}
	is.True(!p.Lost())
	is.Equal(p.reachable(), 9)
}

// Guards against counting as cut off for as long as crashed endpoints are down, although others work.
func TestAnInstanceThatOnlyTriedCrashedEndpointsFindsTheOthers(t *testing.T) {
	is := is.New(t)
	p := newPaths(24)
	for _, e := range p.listed[:12] {
		p.cut[e.ID] = true
		is.True(!p.connect(e.ID))
	}
	is.True(p.Lost())
	p.run(2 * ProbeInterval)
	is.True(!p.Lost())
	is.Equal(p.reachable(), 12)
}

// Guards against trying every endpoint of a large fleet before the instance knows that it is cut off.
func TestAFewFailuresInARowCutTheInstanceOff(t *testing.T) {
	is := is.New(t)
	p := newPaths(2300)
	for _, e := range p.listed {
		p.cut[e.ID] = true
	}
	for i := range lostAfter {
		is.True(!p.Lost())
		is.True(!p.connect(p.listed[i].ID))
	}
	is.True(p.Lost())
	is.Equal(p.reachable(), 0)
	p.run(10 * time.Second)
	is.True(p.Lost())
}

// Guards against a partition that stays in force here after it has ended.
func TestAllEndpointsAreReachableSoonAfterAPartition(t *testing.T) {
	for _, n := range []int{1, 2, 22, 2300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			p := newPaths(n)
			for _, e := range p.listed {
				p.cut[e.ID] = true
				p.connect(e.ID)
			}
			p.run(5 * time.Second)
			is.Equal(p.reachable(), 0)
			clear(p.cut)
			p.run(200 * time.Millisecond)
			is.True(!p.Lost())
			p.run(time.Second)
			is.Equal(p.reachable(), n)
		})
	}
}

// Guards against noticing only from time-outs of open connections that no path delivers anything.
func TestSilenceOfAllEndpointsIsProbed(t *testing.T) {
	is := is.New(t)
	p := newPaths(22)
	p.Received(p.now)
	p.run(5 * time.Second) // nothing is awaited
	is.True(!p.Lost())
	for _, e := range p.listed {
		p.cut[e.ID] = true
	}
	p.Sent(p.now)
	p.run(200 * time.Millisecond)
	is.True(!p.Lost())
	p.run(200 * time.Millisecond)
	is.True(p.Lost())
}

// A response that takes long is no sign of a partition: the probes succeed, and are few.
func TestALongResponseCostsFewProbes(t *testing.T) {
	is := is.New(t)
	p := newPaths(22)
	p.Sent(p.now)
	probes := 0
	for range 100 { // 10 s
		due := p.Due(p.listed, p.now)
		for _, e := range due {
			p.connect(e.ID)
		}
		probes += len(due)
		p.now = p.now.Add(100 * time.Millisecond)
	}
	is.True(probes <= 10*sampleSize)
	is.Equal(p.reachable(), 22)
}

func TestEndpointsThatAreGoneNoLongerCount(t *testing.T) {
	is := is.New(t)
	p := newPaths(3)
	for _, e := range p.listed {
		p.cut[e.ID] = true
		p.connect(e.ID)
	}
	is.True(p.Lost())
	p.Forget(func(string) bool { return false })
	is.True(!p.Lost())
	is.Equal(p.reachable(), 3)
}

// For any history of partitions and connection attempts: an endpoint counts as unreachable only after
// a failure, and everything counts as reachable a second after the last partition.
func TestRandomPartitions(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 63))
		p := newPaths(1 + rnd.IntN(40))
		failed := false
		for range 200 {
			e := p.listed[rnd.IntN(len(p.listed))].ID
			switch rnd.IntN(5) {
			case 0:
				p.cut[e] = rnd.IntN(2) == 0
			case 1:
				for _, x := range p.listed {
					p.cut[x.ID] = rnd.IntN(3) > 0
				}
			case 2:
				p.run(time.Duration(rnd.IntN(500)) * time.Millisecond)
			default:
				failed = !p.connect(e) || failed
			}
			if !failed && p.reachable() < len(p.listed) {
				t.Fatalf("seed %d: unreachable without a failure", seed)
			}
		}
		clear(p.cut)
		p.run(time.Second)
		if p.reachable() < len(p.listed) {
			t.Fatalf("seed %d: %d of %d reachable a second after the last partition", seed, p.reachable(), len(p.listed))
		}
	}
}

// Guards against unsafe requests that are sent to endpoints known to be unreachable, by an instance that lost its paths to
// one after the other while open connections still worked, and these last.
func TestAnInstanceWhoseOpenConnectionsFailLastCountsAsCutOff(t *testing.T) {
	is := is.New(t)
	p := newPaths(10)
	for _, e := range p.listed {
		p.cut[e.ID] = true
		p.connect(e.ID)
		p.Received(p.now) // on a connection that is open
	}
	for range 20 {
		p.run(100 * time.Millisecond)
		p.Received(p.now)
		is.True(!p.Lost()) // what is open may serve requests
	}
	p.run(time.Second)
	is.True(p.Lost())
	p.cut[p.listed[3].ID] = false
	p.run(time.Second)
	is.True(!p.Lost())
	is.Equal(p.reachable(), 1)
}
