package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/payload"
)

const mib = 1 << 20

var start = time.Unix(1000, 0)

// body is a request whose body is read in a test.
type body struct {
	Lease
	mustYield bool
}

func (b *body) GiveWay() { b.mustYield = true }

func open(b *Budget, now time.Time) *body {
	r := &body{}
	b.Open(&r.Lease, r, now)
	return r
}

func grow(b *body, n int64, now time.Time) error {
	ended, end := context.WithCancel(context.Background())
	end() // so that Grow does not wait
	return b.Grow(ended, n, now)
}

// Guards against a crowd of bodies that hold all memory without an end while ordinary requests are refused.
func TestTheReaderThatStalledLongestGivesWay(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	first, second, third := open(b, start), open(b, start), open(b, start)
	for _, r := range []*body{first, second, third} {
		is.NoErr(grow(r, mib, start))
	}
	first.Received(mib, start.Add(500*time.Millisecond))
	second.Received(mib, start.Add(100*time.Millisecond))
	third.Received(mib, start.Add(2*time.Second))

	now := start.Add(2 * time.Second)
	newcomer := open(b, now)
	is.Equal(grow(newcomer, mib, now), context.Canceled) // waits for the memory of second
	is.True(second.mustYield && second.GaveWay())
	is.True(!first.mustYield && !third.mustYield)
	is.Equal(second.Complete(), ErrGaveWay)
	second.Release()
	is.NoErr(grow(newcomer, mib, now))
	is.Equal(b.Used(), int64(3*mib))
}

// Guards against readers that push each other out, so that no body is read to its end.
func TestANewcomerIsRefusedWhileAllReadersMakeProgress(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	now := start
	steady := open(b, now)
	is.NoErr(grow(steady, 3*mib, now))
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		steady.Received(32<<10, now) // 64 KiB a second
		is.Equal(grow(open(b, now), mib, now), ErrFull)
	}
	is.True(!steady.mustYield)
	is.NoErr(steady.Complete())
}

// Guards against readers that keep their place with a byte now and then.
func TestAReaderThatTricklesCountsAsStalled(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	now := start
	slow := open(b, now)
	is.NoErr(grow(slow, 3*mib, now))
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		slow.Received(100, now)
	}
	is.Equal(grow(open(b, now), mib, now), context.Canceled)
	is.True(slow.mustYield)
}

// Guards against a crowd of large bodies that leaves no room for the bodies of ordinary requests.
func TestSmallBodiesHaveAReserve(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	for range 3 {
		is.NoErr(grow(open(b, start), mib, start))
	}
	is.Equal(grow(open(b, start), mib, start), ErrFull)
	for range 8 {
		is.NoErr(grow(open(b, start), smallBody, start))
	}
	is.Equal(grow(open(b, start), 1, start), ErrFull)
}

// Guards against a body within the limits that is refused in calm, because it needs the reserve.
func TestTheOnlyLargeBodyMayUseTheReserve(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	only := open(b, start)
	for range 4 {
		is.NoErr(grow(only, mib, start))
	}
	is.Equal(grow(only, 1, start), ErrFull)
}

// Guards against small bodies that give way in vain to a large one, which lacks other memory.
func TestSmallBodiesDoNotGiveWayToALargeOneOutsideTheReserve(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	large, small := open(b, start), open(b, start)
	is.NoErr(grow(large, 3*mib, start))
	is.NoErr(large.Complete())
	is.NoErr(grow(small, 1000, start))
	late := start.Add(time.Minute)
	is.Equal(grow(open(b, late), mib, late), ErrFull)
	is.True(!small.mustYield)
}

// Guards against requests that wait for memory after the reader that had to give way has given it back.
func TestWaitingRequestsGetTheMemoryGivenBack(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2 * mib)
	stalled := open(b, start)
	is.NoErr(grow(stalled, mib, start))
	late := start.Add(time.Minute)
	var wait sync.WaitGroup
	for range 3 {
		wait.Go(func() {
			r := open(b, late)
			_ = r.Grow(context.Background(), smallBody, late)
			_ = r.Grow(context.Background(), smallBody, late)
			r.Release()
		})
	}
	r := open(b, late)
	wait.Go(func() {
		for r.Grow(context.Background(), mib, late) == nil {
		}
	})
	for !stalled.GaveWay() {
		time.Sleep(time.Millisecond)
	}
	stalled.Release()
	wait.Wait()
	r.Release()
	is.Equal(b.Used(), int64(0))
}

