package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/payload"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var options = Options{Length: 30 * time.Second, MaxSuspects: 100}

func fingerprint(i int) Fingerprint {
	return Of("POST", "h", fmt.Sprint("/", i), payload.Of([]byte("body")))
}

func run(i int, endpoint string) Run {
	return Run{Fingerprint: fingerprint(i), Endpoint: endpoint, Name: endpoint, Account: "a"}
}

// ends lets endpoints end while running a request, one per second.
func ends(t *Table, i int, from float64, endpoints ...string) {
	for n, e := range endpoints {
		t.RunInterrupted(run(i, e), at(from+float64(n)))
		t.EndpointEnded(e, at(from+float64(n)))
	}
}

func verdict(t *Table, i int, seconds float64) Verdict {
	v, _ := t.Verdict(fingerprint(i), at(seconds))
	return v
}

func TestAFingerprintIsOfWhatAnEndpointReceives(t *testing.T) {
	is := is.New(t)
	f := Of("POST", "h", "/a", payload.Of([]byte("body")))
	is.Equal(f, Of("POST", "h", "/a", payload.Of([]byte("body"))))
	for _, other := range []Fingerprint{
		Of("PUT", "h", "/a", payload.Of([]byte("body"))), Of("POST", "g", "/a", payload.Of([]byte("body"))), Of("POST", "h", "/b", payload.Of([]byte("body"))),
		Of("POST", "h", "/a", payload.Of([]byte("bodz"))), Of("POST", "h/", "a", payload.Of([]byte("body"))), Of("POST", "h", "/abody", payload.Payload{}),
	} {
		is.True(f != other)
	}
	is.Equal(f.Length, Length("POST", "h", "/a", len("body")))
}

func TestARequestIsQuarantinedAfterThreeEnds(t *testing.T) {
	is := is.New(t)
	q := New(options)
	is.True(!q.MaybeSuspect(fingerprint(1).Length))
	ends(q, 1, 0, "x")
	is.Equal(verdict(q, 1, 0.5), Unrestricted)
	ends(q, 1, 1, "y")
	is.Equal(verdict(q, 1, 1.5), Serialized)
	ends(q, 1, 2, "z")
	is.Equal(verdict(q, 1, 2.5), Refused)
	is.Equal(verdict(q, 2, 2.5), Unrestricted) // of the same length
	is.True(q.MaybeSuspect(fingerprint(1).Length))
	_, until := q.Verdict(fingerprint(1), at(2.5))
	is.Equal(until, at(32))
}

func TestInterruptedRunsThatAreNoEnds(t *testing.T) {
	is := is.New(t)
	q := New(options)
	// Runs are interrupted while their endpoint goes on: reset connections, corrupt answers.
	for n := range 10 {
		q.RunInterrupted(run(1, fmt.Sprint("x", n)), at(float64(n)))
	}
	is.Equal(verdict(q, 1, 10), Unrestricted)
	// Endpoints end long after the runs.
	for n := range 10 {
		q.Expire(at(20))
		q.EndpointEnded(fmt.Sprint("x", n), at(20))
	}
	is.Equal(verdict(q, 1, 20), Unrestricted)
	// One endpoint interrupts many runs, and ends once.
	for range 10 {
		q.RunInterrupted(run(1, "y"), at(21))
	}
	q.EndpointEnded("y", at(21))
	q.EndpointEnded("y", at(21))
	q.RunInterrupted(run(1, "y"), at(21)) // reported late
	is.Equal(verdict(q, 1, 21), Unrestricted)
}

func TestARestartedEndpointHasEnded(t *testing.T) {
	is := is.New(t)
	q := New(options)
	for n := range 3 {
		r := Run{Fingerprint: fingerprint(1), Endpoint: fmt.Sprint("x@", n), Name: "x"}
		q.RunInterrupted(r, at(float64(n)))
		q.EndpointRestarted("x", fmt.Sprint("x@", n+1), at(float64(n)+0.5))
	}
	is.Equal(verdict(q, 1, 4), Refused) // each incarnation counts
	q.RunInterrupted(Run{Fingerprint: fingerprint(2), Endpoint: "x@3", Name: "x"}, at(4))
	q.EndpointRestarted("x", "x@3", at(4.5)) // the incarnation that ran it goes on
	is.Equal(verdict(q, 2, 5), Unrestricted)
}

func TestACompletedRequestIsNoSuspect(t *testing.T) {
	is := is.New(t)
	q := New(options)
	ends(q, 1, 0, "x", "y")
	is.Equal(len(q.ClearSuspect(fingerprint(1), "e", at(2))), 1)
	is.Equal(len(q.ClearSuspect(fingerprint(1), "e", at(2.1))), 0)
	is.Equal(verdict(q, 1, 2.5), Unrestricted)
	ends(q, 1, 3, "z", "w")
	is.Equal(verdict(q, 1, 5), Serialized)
	ends(q, 1, 5, "v")
	is.Equal(verdict(q, 1, 6), Refused)
}

func TestOldEndsDoNotCount(t *testing.T) {
	is := is.New(t)
	q := New(options)
	ends(q, 1, 0, "x", "y")
	ends(q, 1, 70, "z")
	is.Equal(verdict(q, 1, 71), Unrestricted)
	q.Expire(at(200))
	is.True(!q.MaybeSuspect(fingerprint(1).Length))
}

