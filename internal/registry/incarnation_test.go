package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

var began = time.Unix(1000, 0)

// entryOf returns the entry of a server's incarnation that began so many seconds on.
func entryOf(name string, second int, revision store.Revision, leaving bool) Endpoint {
	started := began.Add(time.Duration(second) * time.Second)
	return Endpoint{ID: IncarnationID(name, started), Name: name, StartedAt: started, Revision: revision, Leaving: leaving}
}

// A server said that it leaves, ended, and started again under its id.
func TestLeavingIsOfOneIncarnation(t *testing.T) {
	is := is.New(t)
	r := New(testDrain)
	is.Equal(r.Put(entryOf("a", 1, 1, false), began), Joined)
	is.Equal(r.Put(entryOf("a", 1, 2, true), began), Left)
	is.Equal(r.Put(entryOf("a", 9, 3, false), began), Restarted)
	s, ok := r.Find("a")
	is.True(ok && !s.Leaving && s.ID == IncarnationID("a", s.StartedAt))
	is.Equal(r.Put(entryOf("a", 1, 2, true), began), None) // comes late
	is.True(listed(r, "a"))
	is.Equal(r.Put(entryOf("a", 9, 4, true), began), Left)
	is.Equal(r.Put(entryOf("a", 10, 5, true), began), Left) // one that leaves at once
}

// News of an earlier incarnation, or of the time before an entry went, come late: from a stale
// read, from a watch that was behind, from an instance that was cut off.
func TestLateUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	r := New(testDrain)
	r.Put(entryOf("a", 1, 5, false), began)
	r.Put(entryOf("b", 1, 6, false), began)
	is.Equal(r.Remove("a", 4, false, began), None)
	is.Equal(len(r.Replace(nil, nil, 4, false, began)), 0) // a listing from before
	is.Equal(r.Remove("a", 9, false, began), Gone)
	is.Equal(r.Put(entryOf("a", 1, 5, false), began), None)
	is.Equal(r.Withhold("b", 5, began), None)
	is.True(!listed(r, "a") && listed(r, "b"))
}

// The store applies a write of an earlier incarnation after those of the later one: neither is
// used until the later one writes again. Where it stands, the server's clock was set back.
func TestAnEarlierLifeInANewerEntry(t *testing.T) {
	is := is.New(t)
	r := New(testDrain)
	r.Put(entryOf("a", 9, 5, false), began)
	is.Equal(r.Put(entryOf("a", 1, 6, false), began), Withheld)
	is.True(!listed(r, "a"))
	is.Equal(r.Put(entryOf("a", 9, 7, false), began.Add(2*time.Second)), Joined)
	is.Equal(r.Put(entryOf("a", 1, 8, false), began), Withheld)
	is.Equal(r.Put(entryOf("a", 1, 8, false), began.Add(earlierStands/2)), None) // listed once more
	is.Equal(len(r.Expire(false, began.Add(earlierStands-1))), 0)
	changed := r.Expire(false, began.Add(earlierStands))
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Change, Joined)
	is.True(listed(r, "a"))
}

// Servers tell when they started: an entry without that is another writer's.
func TestAnEntryWithoutItsStart(t *testing.T) {
	is := is.New(t)
	r := New(testDrain)
	is.Equal(r.Put(Endpoint{ID: "a", Name: "a", Revision: 1}, began), Joined) // none has told so far
	is.Equal(r.Put(entryOf("a", 1, 2, false), began), Restarted)
	is.Equal(r.Put(Endpoint{ID: "a", Name: "a", Revision: 3}, began), Withheld)
	is.Equal(r.Put(Endpoint{ID: "c", Name: "c", Revision: 4}, began), Withheld)
	r.Expire(false, began.Add(time.Minute))
	is.True(!listed(r, "a") && !listed(r, "c"))
}

// An entry that turned odd: its server is used again once it reads well.
func TestAWithheldServerComesBack(t *testing.T) {
	is := is.New(t)
	r := New(testDrain)
	r.Put(entryOf("a", 1, 1, false), began)
	is.Equal(r.Withhold("a", 2, began), Withheld)
	is.Equal(r.Withhold("a", 2, began), None) // read once more
	is.Equal(len(r.Replace(nil, []string{"a"}, 3, false, began)), 0)
	is.Equal(len(r.List()), 0)
	is.Equal(r.Put(entryOf("a", 1, 4, false), began), Joined)
	is.Equal(len(r.List()), 1)
}

