package claim

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	retention    = 10 * time.Minute
	modelMembers = 5
	modelKeys    = 12
	modelSteps   = 3000
)

func members(n, halls int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{ID: fmt.Sprintf("n%02d#1", i), Hall: fmt.Sprintf("h%d", i%halls)})
	}
	return out
}

func TestGroupsSpanThreeHallsAndStayStable(t *testing.T) {
	is := is.New(t)
	v := (&View{}).Next(members(9, 4))
	w := v.Next(v.Members[1:])
	for s := range Shard(Shards) {
		g := v.Group(s)
		is.Equal(len(g), GroupSize)
		is.True(g[0].Hall != g[1].Hall && g[1].Hall != g[2].Hall && g[0].Hall != g[2].Hall)
		if !hasMember(g, v.Members[0].ID) {
			is.True(sameMembers(g, w.Group(s))) // only the groups of the removed member change
		}
	}
}

func TestLostMajorityMakesTheShardUnknownUntilRetention(t *testing.T) {
	is := is.New(t)
	v1 := (&View{}).Next(members(3, 3))
	v2 := v1.Next(append(members(1, 1), Member{ID: "x#1", Hall: "h1"}, Member{ID: "y#1", Hall: "h2"}))
	k := NewReplica("n00#1")
	k.Install(v1, t0, retention)
	is.True(k.Install(v2, t0, retention))
	vote := VoteRequest{Epoch: v2.Epoch, Key: "k", Attempt: "a", ExpiresAt: t0.Add(time.Hour)}
	is.Equal(k.Vote(vote, t0).Outcome, NotReady)
	late := t0.Add(transferTimeout)
	is.Equal(k.Vote(vote, late).Outcome, Unknown)
	fresh := vote
	fresh.Key, fresh.GeneratedKey = "k2", true
	is.Equal(k.Vote(fresh, late).Outcome, Granted)
	is.Equal(k.Vote(vote, t0.Add(retention)).Outcome, Granted)
}

func TestVoteIsStoredReleasedAndExpired(t *testing.T) {
	is := is.New(t)
	v1 := (&View{}).Next(members(1, 1))
	k := NewReplica("n00#1")
	k.Install(v1, t0, retention)
	a := VoteRequest{Epoch: 1, Key: "k", Attempt: "a", ExpiresAt: t0.Add(time.Hour)}
	b := a
	b.Attempt = "b"
	is.Equal(k.Vote(a, t0).Outcome, Granted)
	is.Equal(k.Vote(a, t0).Outcome, Granted) // a repeated request
	is.Equal(k.Vote(b, t0).Outcome, Taken)
	k.Release("k", "a", t0.Add(time.Hour))
	is.Equal(k.Vote(a, t0).Outcome, Taken) // a late request of a released attempt
	is.Equal(k.Vote(b, t0).Outcome, Granted)
	c := b
	c.Attempt, c.Digest = "c", 7
	is.Equal(k.Vote(c, t0).Outcome, Conflict) // a different request under the same key
	is.Equal(len(k.Expire(t0.Add(time.Hour))), 1)
}

// model simulates a set of replicas. Messages are delayed, reordered, duplicated and
// lost; members crash and are replaced; and each instance installs a view at its own time.
type model struct {
	rnd      *rand.Rand
	now      time.Time
	replicas map[string]*Replica
	views    []*View
	attempts []*attempt
	messages []func()
	runs     map[string]int // how many attempts won, by key
	lastID   int            // counter for the IDs of attempts and members
}

type attempt struct {
	vote    VoteRequest
	view    *View
	granted map[string]bool
	ended   bool // won or was abandoned
}

func newModel(seed uint64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 1)), now: t0, replicas: make(map[string]*Replica), runs: make(map[string]int)}
	v := (&View{}).Next(members(modelMembers, 4))
	m.views = []*View{v}
	for _, mem := range v.Members {
		m.replicas[mem.ID] = NewReplica(mem.ID)
		m.replicas[mem.ID].Install(v, m.now, retention)
	}
	return m
}

// send puts a message in transit; it may be lost or duplicated.
func (m *model) send(f func()) {
	switch m.rnd.IntN(10) {
	case 0: // lost
	case 1: // duplicated
		m.messages = append(m.messages, f, f)
	default:
		m.messages = append(m.messages, f)
	}
}

// deliver delivers a random message in transit.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := m.rnd.IntN(len(m.messages))
	f := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	f()
}

// startAttempt starts an attempt at a key. Its owner may still be in the previous view.
func (m *model) startAttempt() {
	key := fmt.Sprintf("key-%d", len(m.attempts)/40+m.rnd.IntN(modelKeys)) // reuses recent keys and introduces new ones over time
	view := m.views[len(m.views)-1-m.rnd.IntN(min(2, len(m.views)))]
	m.lastID++
	a := &attempt{view: view, granted: make(map[string]bool)}
	a.vote = VoteRequest{Epoch: view.Epoch, Key: key, Attempt: fmt.Sprintf("a%d", m.lastID), ExpiresAt: m.now.Add(retention)}
	m.attempts = append(m.attempts, a)
	for _, mem := range view.Group(ShardOf(key)) {
		m.send(func() { m.voteAt(mem.ID, a) })
	}
}

