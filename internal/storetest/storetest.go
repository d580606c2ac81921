// Package storetest provides an in-memory fake of the platform's metadata store
// with revisions, transactions, watches and leases. It can inject the faults
// that the real store has. It is meant for tests and the embedded demo.
//
// Store is safe for concurrent use.
package storetest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Faults are the faults injected into the calls of a caller. The zero value injects none.
type Faults struct {
	Down        bool          // calls block until their context ends
	Refuse      bool          // calls fail with store.ErrRefused
	LoseNext    int           // number of next transactions that are applied but not answered
	LateBy      time.Duration // delay before a transaction without answer is applied
	WatchSilent bool          // watches report no changes
	Slow        time.Duration // latency added to each call
	Frozen      bool          // the caller's process is stopped: its calls are sent, and answers delivered, once this is false
}

// ErrLost reports that the answer of a call was lost.
var ErrLost = errors.New("no answer")

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the fake store.
type Store struct {
	minTTL       time.Duration // shortest time to live of a lease
	maxTTL       time.Duration // longest time to live of a lease; 0 for no limit; guarded by mu
	watchTimeout time.Duration // after which a watch without changes returns

	mu        sync.Mutex
	era       int64                 // guarded by mu
	rev       int64                 // guarded by mu
	items     map[string]store.Item // guarded by mu
	createdAt map[string]time.Time  // when each item was created; guarded by mu
	log       []store.Event         // guarded by mu
	oldest    int64                 // the log holds the changes after this number; guarded by mu
	leases    map[int64]lease       // guarded by mu
	lastID    int64                 // guarded by mu
	changed   chan struct{}         // closed and replaced at each change; guarded by mu
	faults    map[string]Faults     // by caller; guarded by mu
	calls     int                   // guarded by mu
	capacity  capacity              // guarded by mu
}

// New returns an empty store.
func New() *Store {
	return &Store{
		minTTL: time.Second, watchTimeout: 2 * time.Second, items: make(map[string]store.Item), createdAt: make(map[string]time.Time), leases: make(map[int64]lease),
		changed: make(chan struct{}), faults: make(map[string]Faults),
	}
}

// SetFaults sets the faults of a caller. Down, Refuse and Slow of the caller "" apply to each
// caller without faults of its own.
func (s *Store) SetFaults(caller string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = f
	s.signal()
}

// ClearFaults removes the faults of a caller. Those of the caller "" then apply to it.
func (s *Store) ClearFaults(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, caller)
	s.signal()
}

// Compact discards the history. A watch from an earlier revision then fails with
// store.ErrCompacted, and its caller has to list the items again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.oldest = nil, s.rev
	s.signal()
}

// Calls returns the number of calls made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key without faults, as operators and endpoints do. A nil value deletes the key.
func (s *Store) Put(key string, value []byte) store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	s.rev++
	if value == nil {
		s.deleteKey(key)
	} else {
		s.put(store.Put{Key: key, Value: value})
	}
	s.signal()
	return s.revision()
}

// revision returns the store's current revision.
func (s *Store) revision() store.Revision { return revision(s.era, s.rev) }

func revision(era, number int64) store.Revision {
	r, err := store.NewRevision(era, number)
	if err != nil {
		panic(err) // tests stay far below the limits of a revision
	}
	return r
}

// Client returns a client of the store, to which the faults of the named caller apply.
func (s *Store) Client(caller string) *Client { return &Client{store: s, caller: caller} }

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(p store.Put) {
	item := store.Item{Key: p.Key, Value: p.Value, Revision: s.revision(), Lease: p.Lease}
	if _, exists := s.items[p.Key]; !exists {
		s.createdAt[p.Key] = time.Now()
	}
	s.items[p.Key] = item
	s.log = append(s.log, store.Event{Item: item})
}

func (s *Store) deleteKey(key string) {
	delete(s.items, key)
	delete(s.createdAt, key)
	s.log = append(s.log, store.Event{Item: store.Item{Key: key, Revision: s.revision()}, Deleted: true})
}

// expire deletes the keys of expired leases.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		s.deleteLease(id)
	}
}

