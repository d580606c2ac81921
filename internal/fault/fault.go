// Package fault holds the typed error that every step of a request returns.
//
// An error names the step, the peer it arose at and, for a request, what is
// known about its execution. The package is pure and safe for concurrent use.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Run says what is known about the execution of a request.
type Run int

// The three outcomes, never mixed up. MayHaveRun is the zero value, so that a
// forgotten outcome errs on the safe side.
const (
	MayHaveRun Run = iota // the outcome is not known
	NotRun                // it is certain that no endpoint ran any part of it
	Ran                   // an endpoint ran it
)

// String returns the word used in the run field of an error answer.
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

// Step names where in the life of a request or a control action an error arose.
type Step string

// The steps.
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

// Kind tells apart the ways a call can fail, for circuit breaking and retries.
type Kind int

// The kinds of failure.
const (
	KindInternal Kind = iota // a fault of our own, or not classified
	KindRefused              // refused before anything was sent, or said so by the peer
	KindTimeout              // no answer by the deadline
	KindBroken               // the connection broke after something was sent
	KindInput                // the caller's request is wrong
	KindConflict             // the request contradicts an earlier one
	KindLimit                // a limit or a full queue
	KindUnauthorised
	KindNotFound
)

// Error is an error with its step and peer.
type Error struct {
	Step    Step
	Peer    string // name or address of the peer; empty when local
	Kind    Kind
	Run     Run
	RetryAt time.Time // when it makes sense to come back; zero when unknown
	Err     error
}

// New makes an Error from a formatted text.
func New(step Step, peer string, kind Kind, run Run, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, Run: run, Err: fmt.Errorf(format, args...)}
}

// Retry sets the time at which it makes sense to come back.
func (e *Error) Retry(at time.Time) *Error {
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

// As returns err as an *Error. An error of another type becomes an internal
// one whose outcome is MayHaveRun.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Step: StepDispatch, Kind: KindInternal, Run: MayHaveRun, Err: err}
}
