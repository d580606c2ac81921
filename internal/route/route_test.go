package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/prefix"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testPool(n, halls int) *Pool {
	p := NewPool("m")
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		e := NewEndpoint(fmt.Sprintf("e%04d", i), 1, addr, fmt.Sprintf("hall-%02d", i%halls), "m", 1000, t0.Add(-time.Hour))
		e.Report(Load{At: t0, PromptTokenTime: 100 * time.Microsecond, TokenInterval: 10 * time.Millisecond}, 0)
		p = p.With(e)
	}
	return p
}

func TestAffinityEndpointsAreEvenAndStable(t *testing.T) {
	is := is.New(t)
	p := testPool(40, 4)
	removed := p.at(7)
	q := p.Without(removed.ID)
	sessionsOf := make(map[string]int)
	moved := 0
	const sessions = 20_000
	for s := range uint64(sessions) {
		var a, b [affinityCount]*Endpoint
		AffinityEndpoints(p, mix(s, 1), a[:])
		AffinityEndpoints(q, mix(s, 1), b[:])
		sessionsOf[a[0].ID]++
		if a[0] != removed && a[0] != b[0] {
			moved++
		}
		is.True(a[0].Hall != a[2].Hall) // the last affinity endpoint is in another hall
	}
	for id, n := range sessionsOf {
		if n < sessions/40*7/10 || n > sessions/40*13/10 {
			t.Errorf("%s is the first affinity endpoint of %d sessions, want about %d", id, n, sessions/40)
		}
	}
	is.True(moved < sessions*2/100) // removing one endpoint moves few sessions of the others
}

func TestDefaultPolicyPrefersCacheUntilQueueIsLong(t *testing.T) {
	is := is.New(t)
	p := testPool(10, 2)
	prompt := strings.Repeat("w", 8000)
	r := &Request{Session: 42, Chain: prefix.Chain("m", prompt), Tokens: 2000, Priority: 5, LatencyTarget: 2 * time.Second, RecomputePenalty: 0.05}
	first, ok := New(PolicyDefault).Choose(p, r, t0)
	is.True(ok)
	first.Endpoint.Blocks.Add(r.Chain...)
	busy := Load{At: t0, PromptTokenTime: 100 * time.Microsecond, TokenInterval: 10 * time.Millisecond}
	busy.QueuedTokens[5] = 1500
	first.Endpoint.Report(busy, 0)
	again, _ := New(PolicyDefault).Choose(p, r, t0)
	is.Equal(again.Endpoint.ID, first.Endpoint.ID) // 150 ms of queue costs less than recomputing 2,000 tokens
	busy.QueuedTokens[5] = 30_000
	first.Endpoint.Report(busy, 0)
	late, _ := New(PolicyDefault).Choose(p, r, t0)
	is.True(late.Endpoint.ID != first.Endpoint.ID) // 3 s of queue costs more
}

func TestHigherPriorityDoesNotCountLowerQueue(t *testing.T) {
	is := is.New(t)
	e := testPool(1, 1).at(0)
	l := Load{At: t0, PromptTokenTime: time.Millisecond}
	l.QueuedTokens[2] = 1000
	e.Report(l, 0)
	is.Equal(Estimate(e, &Request{Tokens: 10, Priority: 7}, t0).FirstToken, 10*time.Millisecond)
	is.Equal(Estimate(e, &Request{Tokens: 10, Priority: 2}, t0).FirstToken, 1010*time.Millisecond)
}

func TestStaleLoadIsPenalized(t *testing.T) {
	is := is.New(t)
	p := testPool(2, 1)
	p.at(1).Report(Load{At: t0.Add(10 * time.Second), PromptTokenTime: 100 * time.Microsecond, TokenInterval: 10 * time.Millisecond}, 0)
	d, _ := New(PolicyDefault).Choose(p, &Request{Tokens: 100, LatencyTarget: time.Second}, t0.Add(10*time.Second))
	is.Equal(d.Endpoint.ID, p.at(1).ID)
}

func TestEveryPolicyAvoidsEjectedAndFailedEndpoints(t *testing.T) {
	for _, name := range []string{PolicyDefault, PolicyRoundRobin, PolicyLeastLoaded, PolicySessionHash} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := testPool(6, 2)
			for i := range 3 {
				for range ejectionThreshold {
					p.at(i).Failed(t0)
				}
			}
			policy := New(name)
			rnd := rand.New(rand.NewPCG(1, 2))
			for range 200 {
				r := &Request{Session: rnd.Uint64(), Random: rnd.Uint64(), Tokens: 10, LatencyTarget: time.Second, Avoid: []string{p.at(3).ID}}
				d, ok := policy.Choose(p, r, t0)
				is.True(ok)
				is.True(!d.Endpoint.Unavailable(t0))
				is.True(d.Endpoint.ID != p.at(3).ID)
			}
			for i := range 6 {
				for range ejectionThreshold {
					p.at(i).Failed(t0)
				}
			}
			_, ok := policy.Choose(p, &Request{Tokens: 10, LatencyTarget: time.Second}, t0)
			is.True(ok) // if all endpoints are ejected, one is tried nevertheless
		})
	}
}

// A backoff requested by an endpoint lasts until its end for every policy: neither a
// successful call, a failure nor an earlier end time shortens it.
func TestRequestedBackoffIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := testPool(1, 1)
	e := p.at(0)
	is.True(e.SetBackoff(now.Add(3*time.Second), now))
	is.True(!e.SetBackoff(now.Add(time.Second), now))
	e.Succeeded(time.Millisecond)
	e.Failed(now)
	for _, name := range []string{PolicyDefault, PolicyRoundRobin, PolicyLeastLoaded, PolicySessionHash} {
		_, ok := New(name).Choose(p, &Request{}, now.Add(2*time.Second))
		is.True(!ok)
		_, ok = New(name).Choose(p, &Request{}, now.Add(3*time.Second))
		is.True(ok)
	}
	is.True(e.SetBackoff(now.Add(9*time.Second), now.Add(5*time.Second))) // a new backoff
}

func TestPoolKeepsOneIncarnation(t *testing.T) {
	is := is.New(t)
	p := testPool(5, 2)
	e := NewEndpoint("e0003", 2, netip.AddrPort{}, "hall-00", "m", 10, t0)
	q := p.With(e)
	is.Equal(q.Size, 5)
	is.Equal(q.Find("e0003").Incarnation, uint64(2))
	is.Equal(p.Find("e0003").Incarnation, uint64(1)) // the original pool is unchanged
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{23, 230, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := testPool(n, min(20, n/5))
			chain := prefix.Chain("m", strings.Repeat("w", 8000))
			r := &Request{Chain: chain, Tokens: 2000, Priority: 5, LatencyTarget: time.Second, RecomputePenalty: 0.05}
			policy := New(PolicyDefault)
			b.ReportAllocs()
			for i := range b.N {
				r.Session, r.Random = uint64(i)*7919, uint64(i)
				policy.Choose(p, r, t0)
			}
		})
	}
}

func BenchmarkPoolChange(b *testing.B) {
	for _, n := range []int{23, 230, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := testPool(n, min(20, n/5))
			e := NewEndpoint("e0003", 2, netip.AddrPort{}, "hall-03", "m", 10, t0)
			b.ReportAllocs()
			for range b.N {
				p.With(e)
			}
		})
	}
}
