// Package quarantine detects queries of death, requests that make endpoints crash, and keeps them
// from running.
//
// An end is the termination of one incarnation of an endpoint. Every request that was running at
// that time becomes a suspect, since any of them may have caused it. Suspects are identified by
// their fingerprint, since a caller that retries uses another request id. A request that completes
// is cleared. One with enough ends is quarantined: it does not run until a deadline, and then runs
// on one endpoint at a time, which decides whether it is cleared or quarantined again.
//
// Requests that share one part of their prompt may each crash the endpoint that begins an answer on it.
// Parts are suspects as well; parts.go says how the one is found that is the cause.
//
// Instances exchange what they observed. Updates may arrive late, twice or in any order: the state
// of a Table depends on the updates received, not on when they came. The package reads no clock.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Numbers of ends from which a request is restricted.
const (
	// endsToQuarantine is the number from which a request does not run. Operators tolerate three
	// lost endpoints per request.
	endsToQuarantine = 3
	// endsToSerialize is the number from which a request runs on one endpoint at a time, so that
	// few runs are in flight when the last end is detected.
	endsToSerialize = endsToQuarantine - 1
)

// Times.
const (
	// endWindow is how long an end counts.
	endWindow = time.Minute
	// EndDetectionTimeout is how long after an interrupted run the end of its endpoint is waited
	// for. By then a restart has been detected, and so has an entry that expired after three
	// missed heartbeats of 1.2 s.
	EndDetectionTimeout = 6 * time.Second
	// suspectRetention is how long a request is remembered after its quarantine, so that the next
	// end puts it into a longer quarantine at once.
	suspectRetention = 10 * time.Minute
	// MaxLength bounds the length of a quarantine that another instance reports.
	MaxLength = 24 * time.Hour
	// maxDoublings bounds how often the length of a quarantine doubles.
	maxDoublings = 4
)

// Options configure a Table.
type Options struct {
	// Length is the length of the first quarantine of a request. It doubles with each further one.
	Length time.Duration
	// MaxSuspects bounds the number of suspects, which take some 300 bytes each. One client
	// account, or all public routes together, may have maxAccountShare of them.
	MaxSuspects int
}

// maxAccountShare is the share of all suspects that one client account may have, so that it can
// neither fill the table nor evict the suspects of others.
const maxAccountShare = 0.25

// Run is a run of a request on an endpoint that was interrupted, by the endpoint or because the
// caller disconnected.
type Run struct {
	Fingerprint Fingerprint
	Endpoint    string // id of the incarnation
	Name        string // id of the endpoint, the same for all its incarnations
	Account     string // client account of the request; empty on a public route
	// Parts are the IDs of the parts of the prompt that other requests may share. It is empty if the
	// endpoint had begun its answer: the parts are not why it ended then.
	Parts []string
}

// Suspect is the state of a request, or of a part of prompts, that ran on endpoints when they ended.
type Suspect struct {
	Fingerprint      Fingerprint
	Part             string // ID, if it is a part of prompts
	Position         int    // of the part in a prompt, from 0; the lowest seen
	Account          string
	Ends             map[string]time.Time // when endpoints ended while running it, by the id of the incarnation
	ClearedAt        time.Time            // when it last completed or an operator lifted the quarantine; ends up to then do not count
	QuarantinedUntil time.Time            // end of its last quarantine; zero if it was not quarantined since it was cleared
	Strikes          int                  // number of quarantines since it was cleared

	endLearnedAt time.Time // when this instance learned of the latest of the ends
}

// Change is a change of a suspect.
type Change struct {
	Suspect  Suspect // after the change
	Kind     ChangeKind
	Endpoint string // the incarnation that ended, or on which the request completed; empty if not known
	Ends     int    // for Released, the number of ends that it was cleared of
}

// ChangeKind is a kind of change.
type ChangeKind int

// The kinds of changes.
const (
	EndSeen ChangeKind = iota
	Quarantined
	Released
)

// Verdict is the decision how a request may run.
type Verdict int

// The verdicts.
const (
	Unrestricted Verdict = iota
	Undecided            // runs elsewhere may clear it within SettleTime
	Serialized           // on one endpoint at a time
	Refused              // not until the quarantine ends
)

