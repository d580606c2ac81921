package check

import (
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Bounds are the figures of the rules.
type Bounds struct {
	Contact      time.Duration // for which an instance has to be undisturbed to be in touch
	Drain        time.Duration // after which an endpoint that leaves gets no new work
	Revoke       time.Duration // after which a key that was taken away must not work
	Config       time.Duration // after which a configuration is in force
	RollbackOver time.Duration // after an effect of a configuration was seen, from which none before it may show
	Grace        time.Duration // that a stopping instance has
	Recover      time.Duration // after the last fault, from which requests are served again
	RetryRatio   float64       // repeats allowed for each request
	RetrySlack   float64       // repeats allowed beside, in each window
	RetryWindow  time.Duration
	QuotaOver    float64 // share by which a window may go over an account's limit
	QuotaWindow  time.Duration
}

// Attempt is one request of a caller, as the caller saw it.
type Attempt struct {
	ID          string
	Instance    string // that it was sent to
	Incarnation int    // of the instance's process
	Route       string
	Since       int64 // version of the configuration that added the route; 0 if it was always there
	Until       int64 // version that removed it; 0 if none did
	Service     string
	Account     string
	KeyRevoked  time.Time // acknowledgement of the configuration that took the key away; zero if none did
	Method      string
	URI         string
	BodySum     uint64
	Units       float64 // of the account's limit
	Deadline    time.Duration
	Idempotent  bool
	Stream      bool
	Pieces      int // events of the whole stream
	MaxAttempts int
	SentAt      time.Time
	EndedAt     time.Time
	LeftAt      time.Time // when the caller gave up; zero if it did not
	Status      int       // 0 if there was no answer
	Sealed      bool      // the answer bears an endpoint's seal
	AnswerID    string    // request that the answer names
	AnswerSum   uint64
	Whole       bool  // the answer looked complete
	Events      []int // numbers of the events of a stream, 1 for the first
	BadEvent    bool  // an event was not the endpoint's for this request
}

// Arrival is a request at an endpoint.
type Arrival struct {
	Request   string
	Endpoint  string
	Service   string
	At        time.Time
	Method    string
	URI       string
	BodySum   uint64
	Account   string
	Deadline  time.Duration // in the request's header; negative if there is none
	Ran       bool          // the endpoint began to work on it
	EndedAt   time.Time     // of the work; zero while it goes on
	Broke     bool          // the endpoint broke off
	Crashed   bool          // the endpoint ended under it
	Status    int
	AnswerSum uint64
}

// Statement is what an endpoint announced of itself in an answer to an instance.
type Statement struct {
	Endpoint  string
	Instance  string
	At        time.Time
	Leaving   bool
	RestUntil time.Time // until when it wants nothing from the instance; zero if it did not say
	RateLimit bool      // it names the limit that is in force
}

// RateChange is a change of the rate limit that an endpoint names.
type RateChange struct {
	Endpoint string
	At       time.Time
	Limited  bool
	Rate     float64 // requests a second
}

// Config is a version of the configuration that the store acknowledged.
type Config struct {
	Version int64
	SentAt  time.Time
	AckedAt time.Time
}

// Leaving is an endpoint whose leaving the store acknowledged.
type Leaving struct {
	Endpoint string
	AckedAt  time.Time
}

// Disruption strikes an instance, or the store if Instance is empty.
type Disruption struct {
	Instance string
	Kind     string
	Planned  bool // SIGTERM
	From, To time.Time
}

// HeldUp is a time for which the link to an endpoint was harmed: requests may reach it late.
type HeldUp struct {
	Endpoint string
	From, To time.Time
}

// DutyCall is a call that one instance at a time may make.
type DutyCall struct {
	At     time.Time
	Holder string
	Fence  store.Revision
	Window int64  // of a usage report
	Counts string // canonical text of its counts
}

// Exit is a process that ended by itself, or reported a broken invariant.
type Exit struct {
	Instance string
	At       time.Time
	Text     string
}

// Account is the limit of a client account.
type Account struct {
	Name        string
	Rate, Burst float64 // units
}

// History is what was recorded in one run.
type History struct {
	Bounds      Bounds
	Attempts    []Attempt
	Arrivals    []Arrival
	Statements  []Statement
	RateChanges []RateChange
	Configs     []Config
	Leavings    []Leaving
	Disruptions []Disruption
	HeldUp      []HeldUp
	DutyCalls   []DutyCall
	Exits       []Exit
	Accounts    []Account
	EndedAt     time.Time
}

// Rule checks one rule.
type Rule struct {
	Name  string
	Check func(h *index) []Violation
}

// Rules are all rules, by the names that the platform gives them.
var Rules = []Rule{
	{"MIXED", mixed}, {"ORDER", order}, {"REFUSED", refused}, {"UNASKED", unasked}, {"TWICE", twice}, {"ROUTE", routed},
	{"BUDGET attempts", budgetAttempts}, {"BUDGET deadline", budgetDeadline}, {"BUDGET retries", budgetRetries},
	{"BUDGET rest", budgetRest}, {"BUDGET deadly", budgetDeadly}, {"LIMIT", limit}, {"GONE", gone},
	{"DRAIN store", drainStore}, {"DRAIN answer", drainAnswer}, {"CONFIG keys", configKeys}, {"CONFIG old", configOld},
	{"CONFIG back", configBack}, {"DENIED", denied}, {"QUOTA", quota}, {"ONE", one}, {"LOST", lost}, {"RECOVER", recovers}, {"FAULT", faults},
}

// Run returns the violations of all rules, in the order of time.
func Run(h *History) []Violation {
	x := newIndex(h)
	var out []Violation
	for _, r := range Rules {
		out = append(out, r.Check(x)...)
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// index is a history prepared for look-ups.
type index struct {
	*History
	attempts map[string]*Attempt   // by id
	arrivals map[string][]*Arrival // by request, in the order of time
	ordered  []*Arrival            // in the order of time
}

func newIndex(h *History) *index {
	x := &index{History: h, attempts: make(map[string]*Attempt), arrivals: make(map[string][]*Arrival)}
	slices.SortStableFunc(h.Attempts, func(a, b Attempt) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortStableFunc(h.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	for i := range h.Attempts {
		x.attempts[h.Attempts[i].ID] = &h.Attempts[i]
	}
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		x.arrivals[a.Request] = append(x.arrivals[a.Request], a)
		x.ordered = append(x.ordered, a)
	}
	return x
}

// runs returns how often a request ran.
func (x *index) runs(id string) int {
	n := 0
	for _, a := range x.arrivals[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// disrupted reports whether an instance was struck within a time, or shortly before it.
func (x *index) disrupted(instance string, from, to time.Time) bool {
	for _, d := range x.Disruptions {
		if d.Instance == instance && d.From.Before(to) && from.Before(d.To.Add(x.Bounds.Contact)) {
			return true
		}
	}
	return false
}

// inTouch reports whether an instance was in touch all through a time: neither it nor the store
// was disrupted.
func (x *index) inTouch(instance string, from, to time.Time) bool {
	return !x.disrupted(instance, from, to) && !x.disrupted("", from, to)
}

// heldUp reports whether a request at an endpoint may be late because the link was harmed.
func (x *index) heldUp(r *Arrival) bool {
	for _, h := range x.HeldUp {
		if h.Endpoint == r.Endpoint && h.From.Before(r.At) && r.At.Before(h.To.Add(x.Bounds.Contact)) {
			return true
		}
	}
	return false
}

// sender returns the instance that a request was sent to.
func (x *index) sender(request string) string {
	if a := x.attempts[request]; a != nil {
		return a.Instance
	}
	return ""
}
