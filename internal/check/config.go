package check

import (
	"fmt"
	"net/http"
	"time"
)

// checkConfigKeys checks the rule CONFIG keys: a request with a revoked API key is not executed
// once Bounds.Revoke has passed since the revocation was acknowledged.
func checkConfigKeys(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.KeyRevoked.IsZero() || a.SentAt.Sub(a.KeyRevoked) <= x.Bounds.Revoke || x.runs(a.ID) == 0 {
			continue
		}
		out = append(out, Violation{"CONFIG keys", a.SentAt, fmt.Sprintf("%s by %s was executed %s after its key was revoked", a.ID, a.Instance, a.SentAt.Sub(a.KeyRevoked))})
	}
	return out
}

// config returns the acknowledged configuration with a version.
func (x *index) config(version int64) (Config, bool) {
	for _, c := range x.Configs {
		if c.Version == version {
			return c, true
		}
	}
	return Config{}, false
}

// routeKnown reports whether an attempt shows that the instance knew its route: the request was
// executed.
func (x *index) routeKnown(a *Attempt) bool { return x.runs(a.ID) > 0 }

// routeUnknown reports whether an attempt shows that the instance did not know its route: it
// returned a 404 of its own.
func routeUnknown(a *Attempt) bool { return a.Status == http.StatusNotFound && !a.Sealed }

// checkConfigOld checks the rule CONFIG old: all instances that are in touch apply a configuration
// within Bounds.Config after the store acknowledged it.
func checkConfigOld(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if c, ok := x.config(a.RouteAddedIn); ok && routeUnknown(a) && x.configInForce(a, c) && !x.routeRemoved(a) {
			out = append(out, Violation{"CONFIG old", a.SentAt, fmt.Sprintf("%s by %s: 404 for the route %s, %s after it was added", a.ID, a.Instance, a.Route, a.SentAt.Sub(c.AckedAt))})
		}
		if c, ok := x.config(a.RouteRemovedIn); ok && x.routeKnown(a) && x.configInForce(a, c) {
			out = append(out, Violation{"CONFIG old", a.SentAt, fmt.Sprintf("%s by %s was executed on the route %s, %s after it was removed", a.ID, a.Instance, a.Route, a.SentAt.Sub(c.AckedAt))})
		}
	}
	return out
}

// configInForce reports whether the instance must have applied a configuration when an attempt was
// sent to it.
func (x *index) configInForce(a *Attempt, c Config) bool {
	return a.SentAt.Sub(c.AckedAt) > x.Bounds.Config && x.inTouch(a.Instance, c.AckedAt, a.SentAt)
}

// routeRemoved reports whether the route of an attempt may have been removed before the attempt
// ended.
func (x *index) routeRemoved(a *Attempt) bool {
	c, ok := x.config(a.RouteRemovedIn)
	return ok && c.SentAt.Before(a.EndedAt)
}

// process is one incarnation of an instance.
type process struct {
	instance    string
	incarnation int
}

// checkConfigBack checks the rule CONFIG back: a process never returns to an older configuration
// than one that it has already applied.
func checkConfigBack(x *index) (out []Violation) {
	type sight struct {
		version int64
		at      time.Time
	}
	newest := make(map[process]sight)
	for i := range x.Attempts {
		a := &x.Attempts[i]
		p := process{a.Instance, a.Incarnation}
		if s, ok := newest[p]; ok && a.RouteAddedIn > 0 && a.RouteAddedIn <= s.version && routeUnknown(a) && a.SentAt.Sub(s.at) > x.Bounds.RollbackTolerance && !x.routeRemoved(a) {
			out = append(out, Violation{"CONFIG back", a.SentAt, fmt.Sprintf("%s by %s: 404 for a route of version %d after version %d was seen", a.ID, a.Instance, a.RouteAddedIn, s.version)})
		}
		if x.routeKnown(a) && a.RouteAddedIn > newest[p].version {
			newest[p] = sight{a.RouteAddedIn, a.EndedAt}
		}
	}
	return out
}

// Number of denied requests, fixed and as a share of all, that the rule DENIED tolerates.
const (
	deniedAllowance = 5
	deniedShare     = 1.0 / 500
)

// checkDenied checks the rule DENIED: an instance does not itself reject a valid request, one that
// every configuration allows, with a status from 300 to 499 that blames the request.
func checkDenied(x *index) []Violation {
	var out []Violation
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.Status < 300 || a.Status >= 500 || GuaranteesNotRun(a.Status) || a.Sealed || a.RouteAddedIn != 0 || a.RouteRemovedIn != 0 || !a.KeyRevoked.IsZero() {
			continue
		}
		out = append(out, Violation{"DENIED", a.EndedAt, fmt.Sprintf("%s by %s received status %d", a.ID, a.Instance, a.Status)})
	}
	if float64(len(out)) <= deniedAllowance+deniedShare*float64(len(x.Attempts)) {
		return nil
	}
	return out
}