// Table holds the suspects. It is safe for concurrent use.
type Table struct {
	options      Options
	suspectCount atomic.Int32 // length of suspects; read without mu
	partCount    atomic.Int32 // number of suspects that are parts of prompts; read without mu

	mu              sync.Mutex
	suspects        map[Fingerprint]*Suspect // guarded by mu
	byLength        map[int]int              // number of suspects by the length of their fingerprint; guarded by mu
	byAccount       map[string]int           // number of suspects by client account; guarded by mu
	interrupted     []interruptedRun         // runs of which it is not known yet whether their endpoint ended; guarded by mu
	endedEndpoints  map[string]time.Time     // incarnations that ended, and when that was detected; guarded by mu
	allEnds         map[string]time.Time     // when incarnations ended that ran anything, as any instance saw it; guarded by mu
	ownUpdates      map[Fingerprint]bool     // suspects that changed by what this instance observed, for Updates; guarded by mu
	receivedUpdates map[Fingerprint]bool     // suspects that changed by what others reported, for Updates; guarded by mu

	candidates       map[Fingerprint]*Suspect // parts with endsToName or more ends; guarded by mu
	quarantinedParts map[Fingerprint]*Suspect // parts that were quarantined since they were cleared; guarded by mu
	nameAt           time.Time                // when NameParts has something to decide; zero for nothing; guarded by mu
}

type interruptedRun struct {
	Run
	at time.Time
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		options: o, suspects: make(map[Fingerprint]*Suspect), byLength: make(map[int]int), byAccount: make(map[string]int),
		endedEndpoints: make(map[string]time.Time), allEnds: make(map[string]time.Time), ownUpdates: make(map[Fingerprint]bool), receivedUpdates: make(map[Fingerprint]bool),
		candidates: make(map[Fingerprint]*Suspect), quarantinedParts: make(map[Fingerprint]*Suspect),
	}
}

// MaybeSuspect reports whether there is a suspect with this fingerprint length. It takes no lock
// while there are no suspects.
func (t *Table) MaybeSuspect(length int) bool {
	if t.suspectCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byLength[length] > 0
}

// Verdict returns how a request, or one with a part, may run, and for Refused the end of the quarantine.
func (t *Table) Verdict(f Fingerprint, now time.Time) (Verdict, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	switch {
	case s == nil:
		return Unrestricted, time.Time{}
	case now.Before(s.QuarantinedUntil):
		return Refused, s.QuarantinedUntil
	case !s.QuarantinedUntil.IsZero():
		return Serialized, time.Time{}
	}
	if len(s.Ends) < endsToSerialize {
		return Unrestricted, time.Time{}
	}
	ends := t.countedEnds(s, now)
	switch {
	case len(ends) < endsToSerialize:
		return Unrestricted, time.Time{}
	case f.IsPart() && now.Before(s.endLearnedAt.Add(SettleTime)):
		return Undecided, time.Time{}
	}
	return Serialized, time.Time{}
}

// refused returns the error for a suspect that may not run until a time; zero if only one run at a time may.
func (t *Table) refused(f Fingerprint, until time.Time) *RefusedError {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &RefusedError{Fingerprint: f, Until: until}
	if s := t.suspects[f]; s != nil {
		r.Ends, r.Part = len(s.Ends), s.Part
	}
	return r
}

// RunInterrupted records an interrupted run. It counts as an end if its endpoint is known to have
// ended, or is found to have within EndDetectionTimeout.
func (t *Table) RunInterrupted(r Run, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ended := t.endedEndpoints[r.Endpoint]; ended {
		return t.recordEnd(r, now, now)
	}
	t.interrupted = append(t.interrupted, interruptedRun{r, now})
	return nil
}

// EndpointEnded records that an incarnation of an endpoint has ended without having announced that it leaves.
func (t *Table) EndpointEnded(endpoint string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endedEndpoints[endpoint] = now
	return t.resolveInterrupted(func(r Run) bool { return r.Endpoint == endpoint }, now)
}

// KnownEnded reports whether an incarnation of an endpoint is known to have ended.
func (t *Table) KnownEnded(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ended := t.endedEndpoints[endpoint]
	return ended
}

// EndpointRestarted records that an endpoint runs as the given incarnation, so that all others of
// that name have ended.
func (t *Table) EndpointRestarted(name, endpoint string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resolveInterrupted(func(r Run) bool { return r.Name == name && r.Endpoint != endpoint }, now)
}

// resolveInterrupted records an end for each interrupted run that matches. t.mu must be held.
func (t *Table) resolveInterrupted(matches func(Run) bool, now time.Time) (changes []Change) {
	rest := t.interrupted[:0]
	for _, b := range t.interrupted {
		if matches(b.Run) {
			t.endedEndpoints[b.Endpoint] = now
			changes = append(changes, t.recordEnd(b.Run, b.at, now)...)
		} else {
			rest = append(rest, b)
		}
	}
	t.interrupted = rest
	return changes
}

