package check

import (
	"fmt"
	"net/http"
	"time"
)

// configKeys: a request with a key that was taken away does not run.
func configKeys(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.KeyRevoked.IsZero() || a.SentAt.Sub(a.KeyRevoked) <= x.Bounds.Revoke || x.runs(a.ID) == 0 {
			continue
		}
		out = append(out, Violation{"CONFIG keys", a.SentAt, fmt.Sprintf("%s by %s ran %s after its key was taken away", a.ID, a.Instance, a.SentAt.Sub(a.KeyRevoked))})
	}
	return out
}

func (x *index) config(version int64) (Config, bool) {
	for _, c := range x.Configs {
		if c.Version == version {
			return c, true
		}
	}
	return Config{}, false
}

// served reports whether an attempt shows that its route is known.
func (x *index) served(a *Attempt) bool { return x.runs(a.ID) > 0 }

// unknown reports whether an attempt shows that its route is not known.
func unknown(a *Attempt) bool { return a.Status == http.StatusNotFound && !a.Sealed }

// configOld: a configuration is in force at all instances in touch after its bound.
func configOld(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if c, ok := x.config(a.Since); ok && unknown(a) && x.bound(a, c) && !x.removed(a) {
			out = append(out, Violation{"CONFIG old", a.SentAt, fmt.Sprintf("%s by %s: 404 for the route %s, %s after it was added", a.ID, a.Instance, a.Route, a.SentAt.Sub(c.AckedAt))})
		}
		if c, ok := x.config(a.Until); ok && x.served(a) && x.bound(a, c) {
			out = append(out, Violation{"CONFIG old", a.SentAt, fmt.Sprintf("%s by %s ran on the route %s, %s after it was removed", a.ID, a.Instance, a.Route, a.SentAt.Sub(c.AckedAt))})
		}
	}
	return out
}

// bound reports whether a configuration has to be in force for an attempt.
func (x *index) bound(a *Attempt, c Config) bool {
	return a.SentAt.Sub(c.AckedAt) > x.Bounds.Config && x.inTouch(a.Instance, c.AckedAt, a.SentAt)
}

// removed reports whether the route of an attempt may have been removed before its end.
func (x *index) removed(a *Attempt) bool {
	c, ok := x.config(a.Until)
	return ok && c.SentAt.Before(a.EndedAt)
}

type process struct {
	instance    string
	incarnation int
}

// configBack: a process that showed a configuration shows none before it later.
func configBack(x *index) (out []Violation) {
	type sight struct {
		version int64
		at      time.Time
	}
	newest := make(map[process]sight)
	for i := range x.Attempts {
		a := &x.Attempts[i]
		p := process{a.Instance, a.Incarnation}
		if s, ok := newest[p]; ok && a.Since > 0 && a.Since <= s.version && unknown(a) && a.SentAt.Sub(s.at) > x.Bounds.RollbackOver && !x.removed(a) {
			out = append(out, Violation{"CONFIG back", a.SentAt, fmt.Sprintf("%s by %s: 404 for a route of version %d after version %d was seen", a.ID, a.Instance, a.Since, s.version)})
		}
		if x.served(a) && a.Since > newest[p].version {
			newest[p] = sight{a.Since, a.EndedAt}
		}
	}
	return out
}

// Requests that may be denied before the rule counts as broken.
const (
	deniedOver  = 5
	deniedShare = 1.0 / 500
)

// denied: proper requests that every configuration allows get no failure of the instance's own
// that says they are wrong.
func denied(x *index) []Violation {
	var out []Violation
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.Status < 300 || a.Status >= 500 || Promises(a.Status) || a.Sealed || a.Since != 0 || a.Until != 0 || !a.KeyRevoked.IsZero() {
			continue
		}
		out = append(out, Violation{"DENIED", a.EndedAt, fmt.Sprintf("%s by %s got %d", a.ID, a.Instance, a.Status)})
	}
	if float64(len(out)) <= deniedOver+deniedShare*float64(len(x.Attempts)) {
		return nil
	}
	return out
}
