// Package claim decides which attempt may run a request that must not be
// repeated.
//
// A view names the entry instances that keep claims; three of them, in three
// halls, keep each shard of the keys. An attempt may run the request only
// after most keepers of the key's shard, all in the same view, gave it their
// vote. A vote is a fact and not a right that ends by time while somebody
// still relies on it: a keeper never votes for a second attempt before the
// first one's lapse, which lies after the deadline promised to callers.
//
// A keeper that installs a new view gives no more votes in the old one. It
// votes in the new one for a shard only once it knows the claims of most of
// the shard's old keepers, each of which had installed the new view before it
// sent them. Most votes of the old view and most transfers share a keeper, so
// no claim that won is overlooked. Where most old keepers are gone, nobody can
// tell: the shard is unknown until the retention has passed, and a repeated
// key is answered so, while a key made by the system itself is new for sure.
//
// The package is pure: no I/O, no clock, no goroutine. A Keeper belongs to one
// goroutine at a time; its owner guards it.
package claim

import (
	"slices"
	"time"
)

// Claim is a vote as a keeper remembers it.
type Claim struct {
	Key       string
	Attempt   string
	Owner     string    // entry instance that makes the attempt
	Lapse     time.Time // when it may be forgotten
	Digest    uint64    // hash of what the caller asked for
	Done      bool      // the attempt ran and its result is known
	Contested bool      // two old keepers voted for different attempts: nobody can tell who won
	Released  bool      // the attempt gave up before it ran anything
}

// Outcome is a keeper's answer to a request for its vote.
type Outcome int

// The outcomes.
const (
	Granted  Outcome = iota // the attempt has the vote
	Taken                   // another attempt has it
	Stale                   // the asker is in another view
	NotReady                // the keeper does not know the old claims yet
	Unknown                 // old claims may have been lost
	Conflict                // the key is in use for another request
)

// Vote asks for a keeper's vote.
type Vote struct {
	Epoch   uint64
	Key     string
	Attempt string
	Owner   string
	Lapse   time.Time
	Digest  uint64
	Fresh   bool // the key was made for this attempt, so that no earlier one exists
}

// Answer is the outcome of a Vote with what the keeper knows.
type Answer struct {
	Outcome Outcome
	Claim   Claim  // the standing claim when Taken or Conflict
	Epoch   uint64 // the keeper's view
}

// transferWait is how long a keeper waits for the old keepers before it calls
// a shard unknown.
const transferWait = 5 * time.Second

type shardState struct {
	knows     uint64          // epoch for which the keeper knows all claims of the shard
	received  map[string]bool // old keepers whose claims arrived
	installed time.Time
	forget    time.Time // when old claims that may have been lost have lapsed
}

// Keeper keeps the claims of its shards.
type Keeper struct {
	self   string
	view   *View
	shards [Shards]shardState
	claims map[string]*Claim
}

// NewKeeper returns a keeper that is in no view yet.
func NewKeeper(self string) *Keeper {
	return &Keeper{self: self, claims: make(map[string]*Claim)}
}

// View returns the installed view, or nil.
func (k *Keeper) View() *View { return k.view }

// Len returns the number of claims kept.
func (k *Keeper) Len() int { return len(k.claims) }

// Install moves the keeper to a higher view and reports whether it did.
// Claims whose lapse is within the retention from now may exist in the old view.
func (k *Keeper) Install(v *View, now time.Time, retention time.Duration) bool {
	if k.view != nil && v.Epoch <= k.view.Epoch {
		return false
	}
	k.view = v
	for s := range k.shards {
		st := &k.shards[s]
		next := shardState{knows: st.knows, received: make(map[string]bool), installed: now, forget: now.Add(retention)}
		old, cur := v.OldGroup(Shard(s)), v.Group(Shard(s))
		keptBefore := st.knows == v.Epoch-1 && hasMember(old, k.self)
		switch {
		case len(v.Before) == 0: // the first view: nothing can have been claimed
			next.knows = v.Epoch
		case keptBefore && sameMembers(old, cur): // any two majorities of one group meet
			next.knows = v.Epoch
		case keptBefore:
			next.received[k.self] = true
		}
		*st = next
		k.settle(Shard(s))
	}
	return true
}

// Missing returns the old keepers whose claims the keeper still needs.
func (k *Keeper) Missing() []Member {
	if k.view == nil {
		return nil
	}
	var need []Member
	for s := range k.shards {
		st := &k.shards[s]
		if st.knows == k.view.Epoch || !hasMember(k.view.Group(Shard(s)), k.self) {
			continue
		}
		for _, m := range k.view.OldGroup(Shard(s)) {
			if !st.received[m.ID] && m.ID != k.self && !slices.Contains(need, m) {
				need = append(need, m)
			}
		}
	}
	return need
}

// Transfer is what an old keeper hands to the keepers of a new view.
type Transfer struct {
	Epoch  uint64 // the new view, which the sender has installed
	Knew   []bool // by shard: whether the sender knew all claims in the view before
	Claims []Claim
}

