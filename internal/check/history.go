package check

import (
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Bounds are the time limits and tolerances of the rules.
type Bounds struct {
	Contact           time.Duration // for which an instance must be free of disruptions to count as in touch
	Drain             time.Duration // after which a leaving endpoint gets no new requests
	Revoke            time.Duration // after which a revoked key must not work
	Config            time.Duration // after which an acknowledged configuration must be applied
	RollbackTolerance time.Duration // after an effect of a configuration was observed, during which an older one may still show
	Grace             time.Duration // time for which a stopping instance still completes requests
	Recover           time.Duration // after the last fault, from which requests must be served again
	RetryRatio        float64       // retries allowed per request
	RetrySlack        float64       // retries allowed in addition, per window
	RetryWindow       time.Duration
	QuotaTolerance    float64 // fraction by which the usage in a window may exceed an account's limit
	QuotaWindow       time.Duration
}

// Attempt is one request that a caller sent to an instance, as the caller observed it.
type Attempt struct {
	ID             string
	Instance       string // instance that it was sent to
	Incarnation    int    // of the instance's process
	Route          string
	RouteAddedIn   int64 // configuration version that added the route; 0 if all versions have it
	RouteRemovedIn int64 // configuration version that removed the route; 0 if none did
	Service        string
	Account        string
	KeyRevoked     time.Time // when the configuration that revoked the key was acknowledged; zero if none did
	Method         string
	URI            string
	BodySum        uint64
	Units          float64 // that the request counts against the account's limit
	Deadline       time.Duration
	Idempotent     bool
	Retry          bool // the caller sends it again after an earlier attempt
	Stream         bool
	EventCount     int // number of events of the complete stream
	Resumable      bool
	After          int    // last event of the earlier attempts at a stream that this one takes up; 0 if it takes up none
	Resumes        string // ID of the attempt that brought the first event of that stream
	MaxAttempts    int
	SentAt         time.Time
	EndedAt        time.Time
	AbandonedAt    time.Time // when the caller abandoned the request; zero if it did not
	Status         int       // 0 if there was no response
	Sealed         bool      // the response has an endpoint's seal
	ResponseID     string    // request id in the response
	ResponseSum    uint64
	Complete       bool        // the response appeared complete to the caller
	Events         []int       // numbers of the stream events received, starting at After + 1
	Runs           []StreamRun // that sent these events, in order
	BadEvent       bool        // an event was not one that the endpoint sent for this request
	// RefusedForCapacity tells that the instance logged that it refused the request for lack of capacity.
	RefusedForCapacity bool
}

// StreamRun is a sequence of stream events that one run of a request sent.
type StreamRun struct {
	ID      string // of the run
	Version string // of the software of its endpoint
	Events  int
}

// Arrival is a request that reached an endpoint, as the endpoint observed it.
type Arrival struct {
	Request     string
	Via         string // instance that sent it to the endpoint
	Endpoint    string
	Service     string
	At          time.Time
	Method      string
	URI         string
	BodySum     uint64
	Account     string
	Deadline    time.Duration // from the request's header; negative if absent
	Ran         bool          // the endpoint started to execute it
	EndedAt     time.Time     // end of the execution; zero while it runs
	Aborted     bool          // the endpoint aborted the response
	Crashed     bool          // the endpoint crashed while executing it
	Stopped     bool          // the endpoint ended while executing it, whatever the reason
	DeadlyPart  string        // part of its prompt that crashes endpoints; empty if there is none
	Status      int
	ResponseSum uint64
}

// Announcement is what an endpoint announced about itself in a response to an instance.
type Announcement struct {
	Endpoint     string
	Instance     string
	At           time.Time
	Leaving      bool
	BackoffUntil time.Time // end of the pause that it asks the instance for; zero if it asks for none
	RateLimit    bool      // the response contains the rate limit in force
}

// RateChange is a change of the rate limit that an endpoint announces.
type RateChange struct {
	Endpoint string
	At       time.Time
	Limited  bool
	Rate     float64 // requests per second
}

// Config is a configuration version that was written to the store, with the times of the write and
// of its acknowledgement.
type Config struct {
	Version int64
	SentAt  time.Time
	AckedAt time.Time
}

// Leaving records when the store acknowledged that an endpoint is leaving.
type Leaving struct {
	Endpoint string
	AckedAt  time.Time
}

// Disruption is a fault or a planned stop of an instance, or of the store if Instance is empty.
type Disruption struct {
	Instance string
	Kind     string
	Planned  bool // a stop by SIGTERM
	From, To time.Time
}

// LinkFault is a period with a network fault on the link to an endpoint, which may delay requests.
type LinkFault struct {
	Endpoint string
	From, To time.Time
}

// Partition is a period in which instances had no path to any endpoint.
type Partition struct {
	Instances []string
	From, To  time.Time
	ResetBy   time.Time // by when their open connections to endpoints had been reset; zero if they were not
}

// Overload is a period in which the callers of a client account, or of all if Account is empty, sent
// more requests to a service than its endpoints could serve.
type Overload struct {
	Service  string
	Account  string
	From, To time.Time
}

// EndpointLife is the time in which an endpoint serves new requests.
type EndpointLife struct {
	Endpoint, Service, Version string
	From, To                   time.Time // To is when it announced that it leaves, or ended; zero if it did neither
}

// DutyCall is a call of the cloud API that only the instance that holds the duty may make.
type DutyCall struct {
	At     time.Time
	Holder string
	Fence  store.Revision
	Window int64  // window of a usage report
	Counts string // canonical text of the reported counts
}

// Exit is the unexpected end of an instance's process, or its report of a violated invariant.
type Exit struct {
	Instance string
	At       time.Time
	Text     string
}

// Account is the rate limit of a client account.
type Account struct {
	Name        string
	Rate, Burst float64 // in units per second and in units
}

// History is the record of one test run.
type History struct {
	Bounds        Bounds
	Attempts      []Attempt
	Arrivals      []Arrival
	Announcements []Announcement
	RateChanges   []RateChange
	Configs       []Config
	Leavings      []Leaving
	Disruptions   []Disruption
	LinkFaults    []LinkFault
	Overloads     []Overload
	Partitions    []Partition
	Endpoints     []EndpointLife
	DutyCalls     []DutyCall
	Exits         []Exit
	Accounts      []Account
	EndedAt       time.Time
}

// Rule is a rule of the platform with its checker.
type Rule struct {
	Name  string
	Check func(h *index) []Violation
}

// Rules are all rules, with the names that the platform gives them.
var Rules = []Rule{
	{"MIXED", checkMixed}, {"ORDER", checkOrder}, {"ORDER versions", checkVersions}, {"REFUSED", checkRefused}, {"UNSENT", checkUnsent}, {"SHARE", checkShare}, {"UNASKED", checkUnasked}, {"TWICE", checkTwice}, {"ROUTE", checkRoute},
	{"BUDGET attempts", checkBudgetAttempts}, {"BUDGET deadline", checkBudgetDeadline}, {"BUDGET retries", checkBudgetRetries},
	{"BUDGET rest", checkBudgetRest}, {"BUDGET deadly", checkBudgetDeadly}, {"BUDGET part", checkBudgetPart}, {"LIMIT", checkRateLimit}, {"GONE", checkGone},
	{"DRAIN store", checkDrainStore}, {"DRAIN answer", checkDrainResponse}, {"CONFIG keys", checkConfigKeys}, {"CONFIG old", checkConfigOld},
	{"CONFIG back", checkConfigBack}, {"DENIED", checkDenied}, {"QUOTA", checkQuota}, {"ONE", checkSingleHolder}, {"LOST", checkLost}, {"LOST streams", checkResumedStreams}, {"RECOVER", checkRecover}, {"RECOVER partition", checkPartitions}, {"FAULT", checkFault},
}

// Run checks all rules and returns the violations in time order. It sorts the attempts and
// arrivals of h by time.
func Run(h *History) []Violation {
	x := newIndex(h)
	var out []Violation
	for _, r := range Rules {
		out = append(out, r.Check(x)...)
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// index is a history with indexes for look-ups by request.
type index struct {
	*History
	attempts map[string]*Attempt   // by id
	arrivals map[string][]*Arrival // by request id, in time order
	ordered  []*Arrival            // all arrivals in time order
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

// runs returns how often a request was executed.
func (x *index) runs(id string) int {
	n := 0
	for _, a := range x.arrivals[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// disrupted reports whether an instance, or the store if instance is empty, was disrupted between
// from and to, or less than Bounds.Contact before.
func (x *index) disrupted(instance string, from, to time.Time) bool {
	for _, d := range x.Disruptions {
		if d.Instance == instance && d.From.Before(to) && from.Before(d.To.Add(x.Bounds.Contact)) {
			return true
		}
	}
	return false
}

// inTouch reports whether an instance was in touch throughout an interval: neither it nor the store was
// disrupted.
func (x *index) inTouch(instance string, from, to time.Time) bool {
	return !x.disrupted(instance, from, to) && !x.disrupted("", from, to)
}

// maybeDelayed reports whether a request may have reached its endpoint late because of a fault on
// the link.
func (x *index) maybeDelayed(r *Arrival) bool {
	for _, h := range x.LinkFaults {
		if h.Endpoint == r.Endpoint && h.From.Before(r.At) && r.At.Before(h.To.Add(x.Bounds.Contact)) {
			return true
		}
	}
	return false
}

// sender returns the instance that sent a request to an endpoint: that which the caller sent it to, unless
// the endpoint saw another one.
func (x *index) sender(r *Arrival) string {
	if r.Via != "" {
		return r.Via
	}
	if a := x.attempts[r.Request]; a != nil {
		return a.Instance
	}
	return ""
}