func (s *Store) deleteLease(id int64) {
	for key, item := range s.items {
		if item.Lease == id {
			s.rev++
			s.deleteKey(key)
		}
	}
	s.signal()
}

// Client accesses the store as one caller, with the faults of that caller.
type Client struct {
	store  *Store
	caller string
	era    int64 // of the latest answer; guarded by store.mu
}

// Era implements store.Reader.
func (c *Client) Era() int64 {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.era
}

// begin starts a call and applies the caller's faults and the store's limits to it.
func (c *Client) begin(ctx context.Context, kind callKind) error {
	s := c.store
	c.waitUnfrozen()
	s.mu.Lock()
	f, ok := s.faults[c.caller]
	if !ok {
		f = s.faults[""]
	}
	s.calls++
	admitted := s.capacity.admit(kind, time.Now())
	s.mu.Unlock()
	switch {
	case f.Refuse, !admitted:
		return store.ErrRefused
	case f.Down:
		<-ctx.Done()
		return ctx.Err()
	case f.Slow > 0:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Slow):
		}
	}
	return nil
}

// frozenPollInterval is the time between two checks of whether a caller is still frozen.
const frozenPollInterval = 5 * time.Millisecond

// waitUnfrozen blocks while the caller is frozen.
func (c *Client) waitUnfrozen() {
	for c.frozen() {
		time.Sleep(frozenPollInterval)
	}
}

func (c *Client) frozen() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.faults[c.caller].Frozen
}

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.Item, store.Revision, error) {
	if err := c.begin(ctx, readCall); err != nil {
		return store.Item{}, 0, err
	}
	item, at, err := c.get(key)
	if late := c.store.answer(ctx, bytesOf([]store.Item{item})); late != nil {
		return store.Item{}, 0, late
	}
	return item, at, err
}

func (c *Client) get(key string) (store.Item, store.Revision, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c.era = s.era
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, s.revision(), store.ErrNotFound
	}
	return item, s.revision(), nil
}

// Range implements store.Reader.
func (c *Client) Range(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	return c.rangeItems(ctx, readCall, prefix)
}

func (c *Client) rangeItems(ctx context.Context, kind callKind, prefix string) ([]store.Item, store.Revision, error) {
	if err := c.begin(ctx, kind); err != nil {
		return nil, 0, err
	}
	items, at := c.itemsUnder(prefix)
	if err := c.store.answerPages(ctx, kind, items); err != nil {
		return nil, 0, err
	}
	return items, at, nil
}

// itemsUnder returns the items with a prefix, sorted by key, and the store's revision.
func (c *Client) itemsUnder(prefix string) ([]store.Item, store.Revision) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c.era = s.era
	var out []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision()
}

// peekDelay is the time for which Peek omits a new key.
const peekDelay = 2 * time.Second

// Peek implements store.Reader. To simulate a stale read it omits recently created keys.
func (c *Client) Peek(ctx context.Context, prefix string) ([]store.Item, error) {
	items, _, err := c.rangeItems(ctx, staleReadCall, prefix)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	recent := func(i store.Item) bool { return time.Since(c.store.createdAt[i.Key]) < peekDelay }
	return slices.DeleteFunc(items, recent), err
}