// written is a write to the store: an entry, an odd one, or its end.
type written struct {
	server   Endpoint
	odd      bool
	gone     bool
	revision store.Revision
}

func (w written) writeTo(r *Registry, now time.Time) {
	switch {
	case w.gone:
		r.Remove(w.server.Name, w.revision, false, now)
	case w.odd:
		r.Withhold(w.server.Name, w.revision, now)
	default:
		r.Put(w.server, now)
	}
}

// history draws what a server and other writers wrote over some incarnations.
func history(rnd *rand.Rand) []written {
	var all []written
	for n := range 1 + rnd.IntN(6) {
		for _, w := range []written{
			{server: entryOf("a", n, 0, false)}, {odd: true}, {server: entryOf("a", n, 0, false)}, {server: entryOf("a", n, 0, true)}, {gone: true},
		} {
			if rnd.IntN(3) == 0 {
				continue
			}
			w.revision = store.Revision(len(all) + 1)
			w.server.Name, w.server.Revision = "a", w.revision
			all = append(all, w)
		}
	}
	return all
}

// Whatever is lost, comes late, twice or in another order: an incarnation that is known to leave,
// or to be followed by a later one, gets no new work, and a listing of the store as it is
// then leaves the registry with what is true.
func TestRandomUpdatesOfIncarnations(t *testing.T) {
	const histories = 10_000 // 0.2 s
	for seed := range uint64(histories) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		all := history(rnd)
		if len(all) == 0 {
			continue
		}
		r := New(testDrain)
		now := began
		left := make(map[string]bool) // incarnations that were told to leave
		var newest time.Time          // of the incarnations that were told of
		for range 3 * len(all) {
			now = now.Add(time.Duration(rnd.IntN(300)) * time.Millisecond)
			w := all[rnd.IntN(len(all))]
			w.writeTo(r, now)
			if !w.odd && !w.gone {
				left[w.server.ID] = left[w.server.ID] || w.server.Leaving
				if w.server.StartedAt.After(newest) {
					newest = w.server.StartedAt
				}
			}
			r.Expire(false, now)
			if s, ok := r.Find("a"); ok && !s.Leaving && (left[s.ID] || s.StartedAt.Before(newest)) {
				t.Fatalf("seed %d: %s is used", seed, s.ID)
			}
		}
		last := all[len(all)-1]
		var listing []Endpoint
		var odd []string
		switch {
		case last.odd:
			odd = []string{"a"}
			r.Withhold("a", last.revision, now)
		case !last.gone:
			listing = []Endpoint{last.server}
		}
		r.Replace(listing, odd, last.revision, false, now)
		s, used := r.Find("a")
		used = used && !s.Leaving
		wanted := !last.odd && !last.gone && !last.server.Leaving && !left[last.server.ID]
		if used != wanted || used && s.ID != last.server.ID {
			t.Fatalf("seed %d: used %t, true %t", seed, used, wanted)
		}
	}
}

func TestAnEntryThatIsBackWithARestoredStoreIsUsedOnceItStands(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	r := New(2 * time.Second)
	later, err := store.NewRevision(1, 5)
	is.NoErr(err)
	is.Equal(r.Put(entryOf("a", 1, 5, false), now), Joined)
	is.Equal(r.Remove("a", 9, false, now), Gone)
	is.Equal(r.Put(entryOf("a", 1, later, false), now), Withheld)
	is.Equal(len(r.List()), 0)
	r.Expire(false, now.Add(earlierStands-time.Second))
	is.Equal(len(r.List()), 0)
	r.Expire(false, now.Add(earlierStands))
	is.Equal(len(r.List()), 1)
	is.Equal(r.Put(entryOf("b", 1, 6, false), now), Joined) // a later incarnation is at work at once
	is.Equal(r.Remove("b", 9, false, now), Gone)
	is.Equal(r.Put(entryOf("b", 2, later, false), now), Joined)
}

func TestAnEarlierIncarnationIsNotAcceptedOnceItsEntryIsGone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	r := New(2 * time.Second)
	r.Put(entryOf("a", 2, 5, false), now)
	is.Equal(r.Put(entryOf("a", 1, 6, false), now), Withheld)
	r.Remove("a", 7, true, now.Add(time.Second))
	r.Expire(false, now.Add(2*earlierStands))
	is.Equal(len(r.List()), 0)
}