// voteAt requests the vote of one replica and sends the answer back. The attempt runs
// once it has a majority.
func (m *model) voteAt(id string, a *attempt) {
	k, ok := m.replicas[id]
	if !ok {
		return
	}
	ans := k.Vote(a.vote, m.now)
	m.send(func() {
		if ans.Outcome != Granted || a.ended {
			return
		}
		a.granted[id] = true
		if len(a.granted) >= Majority(len(a.view.Group(ShardOf(a.vote.Key)))) {
			a.ended = true
			m.runs[a.vote.Key]++
		}
	})
}

// abandon ends a random attempt that has not run and releases its votes.
func (m *model) abandon() {
	if len(m.attempts) == 0 {
		return
	}
	a := m.attempts[m.rnd.IntN(len(m.attempts))]
	if a.ended {
		return
	}
	a.ended = true
	for _, mem := range a.view.Group(ShardOf(a.vote.Key)) {
		m.send(func() {
			if k, ok := m.replicas[mem.ID]; ok {
				k.Release(a.vote.Key, a.vote.Attempt, a.vote.ExpiresAt)
			}
		})
	}
}

// proposeView creates a view in which one or two members are replaced; some of them
// crash. In most cases it does so only if all running replicas are ready, as the
// proposer does; in some it does not wait.
func (m *model) proposeView() {
	cur := m.views[len(m.views)-1]
	if m.rnd.IntN(8) > 0 && !m.allReady(cur) {
		return
	}
	next := append([]Member(nil), cur.Members...)
	for range 1 + m.rnd.IntN(2) {
		i := m.rnd.IntN(len(next))
		if m.rnd.IntN(10) == 0 {
			delete(m.replicas, next[i].ID) // crashed
		}
		m.lastID++
		mem := Member{ID: fmt.Sprintf("m%d#1", m.lastID), Hall: next[i].Hall}
		m.replicas[mem.ID] = NewReplica(mem.ID)
		next[i] = mem
	}
	m.views = append(m.views, cur.Next(next))
}

// allReady reports whether all running replicas have installed the view and are ready.
func (m *model) allReady(v *View) bool {
	for _, mem := range v.Members {
		if k, ok := m.replicas[mem.ID]; ok && (k.View() != v || !k.Ready()) {
			return false
		}
	}
	return true
}

// install installs one of the two newest views on a random member.
func (m *model) install() {
	v := m.views[len(m.views)-1-m.rnd.IntN(min(2, len(m.views)))]
	mem := v.Members[m.rnd.IntN(len(v.Members))]
	if k, ok := m.replicas[mem.ID]; ok {
		k.Install(v, m.now, retention)
	}
}

// transfer requests the pending transfers of a random member.
func (m *model) transfer() {
	v := m.views[len(m.views)-1]
	mem := v.Members[m.rnd.IntN(len(v.Members))]
	k, ok := m.replicas[mem.ID]
	if !ok || k.View() == nil {
		return
	}
	for _, old := range k.PendingTransfers() {
		m.send(func() {
			from, ok := m.replicas[old.ID]
			if !ok {
				return
			}
			from.Install(k.View(), m.now, retention)
			if t, ok := from.Transfer(mem.ID, k.View().Epoch); ok {
				m.send(func() { k.Receive(old.ID, t) })
			}
		})
	}
}

func (m *model) step() {
	switch n := m.rnd.IntN(100); {
	case n < 16:
		m.startAttempt()
	case n < 62:
		for range 4 { // faster than messages are sent, so that each is delivered eventually
			m.deliver()
		}
	case n < 63:
		m.abandon()
	case n < 65:
		m.proposeView()
	case n < 82:
		m.install()
	case n < 97:
		m.transfer()
	default:
		m.now = m.now.Add(time.Duration(m.rnd.IntN(3)) * time.Second)
	}
}

// seeds returns the number of random runs; SHELFCRANK_SEEDS overrides it.
func seeds(fixed int) int {
	if n, err := strconv.Atoi(os.Getenv("SHELFCRANK_SEEDS")); err == nil {
		return n
	}
	return fixed
}

func TestRandomAtMostOnce(t *testing.T) {
	won := 0
	for seed := range uint64(seeds(80)) {
		m := newModel(seed)
		for range modelSteps {
			m.step()
			// No claim expires in this time, so no key may run twice.
			if m.now.Sub(t0) > retention/2 {
				break
			}
		}
		for key, n := range m.runs {
			won++
			if n > 1 {
				t.Fatalf("seed %d: %s ran %d times; repeat with SHELFCRANK_SEEDS=%d go test ./internal/claim -run TestRandomAtMostOnce", seed, key, n, seed+1)
			}
		}
	}
	if won == 0 {
		t.Fatal("no attempt won a vote, so the invariant was not exercised")
	}
	t.Logf("%d keys ran once", won)
}
