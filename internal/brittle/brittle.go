// Package brittle keeps the rejections low that endpoints make for lack of room while they are
// brittle: they say then that they fall over after more than a number of rejections in a second,
// counted over the requests of all instances.
//
// The slots of an endpoint are divided among the instances, so that requests within the shares find
// room, without any exchange between instances. A request beyond the share takes the slot of another
// instance: it is rejected if that one uses it, or else a request of that one may be. Such requests
// are limited to a part of the stated number a second over all instances, with grants as for a rate
// limit. After a rejection, a slot of the share counts as taken for a moment. Requests that get neither
// a slot nor a grant are refused.
//
// The package does no I/O and reads no clock. Table is safe for concurrent use.
package brittle

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

const (
	// riskShare is the rate of requests beyond the shares, as a share of the stated rejections. Each can
	// lead to two rejections: its own, and that of the instance whose slot it took. The rest allows for
	// instances that start or stop, when the shares of the others change.
	riskShare = 0.35
	// rejectionHold is how long a slot of the share counts as taken by another instance after a rejection
	// of a request within the share.
	rejectionHold = 250 * time.Millisecond
	// riskPause is how long no request beyond the share is sent to an endpoint after a rejection of one: the
	// other instances use their slots.
	riskPause = time.Second
	// departureHold is how long the share of an instance that is gone is left to it: its requests may
	// still be running.
	departureHold = 3 * time.Second
	// aloneAfter is the time from the start from which an instance that knows no other one takes itself
	// for the only one.
	aloneAfter = 2 * time.Second
	// statementTTL is how long a service counts as brittle after the last statement, if no answer says
	// otherwise.
	statementTTL = 5 * time.Second
)

// Options configure a Table.
type Options struct {
	Self      string                             // name of this instance
	Start     time.Time                          // of this instance
	Instances func() []string                    // names of the other instances
	TimeOfDay func(now time.Time) time.Time      // as for ratelimit.Options
	OnChange  func(service string, most int)     // called for each change of a service's statement; may be nil
	Slots     func(e *registry.Endpoint) (n int) // requests that an endpoint handles at once; 0 if unknown
	// Endpoints returns the endpoints of a service, the same at all instances as far as the store's entries
	// have reached them. The slice must not change.
	Endpoints func(service string) []registry.Endpoint
}

// Table holds which services are brittle.
type Table struct {
	options Options
	risks   *ratelimit.Table // grants for requests beyond the shares, by endpoint
	count   atomic.Int64     // services with a statement

	mu         sync.Mutex
	statements map[string]statement // by service; guarded by mu
	granted    map[string]int       // what the grants of an endpoint go by; guarded by mu
	seenAt     map[string]time.Time // when other instances were last known, by name; guarded by mu
	heldUntil  map[string]time.Time // until when a slot of the share counts as taken, by endpoint; guarded by mu
	riskAfter  map[string]time.Time // when requests beyond the share may be sent again, by endpoint; guarded by mu
	divisions  map[string]*division // by service; guarded by mu
}

// statement is what the answers of a service state.
type statement struct {
	most int       // 0 if they no longer state anything
	at   time.Time // when the answer was read
}

// New returns a table by which no service is brittle.
func New(o Options) *Table {
	return &Table{
		options: o, statements: make(map[string]statement), granted: make(map[string]int), heldUntil: make(map[string]time.Time), riskAfter: make(map[string]time.Time), divisions: make(map[string]*division), seenAt: make(map[string]time.Time),
		risks: ratelimit.New(ratelimit.Options{Self: o.Self, Instances: o.Instances, TimeOfDay: o.TimeOfDay}),
	}
}

// Observe applies what an answer of an endpoint states: the rejections a second after which it falls
// over, 0 if it does not. The endpoints of a service are brittle together, so that the statement holds
// for all of them. An answer without it ends the state only if its request was sent after the last
// statement was read.
func (t *Table) Observe(endpoint *registry.Endpoint, most int, sent, read time.Time) {
	if most <= 0 && t.count.Load() == 0 {
		return
	}
	if t.observe(endpoint.Service, most, sent, read) && t.options.OnChange != nil {
		t.options.OnChange(endpoint.Service, most)
	}
}

func (t *Table) observe(service string, most int, sent, read time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.statements[service]
	if most <= 0 && (!known || sent.Before(old.at)) {
		return false
	}
	t.set(service, statement{max(0, most), read})
	return old.most != most
}

// set stores a statement. mu is held.
func (t *Table) set(service string, s statement) {
	t.statements[service] = s
	t.count.Store(int64(len(t.statements)))
}

