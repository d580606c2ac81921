package check

import (
	"fmt"
	"net/http"
)

// success reports whether a status is 2xx.
func success(status int) bool { return status >= 200 && status < 300 }

// checkMixed checks the rule MIXED: a success response is the complete response of an endpoint to
// this very request, and a sealed failure has the status that the endpoint returned.
func checkMixed(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if why := x.mismatch(a); why != "" {
			out = append(out, Violation{"MIXED", a.EndedAt, fmt.Sprintf("%s by %s: %s", a.ID, a.Instance, why)})
		}
	}
	return out
}

// mismatch returns how the response to an attempt differs from what the endpoints sent, or an empty
// string if it does not. The content of a success response counts only if it is complete; checkOrder
// checks that of streams.
func (x *index) mismatch(a *Attempt) string {
	switch {
	case a.Status == 0:
		return ""
	case a.ResponseID != "" && a.ResponseID != a.ID:
		return "received the response to " + a.ResponseID
	case success(a.Status) && !a.Sealed:
		return "success response without a seal"
	case a.BadEvent:
		return "stream event that the endpoint did not send"
	case a.Stream && success(a.Status), !a.Sealed, success(a.Status) && !a.Complete:
		return ""
	}
	for _, r := range x.arrivals[a.ID] {
		if r.Ran && r.Status == a.Status && (!success(a.Status) || r.ResponseSum == a.ResponseSum) {
			return ""
		}
	}
	return fmt.Sprintf("no endpoint sent this response with status %d", a.Status)
}

// GuaranteesNotRun reports whether an instance that responds with this status guarantees that the
// request was not executed and never will be.
func GuaranteesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRefused checks the rule REFUSED: a request was not executed if the response status says so. For
// an idempotent request only 429 and 503 say so.
func checkRefused(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		guaranteed := GuaranteesNotRun(a.Status)
		if a.Idempotent {
			guaranteed = a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
		}
		if guaranteed && x.runs(a.ID) > 0 {
			out = append(out, Violation{"REFUSED", a.EndedAt, fmt.Sprintf("%s received status %d from %s but was executed", a.ID, a.Status, a.Instance)})
		}
	}
	return out
}