func TestAQuarantineEnds(t *testing.T) {
	is := is.New(t)
	q := New(options)
	ends(q, 1, 0, "x", "y", "z")
	is.Equal(verdict(q, 1, 31.9), Refused)
	is.Equal(verdict(q, 1, 32), Serialized) // the next run decides
	ends(q, 1, 33, "w")
	is.Equal(verdict(q, 1, 34), Refused)
	_, until := q.Verdict(fingerprint(1), at(34))
	is.Equal(until, at(93)) // twice as long
	q.ClearSuspect(fingerprint(1), "e", at(94))
	is.Equal(verdict(q, 1, 94), Unrestricted)
	q.Expire(at(200))
	is.True(!q.MaybeSuspect(fingerprint(1).Length))
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := New(options)
	ends(q, 0, 0, "x", "y", "z")
	for i := 1; i < 10_000; i++ { // one client account keeps sending new requests
		q.RunInterrupted(run(i, fmt.Sprint("e", i)), at(3))
		q.EndpointEnded(fmt.Sprint("e", i), at(3))
	}
	is.Equal(verdict(q, 0, 4), Refused) // the quarantined one is not evicted
	is.True(len(q.suspects) <= 25)
	other := run(1, "other")
	other.Account = "b"
	q.RunInterrupted(other, at(3))
	q.EndpointEnded("other", at(3))
	is.True(q.MaybeSuspect(fingerprint(1).Length)) // other accounts have their share
	for i := range 10_000 {                        // many client accounts together are bounded as well
		r := run(i, fmt.Sprint("f", i))
		r.Account = fmt.Sprint("c", i)
		q.RunInterrupted(r, at(4))
		q.EndpointEnded(fmt.Sprint("f", i), at(4))
	}
	is.True(len(q.suspects) <= options.MaxSuspects)
	is.Equal(verdict(q, 0, 5), Refused)
	q.Expire(at(5 + suspectRetention.Seconds()*2))
	is.Equal(len(q.suspects)+len(q.byLength)+len(q.byAccount)+len(q.endedEndpoints)+len(q.interrupted)+len(q.ownUpdates)+len(q.receivedUpdates), 0)
}

func TestPermitsAreHeldOneAtATime(t *testing.T) {
	is := is.New(t)
	p := NewPermits()
	is.True(p.Acquire(fingerprint(1), "n1", at(10), at(0)))
	is.True(!p.Acquire(fingerprint(1), "n2", at(10), at(1)))
	is.True(p.Acquire(fingerprint(2), "n2", at(10), at(1)))
	p.Release(fingerprint(1), "n2", at(1)) // not held by n2
	is.True(!p.Acquire(fingerprint(1), "n2", at(10), at(1)))
	p.Release(fingerprint(1), "n1", at(1))
	is.True(p.Acquire(fingerprint(1), "n2", at(10), at(1)))
	is.True(p.Acquire(fingerprint(1), "n3", at(20), at(10))) // the permit has expired
	p.Expire(at(30))
	is.Equal(len(p.held), 0)
}

// Instances observe ends and completed runs, and exchange them late, twice, in any order, or not
// until the end. Once all of them are exchanged, all instances count the same ends and reach the
// same verdict.
func TestRandomHistories(t *testing.T) {
	const instances = 4
	for seed := range uint64(10_000) {
		rnd := rand.New(rand.NewPCG(seed, 29))
		var tables [instances]*Table
		for i := range tables {
			tables[i] = New(options)
		}
		var sent []Suspect // updates sent so far
		after := make(map[string]bool)
		now := 0.0
		for step := range 5 + rnd.IntN(20) {
			now += rnd.Float64() * 0.5
			q := tables[rnd.IntN(instances)]
			if rnd.IntN(6) == 0 {
				if len(q.ClearSuspect(fingerprint(1), "e", at(now))) > 0 {
					clear(after)
				}
			} else {
				endpoint := fmt.Sprint("e", step)
				q.RunInterrupted(run(1, endpoint), at(now))
				q.EndpointEnded(endpoint, at(now))
				after[endpoint] = true
			}
			own, _ := q.Updates()
			sent = append(sent, own...)
			for range rnd.IntN(4) {
				if len(sent) > 0 {
					tables[rnd.IntN(instances)].Apply(sent[rnd.IntN(len(sent)):][:1], at(now))
				}
			}
		}
		rnd.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		for _, q := range tables {
			q.Apply(sent, at(now))
		}
		for i, q := range tables {
			s, _ := q.Find(fingerprint(1).String())
			if len(s.Ends) != len(after) {
				t.Fatalf("seed %d: instance %d counts %d ends, %d happened since the request was cleared", seed, i, len(s.Ends), len(after))
			}
			if got := verdict(q, 1, now); len(after) >= endsToQuarantine && got != Refused || len(after) < endsToSerialize && got == Refused {
				t.Fatalf("seed %d: instance %d returns verdict %d after %d ends", seed, i, got, len(after))
			}
		}
	}
}

// On one core, the fingerprint of a body of 12 KB takes 11 µs. Looking up that a request is no
// suspect takes 3 ns while there are no suspects and 23 ns otherwise.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 12<<10)
	b.ReportAllocs()
	for b.Loop() {
		Of("POST", "shop.example", "/a/b", payload.Of(body))
	}
}

func BenchmarkMaybeSuspect(b *testing.B) {
	for _, suspects := range []int{0, 100} {
		q := New(options)
		for i := range suspects {
			r := run(i, "x")
			r.Account = fmt.Sprint(i)
			q.RunInterrupted(r, at(0))
		}
		q.EndpointEnded("x", at(0))
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.MaybeSuspect(12 << 10)
			}
		})
	}
}