// Report is the statement of a service as one instance reports it to others.
type Report struct {
	Service string
	Most    int
	Age     time.Duration // since it was read
}

// Reports returns the statements that are in force.
func (t *Table) Reports(now time.Time) []Report {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for service, s := range t.statements {
		if s.most > 0 && now.Sub(s.at) <= statementTTL {
			out = append(out, Report{service, s.most, now.Sub(s.at)})
		}
	}
	return out
}

// Apply applies the reports of another instance, so that an instance that starts knows of a service
// before it has sent it anything.
func (t *Table) Apply(reports []Report, now time.Time) {
	for _, r := range reports {
		if at := now.Add(-r.Age); t.apply(r, at) && t.options.OnChange != nil {
			t.options.OnChange(r.Service, r.Most)
		}
	}
}

func (t *Table) apply(r Report, at time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.statements[r.Service]
	if !at.After(old.at) {
		return false
	}
	t.set(r.Service, statement{r.Most, at})
	return old.most != r.Most
}

// Most returns the rejections a second after which an endpoint of a service falls over, 0 if the
// service is not brittle.
func (t *Table) Most(service string, now time.Time) int {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.statements[service]; now.Sub(s.at) <= statementTTL {
		return s.most
	}
	return 0
}

// others returns the names of the other instances that have a share, in order.
func (t *Table) others(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.options.Instances() {
		t.seenAt[name] = now
	}
	names := make([]string, 0, len(t.seenAt))
	for name, at := range t.seenAt {
		if now.Sub(at) > departureHold {
			delete(t.seenAt, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Rejected records that an endpoint rejected a request for lack of room. beyond tells whether the request was
// beyond the share.
func (t *Table) Rejected(endpoint *registry.Endpoint, beyond bool, now time.Time) {
	if t.Most(endpoint.Service, now) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if beyond {
		t.riskAfter[endpoint.ID] = now.Add(riskPause)
	} else {
		t.heldUntil[endpoint.ID] = now.Add(rejectionHold)
	}
}

// riskPaused reports whether no request beyond the share may be sent to an endpoint now.
func (t *Table) riskPaused(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.riskAfter[endpoint])
}

// slotHeld reports whether a slot of the share at an endpoint counts as taken by another instance.
func (t *Table) slotHeld(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.heldUntil[endpoint])
}

// limitRisks sets how many requests beyond the shares an endpoint may be sent.
func (t *Table) limitRisks(endpoint string, most int, now time.Time) {
	t.mu.Lock()
	known := t.granted[endpoint] == most
	t.granted[endpoint] = most
	t.mu.Unlock()
	if !known {
		t.risks.Observe(endpoint, ratelimit.Limit{Kind: ratelimit.Limited, Rate: riskShare * float64(most)}, now, now)
	}
}

// Room is where a request to a brittle service may go.
type Room struct {
	Within []registry.Endpoint // endpoints at which this instance has a part of its share left
	Beyond []registry.Endpoint // endpoints at which it has a grant for a request beyond its share
	Share  int                 // its shares at all endpoints together
}

// Split returns which of the endpoints of a brittle service have room, given this instance's requests
// there.
func (t *Table) Split(endpoints []registry.Endpoint, open func(endpoint string) int, now time.Time) Room {
	var room Room
	others := t.others(now)
	for i := range endpoints {
		e := &endpoints[i]
		t.limitRisks(e.ID, t.Most(e.Service, now), now)
		share := t.share(e, others, now)
		room.Share += share
		held := t.slotHeld(e.ID, now)
		free := share - open(e.ID)
		if held {
			free--
		}
		switch {
		case t.options.Slots(e) == 0 || free > 0:
			room.Within = append(room.Within, *e)
		case !held && !t.riskPaused(e.ID, now) && t.risks.Allows(e.ID, now):
			room.Beyond = append(room.Beyond, *e)
		}
	}
	return room
}

// TakeRisk takes the grant for a request beyond the share, and reports whether there was one.
func (t *Table) TakeRisk(endpoint string, now time.Time) bool {
	return t.risks.Take(endpoint, now) == nil
}

// Expire drops what is no longer needed.
func (t *Table) Expire(listed func(endpoint string) bool, now time.Time) {
	t.risks.Expire(listed, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.granted {
		if !listed(id) {
			delete(t.granted, id)
		}
	}
	past := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(t.heldUntil, past)
	maps.DeleteFunc(t.riskAfter, past)
	for service, s := range t.statements {
		if now.Sub(s.at) > statementTTL {
			delete(t.statements, service)
			delete(t.divisions, service)
		}
	}
	t.count.Store(int64(len(t.statements)))
}