// Guards against memory that is never given back, and against a sum over the bound, over random orders of events.
func TestRandomOrdersKeepTheBound(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		b := NewBudget(4 * mib)
		now := start
		var all []*body
		for range 400 {
			now = now.Add(time.Duration(rnd.IntN(400)) * time.Millisecond)
			if len(all) == 0 || rnd.IntN(4) == 0 {
				all = append(all, open(b, now))
			}
			n := rnd.IntN(len(all))
			r := all[n]
			switch rnd.IntN(6) {
			case 0, 1, 2:
				if r.state == reading {
					if err := grow(r, int64(rnd.IntN(mib)), now); errors.Is(err, ErrFull) && rnd.IntN(2) == 0 {
						r.Release()
					}
				}
			case 3:
				r.Received(rnd.IntN(64<<10), now)
			case 4:
				if err := r.Complete(); err != nil && r.mustYield != (r.state == yielding || r.state == closed) {
					t.Fatalf("seed %d: %v", seed, err)
				}
			default:
				r.Release()
			}
			if r.mustYield && rnd.IntN(2) == 0 {
				r.Release()
			}
			check(t, seed, b, all)
			if r.state == closed {
				all = append(all[:n], all[n+1:]...)
			}
		}
		for _, r := range all {
			r.Release()
			r.Release()
		}
		if b.used != (usage{}) || b.yielding != (usage{}) || b.readers != nil {
			t.Fatalf("seed %d: %+v is held at the end", seed, b.used)
		}
	}
}

// check compares the sums of a budget with its leases.
func check(t *testing.T, seed uint64, b *Budget, all []*body) {
	t.Helper()
	var used, giving usage
	for _, r := range all {
		used.add(r.held, r.held > smallBody)
		if r.state == yielding {
			giving.add(r.held, r.held > smallBody)
		}
	}
	if used != b.used || giving != b.yielding || used.all > b.limit {
		t.Fatalf("seed %d: %+v and %+v held, %+v and %+v counted, limit %d", seed, used, giving, b.used, b.yielding, b.limit)
	}
}

// Guards against newcomers that are refused while bodies are held that only a further attempt would need, and against
// using a body that was dropped.
func TestSpareBodiesAreDroppedBeforeAnybodyGivesWay(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * mib)
	var bodies [3]payload.Payload
	var spares [3]*body
	for i := range spares {
		spares[i] = open(b, start)
		is.NoErr(grow(spares[i], mib, start))
		bodies[i] = payload.Of(make([]byte, mib))
		is.NoErr(spares[i].Complete())
		spares[i].Spare(&bodies[i])
	}
	is.True(spares[0].Reclaim())
	late := start.Add(time.Minute)
	stalled, newcomer := open(b, late.Add(-5*time.Second)), open(b, late)
	is.NoErr(grow(stalled, smallBody, start))
	is.NoErr(grow(newcomer, mib, late))
	is.True(!spares[1].Reclaim())
	is.Equal(bodies[1].Len(), 0)
	is.True(spares[0].Reclaim() && spares[2].Reclaim())
	is.Equal(bodies[2].Len(), mib)
	is.True(!stalled.mustYield)
	small := open(b, late)
	is.NoErr(grow(small, smallBody, late))
	is.NoErr(small.Complete())
	one := payload.Of([]byte("small"))
	small.Spare(&one)
	for grow(newcomer, 64<<10, late) == nil {
	}
	is.True(small.Reclaim()) // small bodies are kept
	for _, r := range append(spares[:], stalled, newcomer, small) {
		r.Release()
	}
	is.Equal(b.Used(), int64(0))
}

// Guards against an account that keeps all connections to itself, and against counts that are never given back.
func TestAnAccountHasAShareOfTheConnections(t *testing.T) {
	is := is.New(t)
	s := NewShares(8)
	for range 6 {
		is.True(s.Begin("crowd"))
	}
	is.True(!s.Begin("crowd"))
	is.True(s.Begin("caller"))
	s.End("crowd")
	is.True(s.Begin("crowd"))
	for range 6 {
		s.End("crowd")
	}
	s.End("caller")
	is.Equal(len(s.inProgress), 0)
	for range 100 {
		is.True(NewShares(0).Begin("any") && (*Shares)(nil).Begin("any"))
	}
}