// Transfer returns the keeper's claims for a keeper of the view with this
// epoch. The second result is false unless that view is installed here: only
// then does the keeper give no more votes in the one before.
func (k *Keeper) Transfer(to string, epoch uint64) (Transfer, bool) {
	if k.view == nil || k.view.Epoch != epoch {
		return Transfer{}, false
	}
	t := Transfer{Epoch: epoch, Knew: make([]bool, Shards)}
	wanted := make([]bool, Shards)
	for s := range k.shards {
		t.Knew[s] = k.shards[s].knows >= epoch-1 && hasMember(k.view.OldGroup(Shard(s)), k.self)
		wanted[s] = hasMember(k.view.Group(Shard(s)), to)
	}
	for _, c := range k.claims {
		if wanted[ShardOf(c.Key)] {
			t.Claims = append(t.Claims, *c)
		}
	}
	slices.SortFunc(t.Claims, func(a, b Claim) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return t, true
}

// Receive takes the transfer of an old keeper.
func (k *Keeper) Receive(from string, t Transfer) {
	if k.view == nil || t.Epoch != k.view.Epoch {
		return
	}
	for _, c := range t.Claims {
		k.merge(c)
	}
	for s := range k.shards {
		if t.Knew[s] && hasMember(k.view.OldGroup(Shard(s)), from) {
			k.shards[s].received[from] = true
			k.settle(Shard(s))
		}
	}
}

func (k *Keeper) settle(s Shard) {
	st := &k.shards[s]
	old := k.view.OldGroup(s)
	if len(old) > 0 && len(st.received) >= Majority(len(old)) {
		st.knows = k.view.Epoch
	}
}

func (k *Keeper) merge(c Claim) {
	have, ok := k.claims[c.Key]
	switch {
	case !ok:
		k.claims[c.Key] = &c
	case have.Attempt == c.Attempt:
		have.Done = have.Done || c.Done
		have.Contested = have.Contested || c.Contested
		have.Released = have.Released || c.Released
	case c.Done:
		k.claims[c.Key] = &c
	case have.Done || c.Released:
	case have.Released:
		k.claims[c.Key] = &c
	default:
		have.Contested = true
	}
}

// Vote answers a request for the keeper's vote.
func (k *Keeper) Vote(v Vote, now time.Time) Answer {
	a := Answer{Outcome: Stale}
	if k.view == nil {
		return a
	}
	a.Epoch = k.view.Epoch
	s := ShardOf(v.Key)
	if v.Epoch != k.view.Epoch || !hasMember(k.view.Group(s), k.self) {
		return a
	}
	if c, ok := k.standing(v, now); ok {
		a.Outcome, a.Claim = Taken, c
		if c.Digest != v.Digest {
			a.Outcome = Conflict
		}
		return a
	}
	if a.Outcome = k.known(s, v, now); a.Outcome != Granted {
		return a
	}
	k.claims[v.Key] = &Claim{Key: v.Key, Attempt: v.Attempt, Owner: v.Owner, Lapse: v.Lapse, Digest: v.Digest}
	return a
}

// standing returns the claim that forbids the vote.
func (k *Keeper) standing(v Vote, now time.Time) (Claim, bool) {
	c, ok := k.claims[v.Key]
	if !ok || !now.Before(c.Lapse) {
		return Claim{}, false
	}
	if c.Attempt == v.Attempt {
		return *c, c.Released // the same question again, or one that arrived after its release
	}
	return *c, !c.Released
}

func (k *Keeper) known(s Shard, v Vote, now time.Time) Outcome {
	st := &k.shards[s]
	switch {
	case st.knows == k.view.Epoch || v.Fresh:
		return Granted
	case !now.Before(st.forget):
		st.knows = k.view.Epoch
		return Granted
	case now.Sub(st.installed) < transferWait:
		return NotReady
	default:
		return Unknown
	}
}

// Look returns the standing claim of a key.
func (k *Keeper) Look(key string, now time.Time) (Claim, bool) {
	c, ok := k.claims[key]
	if !ok || !now.Before(c.Lapse) || c.Released {
		return Claim{}, false
	}
	return *c, true
}

// Release takes back the vote of an attempt that gave up and will run nothing.
// It is remembered, so that a late question of the same attempt gets no vote.
func (k *Keeper) Release(key, attempt string, lapse time.Time) {
	c, ok := k.claims[key]
	switch {
	case !ok:
		k.claims[key] = &Claim{Key: key, Attempt: attempt, Lapse: lapse, Released: true}
	case c.Attempt == attempt:
		c.Released = true
	}
}

// Finish notes that an attempt ran and its result is known.
func (k *Keeper) Finish(key, attempt string) {
	if c, ok := k.claims[key]; ok && c.Attempt == attempt {
		c.Done = true
		c.Contested = false
	}
}

// Expire forgets the claims that have lapsed and returns their keys.
func (k *Keeper) Expire(now time.Time) []string {
	var gone []string
	for key, c := range k.claims {
		if !now.Before(c.Lapse) {
			delete(k.claims, key)
			gone = append(gone, key)
		}
	}
	return gone
}

// Unknown returns how many of the keeper's shards may have lost claims.
func (k *Keeper) Unknown(now time.Time) int {
	n := 0
	for s := range k.shards {
		st := &k.shards[s]
		if k.view != nil && st.knows != k.view.Epoch && hasMember(k.view.Group(Shard(s)), k.self) && now.Sub(st.installed) >= transferWait && now.Before(st.forget) {
			n++
		}
	}
	return n
}

// Ready reports whether the keeper knows the claims of all its shards.
func (k *Keeper) Ready() bool { return k.view != nil && len(k.Missing()) == 0 }

func hasMember(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !hasMember(b, m.ID) {
			return false
		}
	}
	return true
}
