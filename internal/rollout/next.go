package rollout

import "time"

// Timing of a roll-out.
const (
	// trialFraction is the part of the order's window that a trial takes. The rest is for the
	// requests that still run on the old version: the longest streams take some 7 s, in a window of
	// 12 s.
	trialFraction = 0.45
	// trialLimitFraction is the part of the order's window after which a doubtful trial is decided.
	trialLimitFraction = 0.7
	// minStarted is the number of answers that a version needs to be found good. Of as many answers
	// of a bad version, three or more fail nearly always.
	minStarted = 40
	// minStartedAtLimit is the number of answers that suffice after trialLimit.
	minStartedAtLimit = 15
	// drainConfirm is how long no request must have run on the old version until the roll-out is
	// completed: every instance has reported its open requests within that time.
	drainConfirm = 900 * time.Millisecond
	// followTimeout is how long after the shift the leader waits for instances that do not report
	// that they follow it. They have been without the store for so long by then that they refuse
	// requests.
	followTimeout = 4400 * time.Millisecond
)

// Observation is what the instance that leads a roll-out knows of its progress.
type Observation struct {
	Now            time.Time // wall-clock time
	Verdict        Verdict
	Targets        int           // endpoints of the target
	Others         int           // endpoints of other versions that may be used
	OpenOnReplaced int           // requests that all instances report open on endpoints that the target replaces
	AllFollow      bool          // all instances report that they have the record's phase
	DrainedFor     time.Duration // how long OpenOnReplaced has been 0 since the shift
}

// Begin returns the record of an order that was first seen at the wall-clock time now, given the
// service's last record, or nil.
func Begin(o Order, last *Record, now time.Time) Record {
	r, _ := Current(&o, last)
	r.Deadline = now.Add(o.Window)
	r.TrialEnd = now.Add(time.Duration(trialFraction * float64(o.Window)))
	return r
}

// Next returns the next record of a roll-out, and whether it differs from r.
func Next(r Record, o Observation) (Record, bool) {
	switch r.Phase {
	case Trial:
		return nextOfTrial(r, o)
	case Shift:
		return nextOfShift(r, o)
	}
	return r, false
}

func nextOfTrial(r Record, o Observation) (Record, bool) {
	if o.Verdict.Bad {
		return r.rolledBack(o.Verdict.Indicator), true
	}
	if o.Others == 0 && o.Targets > 0 {
		return r.completed("all endpoints have the version"), true
	}
	if o.Now.Before(r.TrialEnd) {
		return r, false
	}
	limit := r.trialLimit()
	switch {
	case o.Verdict.Started >= minStarted && !o.Verdict.Doubtful:
		return r.shifted("served as well as the old version", o.Now), true
	case o.Now.Before(limit):
		return r, false
	case o.Verdict.Doubtful:
		return r.rolledBack("doubtful: " + o.Verdict.Indicator), true
	case o.Verdict.Started >= minStartedAtLimit:
		return r.shifted("served as well as the old version, few requests", o.Now), true
	case o.Now.Before(r.Deadline):
		return r, false
	}
	return r.rolledBack("too few requests to judge by"), true
}

// trialLimit returns when a doubtful trial is decided.
func (r Record) trialLimit() time.Time {
	window := float64(r.Deadline.Sub(r.TrialEnd)) / (1 - trialFraction)
	return r.TrialEnd.Add(time.Duration((trialLimitFraction - trialFraction) * window))
}

func nextOfShift(r Record, o Observation) (Record, bool) {
	reported := o.AllFollow || o.Now.Sub(r.ShiftAt) > followTimeout
	switch {
	case o.Verdict.Bad:
		return r.rolledBack(o.Verdict.Indicator), true
	case reported && o.Targets > 0 && o.OpenOnReplaced == 0 && o.DrainedFor >= drainConfirm:
		return r.completed("nothing runs on the old version"), true
	}
	return r, false
}

func (r Record) rolledBack(why string) Record {
	r.Phase, r.Why = RolledBack, why
	r.reject(r.Target)
	return r
}

func (r Record) shifted(why string, now time.Time) Record {
	r.Phase, r.Why, r.ShiftAt = Shift, why, now
	return r
}

func (r Record) completed(why string) Record {
	r.Phase, r.Why = Completed, why
	return r
}
