// Package record keeps the requests that an entry instance has accepted or
// keeps a second copy of.
//
// A Record's request never changes; its progress does, guarded by the record's
// mutex. Positions only grow: a token once appended stays what it is. Readers
// wait for progress through Wait. Store and Record are safe for concurrent use.
package record

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
)

// Kind says what a request asks for.
type Kind string

// The kinds of request.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Request is what the caller asked for. It never changes.
type Request struct {
	ID          string
	Account     string
	Class       string
	Kind        Kind
	Target      string // model name, or service name and path
	ContentType string
	Body        []byte // prompt of a model call, body of a service call
	Digest      uint64 // hash of what the caller asked for
	Session     string
	MaxTokens   int
	Priority    int
	Seed        uint64
	Deadline    time.Time
	Arrived     time.Time
	Repeatable  bool
	Fresh       bool // the id was made by the system, so there is no earlier attempt
	Chat        bool // answer in the shape of chat completions
	OverShare   bool // the account uses more than its fair share; only known where it arrived
}

// Result ends a record.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Failure     *fault.Error // set when the request failed
}

// Progress is how far a record is.
type Progress struct {
	Tokens []string // from the position asked for on
	Result *Result  // set when the request has ended
	Owner  string   // entry instance that runs it
}

// Record is one request with its progress.
type Record struct {
	Request

	mu       sync.Mutex
	owner    string        // guarded by mu
	holder   string        // keeper of the second copy, when owned here; guarded by mu
	endpoint string        // endpoint that it runs on; guarded by mu
	tokens   []string      // guarded by mu
	result   *Result       // guarded by mu
	fetched  bool          // a caller has the whole answer; guarded by mu
	sent     bool          // bytes of it may have left for an endpoint; guarded by mu
	reported int           // tokens that the holder was told of; guarded by mu
	resultOK bool          // the holder was told of the result; guarded by mu
	dropOK   bool          // the holder was told that the answer was fetched; guarded by mu
	attempt  string        // claim of a request that may not be repeated; guarded by mu
	changed  chan struct{} // closed and replaced at each change; guarded by mu
}

// New returns a record owned by an entry instance.
func New(r Request, owner string) *Record {
	return &Record{Request: r, owner: owner, changed: make(chan struct{})}
}

func (r *Record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Append adds tokens that begin at a position. Those already there are left
// out. It fails if a token would be skipped or would differ: then a promise is
// broken.
func (r *Record) Append(from int, tokens ...string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from > len(r.tokens) {
		return fmt.Errorf("record %s: token %d arrived while %d are there", r.ID, from, len(r.tokens))
	}
	for i, t := range tokens {
		at := from + i
		if at < len(r.tokens) {
			if r.tokens[at] != t {
				return fmt.Errorf("record %s: token %d changed from %q to %q", r.ID, at, r.tokens[at], t)
			}
			continue
		}
		if r.result != nil {
			return fmt.Errorf("record %s: token %d arrived after the end", r.ID, at)
		}
		r.tokens = append(r.tokens, t)
	}
	r.signal()
	return nil
}

// Finish ends the record; a second result is ignored and reported as false.
func (r *Record) Finish(res Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result != nil {
		return false
	}
	r.result = &res
	r.signal()
	return true
}

// Progress returns how far the record is, with the tokens from a position on,
// and a channel that is closed at the next change.
func (r *Record) Progress(from int) (Progress, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Result: r.result, Owner: r.owner}
	if from < len(r.tokens) {
		p.Tokens = slices.Clip(r.tokens[from:])
	}
	return p, r.changed
}

// Position returns the number of tokens there are.
func (r *Record) Position() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens)
}

// Done reports whether the record has ended.
func (r *Record) Done() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result != nil
}

// Owner returns the entry instance that runs the request.
func (r *Record) Owner() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// SetOwner gives the record to another entry instance.
func (r *Record) SetOwner(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = id
	r.signal()
}

// TakeOver makes self the owner if from still is, and reports whether it did.
func (r *Record) TakeOver(from, self string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != from {
		return false
	}
	r.owner, r.holder = self, ""
	r.reported, r.resultOK, r.dropOK = 0, false, false
	r.signal()
	return true
}

// Holder returns the keeper of the second copy.
func (r *Record) Holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder
}

// SetHolder notes the keeper of the second copy, which knows n tokens.
func (r *Record) SetHolder(id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder, r.reported, r.resultOK, r.dropOK = id, n, false, false
}

// Endpoint returns the endpoint that the request runs on.
func (r *Record) Endpoint() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint
}

// SetEndpoint notes the endpoint that the request runs on.
func (r *Record) SetEndpoint(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoint = id
}

// MarkSent notes that bytes of the request may have left for an endpoint.
func (r *Record) MarkSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = true
}

// Sent reports whether bytes of the request may have left for an endpoint.
func (r *Record) Sent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// SetAttempt notes the claim under which the request runs.
func (r *Record) SetAttempt(a string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = a
}

// Attempt returns the claim under which the request runs.
func (r *Record) Attempt() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// MarkFetched notes that a caller has the whole answer.
func (r *Record) MarkFetched() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetched = true
}

// Fetched reports whether a caller has the whole answer.
func (r *Record) Fetched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fetched
}

// Update is what the holder of the second copy does not know yet.
type Update struct {
	From     int
	Tokens   []string
	Endpoint string
	Result   *Result
	Fetched  bool // the holder has the result, and a caller the whole answer
}

// Unreported returns what the holder does not know yet. The second result is
// false when there is nothing.
func (r *Record) Unreported() (Update, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := Update{From: r.reported, Endpoint: r.endpoint, Fetched: r.fetched && r.resultOK && !r.dropOK}
	if r.reported < len(r.tokens) {
		n.Tokens = slices.Clone(r.tokens[r.reported:])
	}
	if r.result != nil && !r.resultOK {
		n.Result = r.result
	}
	return n, len(n.Tokens) > 0 || n.Result != nil || n.Fetched
}

// Reported notes that the holder knows the news, and reports whether there is
// more to tell it.
func (r *Record) Reported(holder string, n Update) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != holder {
		return false
	}
	r.reported = max(r.reported, n.From+len(n.Tokens))
	r.resultOK = r.resultOK || n.Result != nil
	r.dropOK = r.dropOK || n.Fetched
	return r.reported < len(r.tokens) || (r.result != nil && !r.resultOK) || (r.fetched && !r.dropOK)
}