// recordEnd records the end of an endpoint for a request and the parts of its prompt, unless that is known.
// t.mu must be held.
func (t *Table) recordEnd(r Run, at, now time.Time) (changes []Change) {
	t.allEnds[r.Endpoint] = at
	record := func(s *Suspect) {
		if !s.addEnd(r.Endpoint, at) {
			return
		}
		s.endLearnedAt = now
		t.ownUpdates[s.Fingerprint] = true
		changes = append(changes, Change{s.clone(), EndSeen, r.Endpoint, 0})
		changes = append(changes, t.evaluate(s, now)...)
	}
	record(t.findOrAdd(&Suspect{Fingerprint: r.Fingerprint, Account: r.Account}, at))
	for i, id := range r.Parts {
		record(t.findOrAdd(&Suspect{Fingerprint: OfPart(id), Part: id, Position: i, Account: r.Account}, at))
	}
	return changes
}

// evaluate quarantines a suspect if it has enough ends, or any end after an earlier quarantine. Whether a part
// is quarantined for the first time is decided by NameParts.
func (t *Table) evaluate(s *Suspect, now time.Time) []Change {
	if now.Before(s.QuarantinedUntil) {
		return nil
	}
	if s.QuarantinedUntil.IsZero() {
		if s.Fingerprint.IsPart() {
			t.considerPart(s, now)
			return nil
		}
		if len(t.countedEnds(s, now)) < endsToQuarantine {
			return nil
		}
	} else if s.recentEndsAfter(s.QuarantinedUntil, now) == 0 {
		return nil
	}
	return t.quarantine(s, now)
}

// quarantine starts a quarantine of a suspect.
func (t *Table) quarantine(s *Suspect, now time.Time) []Change {
	t.setQuarantine(s, now.Add(t.options.Length<<min(s.Strikes, maxDoublings)), s.Strikes+1)
	return []Change{{s.clone(), Quarantined, "", 0}}
}

func (t *Table) setQuarantine(s *Suspect, until time.Time, strikes int) {
	s.QuarantinedUntil, s.Strikes = until, strikes
	if s.Fingerprint.IsPart() {
		t.quarantinedParts[s.Fingerprint] = s
	}
}

// clear clears a suspect of the ends up to a time.
func (t *Table) clear(s *Suspect, at time.Time) {
	s.clear(at)
	delete(t.quarantinedParts, s.Fingerprint)
	delete(t.candidates, s.Fingerprint)
	if len(t.candidates) > 0 {
		t.nameAt = at // the suspect no longer explains the ends of others
	}
}

// ClearSuspect clears a request that completed on an endpoint, or whose quarantine an operator
// lifts, in which case endpoint is empty.
func (t *Table) ClearSuspect(f Fingerprint, endpoint string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || len(s.Ends) == 0 && s.QuarantinedUntil.IsZero() {
		return nil
	}
	ends := len(s.Ends)
	t.clear(s, now)
	t.ownUpdates[f] = true
	return []Change{{s.clone(), Released, endpoint, ends}}
}

// Apply merges suspects that another instance reported.
func (t *Table) Apply(reported []Suspect, now time.Time) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reported {
		changes = append(changes, t.apply(&reported[i], now)...)
	}
	return changes
}

func (t *Table) apply(reported *Suspect, now time.Time) (changes []Change) {
	s := t.findOrAdd(reported, now)
	if reported.ClearedAt.After(s.ClearedAt) {
		ends, released := len(s.Ends), len(s.Ends) > 0 || !s.QuarantinedUntil.IsZero()
		t.clear(s, reported.ClearedAt)
		if released {
			changes = append(changes, Change{s.clone(), Released, "", ends})
		}
	}
	for endpoint, at := range reported.Ends {
		t.allEnds[endpoint] = at
		if s.addEnd(endpoint, at) {
			s.endLearnedAt = now
			changes = append(changes, Change{s.clone(), EndSeen, endpoint, 0})
		}
	}
	if reported.QuarantinedUntil.After(s.QuarantinedUntil) && !reported.ClearedAt.Before(s.ClearedAt) {
		t.setQuarantine(s, reported.QuarantinedUntil, max(s.Strikes, reported.Strikes))
		changes = append(changes, Change{s.clone(), Quarantined, "", 0})
	}
	changes = append(changes, t.evaluate(s, now)...)
	if len(changes) > 0 {
		t.receivedUpdates[s.Fingerprint] = true
	}
	return changes
}

