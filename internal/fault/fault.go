// Package fault defines the error type that all steps of a request return.
//
// An error contains the step and the peer at which it occurred and, for a
// request, what is known about its execution. The package has no global state
// and is safe for concurrent use.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Run is what is known about the execution of a request.
type Run int

// The three states of knowledge. MayHaveRun is the zero value, so that an error without a Run
// does not claim that the request can be repeated safely.
const (
	MayHaveRun Run = iota // it is not known whether an endpoint ran it
	NotRun                // certainly no endpoint ran any part of it
	Ran                   // an endpoint ran it
)

// String returns the value of the run field of an error answer.
func (r Run) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Step is the step of a request or of a control action at which an error occurred.
type Step string

// The steps of requests and of control actions.
const (
	StepParse    Step = "parse"
	StepAuth     Step = "authenticate"
	StepAdmit    Step = "admit"
	StepHold     Step = "hold"
	StepClaim    Step = "claim"
	StepRoute    Step = "route"
	StepDispatch Step = "dispatch"
	StepStream   Step = "stream"
	StepResume   Step = "resume"
	StepStore    Step = "store"
	StepPeer     Step = "peer"
	StepList     Step = "instance-list"
	StepEdit     Step = "edit"
)

// Kind classifies failures, for circuit breaking and retries.
type Kind int

// The kinds of failure.
const (
	KindInternal     Kind = iota // an internal error, or an unclassified one
	KindRefused                  // refused by the peer, or failed before anything was sent
	KindTimeout                  // no answer by the deadline
	KindBroken                   // the connection failed after something was sent
	KindInput                    // the caller's request is invalid
	KindConflict                 // the request contradicts an earlier one
	KindLimit                    // a limit was exceeded or a queue was full
	KindUnauthorised             // the caller is not authenticated or not authorised
	KindNotFound                 // the requested object does not exist
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	Step    Step
	Peer    string // name or address of the peer; empty for a local error
	Kind    Kind
	Run     Run
	RetryAt time.Time // earliest useful time for a retry; zero if unknown
	Err     error
}

// New returns an Error whose cause is formatted like fmt.Errorf.
func New(step Step, peer string, kind Kind, run Run, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, Run: run, Err: fmt.Errorf(format, args...)}
}

// WithRetryAt sets the earliest useful time for a retry and returns e.
func (e *Error) WithRetryAt(at time.Time) *Error {
	e.RetryAt = at
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As returns the *Error in the chain of err. If there is none, it wraps err in
// an internal Error of the dispatch step with MayHaveRun.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Step: StepDispatch, Kind: KindInternal, Run: MayHaveRun, Err: err}
}
