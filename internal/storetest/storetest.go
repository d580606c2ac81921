// Package storetest is a stand-in of the platform's metadata store: items with
// revisions, transactions, watches and leases, in memory, with the faults that
// the real one has. It is meant for tests and the embedded demo.
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

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Faults are what a caller meets. The zero value is none.
type Faults struct {
	Down     bool          // calls hang until they are given up on
	Busy     bool          // calls are refused
	LoseNext int           // so many writes are done and not answered
	Late     time.Duration // a write that is not answered is done so much later
	Silent   bool          // watches hear nothing
	Slow     time.Duration // added to each call
	Frozen   bool          // the caller stands still: its calls leave, and their answers reach it, once it goes on
}

// ErrLost says that an answer was lost.
var ErrLost = errors.New("no answer")

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the stand-in.
type Store struct {
	ttl  time.Duration // the shortest lease
	wait time.Duration // how long a watch is held

	mu      sync.Mutex
	era     int64                 // guarded by mu
	rev     int64                 // guarded by mu
	items   map[string]store.Item // guarded by mu
	made    map[string]time.Time  // when each item was made; guarded by mu
	log     []store.Event         // guarded by mu
	oldest  int64                 // revision that the log begins after; guarded by mu
	leases  map[int64]lease       // guarded by mu
	lastID  int64                 // guarded by mu
	changed chan struct{}         // closed and made anew with each change; guarded by mu
	faults  map[string]Faults     // by caller; guarded by mu
	calls   int                   // guarded by mu
}

// New returns an empty store.
func New() *Store {
	return &Store{
		ttl: time.Second, wait: 2 * time.Second, items: make(map[string]store.Item), made: make(map[string]time.Time), leases: make(map[int64]lease),
		changed: make(chan struct{}), faults: make(map[string]Faults),
	}
}

// SetFaults sets what a caller meets; "" is every caller without faults of its own.
func (s *Store) SetFaults(caller string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = f
	s.signal()
}

// ClearFaults makes a caller meet what every caller does.
func (s *Store) ClearFaults(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, caller)
	s.signal()
}

// Compact forgets the history: watches have to list anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.oldest = nil, s.rev
	s.signal()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as the operators and the servers do. A nil value drops it.
func (s *Store) Put(key string, value []byte) store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	s.rev++
	if value == nil {
		s.drop(key)
	} else {
		s.put(store.Put{Key: key, Value: value})
	}
	s.signal()
	return s.revision()
}

// revision returns the store's revision.
func (s *Store) revision() store.Revision { return revision(s.era, s.rev) }

func revision(era, number int64) store.Revision {
	r, err := store.NewRevision(era, number)
	if err != nil {
		panic(err) // no test writes so much
	}
	return r
}

// Client returns the store as one caller sees it.
func (s *Store) Client(caller string) *Client { return &Client{store: s, caller: caller} }

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(p store.Put) {
	item := store.Item{Key: p.Key, Value: p.Value, Revision: s.revision(), Lease: p.Lease}
	if _, known := s.items[p.Key]; !known {
		s.made[p.Key] = time.Now()
	}
	s.items[p.Key] = item
	s.log = append(s.log, store.Event{Item: item})
}

func (s *Store) drop(key string) {
	delete(s.items, key)
	delete(s.made, key)
	s.log = append(s.log, store.Event{Item: store.Item{Key: key, Revision: s.revision()}, Gone: true})
}

// expire drops the keys of leases that ran out.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		s.dropLease(id)
	}
}

func (s *Store) dropLease(id int64) {
	for key, item := range s.items {
		if item.Lease == id {
			s.rev++
			s.drop(key)
		}
	}
	s.signal()
}

// Client is the store as one caller sees it.
type Client struct {
	store  *Store
	caller string
	era    int64 // the latest that an answer named; guarded by store.mu
}

// Era implements store.Reader.
func (c *Client) Era() int64 {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.era
}

// enter begins a call: it meets the caller's faults.
func (c *Client) enter(ctx context.Context) error {
	s := c.store
	c.awaitThaw()
	s.mu.Lock()
	f, ok := s.faults[c.caller]
	if !ok {
		f = s.faults[""]
	}
	s.calls++
	s.mu.Unlock()
	switch {
	case f.Busy:
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

// thawPoll is how often a caller that stands still is looked at.
const thawPoll = 5 * time.Millisecond

// awaitThaw returns once the caller does not stand still.
func (c *Client) awaitThaw() {
	for c.frozen() {
		time.Sleep(thawPoll)
	}
}

func (c *Client) frozen() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.faults[c.caller].Frozen
}

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.Item, store.Revision, error) {
	if err := c.enter(ctx); err != nil {
		return store.Item{}, 0, err
	}
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
	if err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
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
	return out, s.revision(), nil
}

// peekAge is how old the state is that Peek tells.
const peekAge = 2 * time.Second

// Peek implements store.Reader: it does not tell keys that were made just now.
func (c *Client) Peek(ctx context.Context, prefix string) ([]store.Item, error) {
	items, _, err := c.Range(ctx, prefix)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	young := func(i store.Item) bool { return time.Since(c.store.made[i.Key]) < peekAge }
	return slices.DeleteFunc(items, young), err
}

// Watch implements store.Reader.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Event, store.Revision, error) {
	if err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	end := time.NewTimer(c.store.wait)
	defer end.Stop()
	look := time.NewTicker(50 * time.Millisecond) // leases run out without a call
	defer look.Stop()
	for {
		c.awaitThaw()
		events, at, changed, err := c.since(prefix, after)
		if err != nil {
			return nil, 0, err
		}
		restored := at.Era() != after.Era()
		if len(events) > 0 && !restored {
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
		case <-look.C:
		case <-changed:
		}
	}
}

func (c *Client) since(prefix string, after store.Revision) ([]store.Event, store.Revision, <-chan struct{}, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c.era = s.era
	if n := after.Number(); n < s.oldest || n > s.rev {
		return nil, 0, nil, store.ErrCompacted
	}
	if s.faults[c.caller].Silent {
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
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	if t.ExpectsBefore(c.era) {
		s.mu.Unlock()
		return 0, &store.Conflict{}
	}
	f := s.faults[c.caller]
	if f.LoseNext > 0 {
		f.LoseNext--
		s.faults[c.caller] = f
		if f.Late > 0 {
			time.AfterFunc(f.Late, func() {
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
	for _, key := range t.Drop {
		if _, ok := s.items[key]; ok {
			s.drop(key)
		}
	}
	s.signal()
	return s.revision(), nil
}

// Grant implements store.Writer.
func (c *Client) Grant(ctx context.Context, ttlMs int64) (int64, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	c.era = s.era
	s.lastID++
	ttl := max(s.ttl, time.Duration(ttlMs)*time.Millisecond)
	s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
	return s.lastID, nil
}

// Keep implements store.Writer.
func (c *Client) Keep(ctx context.Context, id int64) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
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
	if err := c.enter(ctx); err != nil {
		return err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	c.era = s.era
	if _, ok := s.leases[id]; !ok {
		return store.ErrNotFound
	}
	delete(s.leases, id)
	s.dropLease(id)
	return nil
}