// Updates returns the suspects that changed since the last call: own by what this instance observed,
// received by what others reported. A suspect may be in both.
func (t *Table) Updates() (own, received []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainUpdates(t.ownUpdates), t.drainUpdates(t.receivedUpdates)
}

// drainUpdates returns the suspects in changed and clears that. t.mu must be held.
func (t *Table) drainUpdates(changed map[Fingerprint]bool) (out []Suspect) {
	for f := range changed {
		if s := t.suspects[f]; s != nil {
			out = append(out, s.clone())
		}
	}
	clear(changed)
	return out
}

// Suspects returns all suspects, or only those that are RelevantToAll.
func (t *Table) Suspects(all bool, now time.Time) []Suspect {
	if t.suspectCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspect
	for _, s := range t.suspects {
		if all || s.RelevantToAll(now) {
			out = append(out, s.clone())
		}
	}
	return out
}

// Find returns the suspect whose fingerprint begins with the hexadecimal digits, or the part with that ID, if
// there is exactly one.
func (t *Table) Find(digits string) (Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Suspect
	for f, s := range t.suspects {
		if digits != "" && (digits == s.Part || len(digits) <= 2*hashSize && f.String()[:len(digits)] == digits) {
			found = append(found, s)
		}
	}
	if len(found) != 1 {
		return Suspect{}, false
	}
	return found[0].clone(), true
}

// Expire removes expired suspects, and runs and ended endpoints older than EndDetectionTimeout.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interrupted = slices.DeleteFunc(t.interrupted, func(b interruptedRun) bool { return now.Sub(b.at) > EndDetectionTimeout })
	maps.DeleteFunc(t.allEnds, func(_ string, at time.Time) bool { return now.Sub(at) > endWindow })
	maps.DeleteFunc(t.endedEndpoints, func(_ string, at time.Time) bool { return now.Sub(at) > EndDetectionTimeout })
	for f, s := range t.suspects {
		if s.expired(now) {
			t.remove(f)
		}
	}
}

// findOrAdd returns the suspect with the fingerprint of another one. If there is none it adds one, and evicts
// others if there is no room for it. t.mu must be held.
func (t *Table) findOrAdd(like *Suspect, now time.Time) *Suspect {
	f, account := like.Fingerprint, like.Account
	s := t.suspects[f]
	if s != nil {
		s.Position = min(s.Position, like.Position)
		return s
	}
	if t.byAccount[account] >= int(maxAccountShare*float64(t.options.MaxSuspects)) {
		t.evict(func(s *Suspect) bool { return s.Account == account }, now)
	} else if len(t.suspects) >= t.options.MaxSuspects {
		t.evict(func(*Suspect) bool { return true }, now)
	}
	s = &Suspect{Fingerprint: f, Part: like.Part, Position: like.Position, Account: account, Ends: make(map[string]time.Time)}
	t.suspects[f] = s
	t.byLength[f.Length]++
	t.partCount.Store(int32(t.byLength[partLength]))
	t.byAccount[account]++
	t.suspectCount.Store(int32(len(t.suspects)))
	return s
}

// evictedShare is the share of the candidates that is evicted at once. Sorting them for each new
// suspect would be slow: a power loss adds hundreds.
const evictedShare = 0.25

// evict removes evictedShare of the suspects that match, those that come first by compareSuspicion.
// At least one must match.
func (t *Table) evict(matches func(*Suspect) bool, now time.Time) {
	var candidates []*Suspect
	for _, s := range t.suspects {
		if matches(s) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *Suspect) int { return compareSuspicion(a, b, now) })
	for _, s := range candidates[:max(1, int(evictedShare*float64(len(candidates))))] {
		t.remove(s.Fingerprint)
	}
}

func (t *Table) remove(f Fingerprint) {
	s := t.suspects[f]
	delete(t.suspects, f)
	delete(t.ownUpdates, f)
	delete(t.receivedUpdates, f)
	delete(t.candidates, f)
	delete(t.quarantinedParts, f)
	if t.byLength[f.Length]--; t.byLength[f.Length] <= 0 {
		delete(t.byLength, f.Length)
	}
	if t.byAccount[s.Account]--; t.byAccount[s.Account] <= 0 {
		delete(t.byAccount, s.Account)
	}
	t.suspectCount.Store(int32(len(t.suspects)))
	t.partCount.Store(int32(t.byLength[partLength]))
}