// Watch implements store.Reader.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Event, store.Revision, error) {
	if err := c.begin(ctx, readCall); err != nil {
		return nil, 0, err
	}
	end := time.NewTimer(c.store.watchTimeout)
	defer end.Stop()
	ticker := time.NewTicker(50 * time.Millisecond) // leases expire without a call
	defer ticker.Stop()
	for {
		c.waitUnfrozen()
		events, at, changed, err := c.eventsAfter(prefix, after)
		if err != nil {
			return nil, 0, err
		}
		restored := at.Era() != after.Era()
		if len(events) > 0 && !restored {
			if err := c.store.answer(ctx, bytesOf(lo.Map(events, func(e store.Event, _ int) store.Item { return e.Item }))); err != nil {
				return nil, 0, err
			}
			return events, at, nil
		}
		if len(events) > 0 {
			return nil, 0, store.ErrCompacted
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end.C:
			if restored {
				return nil, 0, store.ErrCompacted
			}
			return nil, at, nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

func (c *Client) eventsAfter(prefix string, after store.Revision) ([]store.Event, store.Revision, <-chan struct{}, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c.era = s.era
	if n := after.Number(); n < s.oldest || n > s.rev {
		return nil, 0, nil, store.ErrCompacted
	}
	if s.faults[c.caller].WatchSilent {
		return nil, revision(s.era, after.Number()), s.changed, nil
	}
	var out []store.Event
	for _, e := range s.log {
		if e.Revision.Number() > after.Number() && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, s.revision(), s.changed, nil
}

// Do implements store.Writer.
func (c *Client) Do(ctx context.Context, t store.Txn) (store.Revision, error) {
	if err := c.begin(ctx, writeCall); err != nil {
		return 0, err
	}
	at, err := c.do(ctx, t)
	if late := c.store.answer(ctx, answerBytes); late != nil {
		return 0, late
	}
	return at, err
}

func (c *Client) do(ctx context.Context, t store.Txn) (store.Revision, error) {
	s := c.store
	s.mu.Lock()
	if t.ExpectsEarlierEra(c.era) {
		s.mu.Unlock()
		return 0, &store.Conflict{}
	}
	f := s.faults[c.caller]
	if f.LoseNext > 0 {
		f.LoseNext--
		s.faults[c.caller] = f
		if f.LateBy > 0 {
			time.AfterFunc(f.LateBy, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				_, _ = s.do(t)
			})
		} else {
			_, _ = s.do(t)
		}
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ErrLost
	}
	defer s.mu.Unlock()
	c.era = s.era
	return s.do(t)
}

func (s *Store) do(t store.Txn) (store.Revision, error) {
	s.expire(time.Now())
	conflict := &store.Conflict{}
	for _, e := range t.Expect {
		item := s.items[e.Key]
		item.Key = e.Key
		conflict.Items = append(conflict.Items, item)
	}
	for i, e := range t.Expect {
		if conflict.Items[i].Revision.Number() != e.Revision.Number() {
			return 0, conflict
		}
	}
	for _, p := range t.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	s.rev++
	for _, p := range t.Put {
		s.put(p)
	}
	for _, key := range t.Delete {
		if _, ok := s.items[key]; ok {
			s.deleteKey(key)
		}
	}
	s.signal()
	return s.revision(), nil
}

// Grant implements store.Writer.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	if err := c.begin(ctx, writeCall); err != nil {
		return 0, 0, err
	}
	id, granted := c.grant(ttl)
	return id, granted, c.store.answer(ctx, answerBytes)
}

func (c *Client) grant(ttl time.Duration) (int64, time.Duration) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	c.era = s.era
	s.lastID++
	ttl = max(s.minTTL, ttl)
	if s.maxTTL > 0 {
		ttl = min(s.maxTTL, ttl)
	}
	s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
	return s.lastID, ttl
}

// LimitTTL makes the store grant leases of at most this time to live from now on, whatever is asked for.
func (s *Store) LimitTTL(most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxTTL = most
}

// Keep implements store.Writer.
func (c *Client) Keep(ctx context.Context, id int64) error {
	if err := c.begin(ctx, renewalCall); err != nil {
		return err
	}
	err := c.keep(id)
	if late := c.store.answer(ctx, answerBytes); late != nil {
		return late
	}
	return err
}

func (c *Client) keep(id int64) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c.era = s.era
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// End implements store.Writer.
func (c *Client) End(ctx context.Context, id int64) error {
	if err := c.begin(ctx, writeCall); err != nil {
		return err
	}
	err := c.end(id)
	if late := c.store.answer(ctx, answerBytes); late != nil {
		return late
	}
	return err
}

func (c *Client) end(id int64) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	c.era = s.era
	if _, ok := s.leases[id]; !ok {
		return store.ErrNotFound
	}
	delete(s.leases, id)
	s.deleteLease(id)
	return nil
}
