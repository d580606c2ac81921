package check

import (
	"fmt"
	"net/http"
)

func success(status int) bool { return status >= 200 && status < 300 }

// mixed: a success is the endpoint's own answer to this request, whole; a failure that bears a
// seal has the status that the endpoint gave.
func mixed(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if why := x.mixed(a); why != "" {
			out = append(out, Violation{"MIXED", a.EndedAt, fmt.Sprintf("%s by %s: %s", a.ID, a.Instance, why)})
		}
	}
	return out
}

func (x *index) mixed(a *Attempt) string {
	switch {
	case a.Status == 0:
		return ""
	case a.AnswerID != "" && a.AnswerID != a.ID:
		return "it got the answer to " + a.AnswerID
	case success(a.Status) && !a.Sealed:
		return "a success without a seal"
	case a.BadEvent:
		return "an event that is not the endpoint's"
	case a.Stream && success(a.Status), !a.Sealed, success(a.Status) && !a.Whole:
		return ""
	}
	for _, r := range x.arrivals[a.ID] {
		if r.Ran && r.Status == a.Status && (!success(a.Status) || r.AnswerSum == a.AnswerSum) {
			return ""
		}
	}
	return fmt.Sprintf("no endpoint gave the answer with status %d", a.Status)
}

// order: each event of a stream comes once, in order, and a stream that ends as complete has all.
func order(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if !a.Stream || !success(a.Status) {
			continue
		}
		for n, event := range a.Events {
			if event != n+1 {
				out = append(out, Violation{"ORDER", a.EndedAt, fmt.Sprintf("%s got event %d in place of %d", a.ID, event, n+1)})
				break
			}
		}
		if a.Whole && len(a.Events) < a.Pieces {
			out = append(out, Violation{"ORDER", a.EndedAt, fmt.Sprintf("%s ended as complete after %d of %d events", a.ID, len(a.Events), a.Pieces)})
		}
	}
	return out
}

// Promises reports whether a status says that the request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refused: "not run" is true.
func refused(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if !a.Idempotent && Promises(a.Status) && x.runs(a.ID) > 0 {
			out = append(out, Violation{"REFUSED", a.EndedAt, fmt.Sprintf("%s got %d from %s and ran", a.ID, a.Status, a.Instance)})
		}
	}
	return out
}
