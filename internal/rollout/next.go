package rollout

import "time"

// Parts and times of a roll-out.
const (
	// trialPart is the part of the operators' time that a trial takes. The rest is for
	// the requests that run on the old version: a stream of the longest kind takes
	// some 7 s, of 12 s that a roll-out may take.
	trialPart = 0.45
	// lastTrial is the part of that time by whose end a doubtful trial is judged.
	lastTrial = 0.7
	// leastSeenGood is how many answers a version needs to be found good: of as many from
	// a bad one, hardly ever fewer than three fail.
	leastSeenGood = 40
	// enoughSeen is how many answers do where the deadline leaves no time for more.
	enoughSeen = 15
	// settle is how long nothing must have run on the old version until the roll-out
	// is completed: all instances have reported it by then.
	settle = 900 * time.Millisecond
	// followed is how long instances that are not seen are waited for after the
	// shift: they are without the store by then, and refuse requests.
	followed = 4400 * time.Millisecond
)

// Standing is what the instance that leads a roll-out knows of it.
type Standing struct {
	Now       time.Time // of the day
	Verdict   Verdict
	Targets   int  // endpoints of the target
	Others    int  // endpoints that it replaces
	OldOpen   int  // requests that run on these, as far as all instances reported
	Following bool // all instances reported that they follow the shift
	EmptyFor  time.Duration
}

// Begin returns the record of an order that was first seen at a time of the day.
func Begin(o Order, last *Record, now time.Time) Record {
	r, _ := Current(&o, last)
	r.Deadline = now.Add(o.Window)
	r.TrialEnd = now.Add(time.Duration(trialPart * float64(o.Window)))
	return r
}

// Next returns how a roll-out goes on, and whether that is a change.
func Next(r Record, s Standing) (Record, bool) {
	switch r.Phase {
	case Trial:
		return nextOfTrial(r, s)
	case Shift:
		return nextOfShift(r, s)
	}
	return r, false
}

func nextOfTrial(r Record, s Standing) (Record, bool) {
	if s.Verdict.Bad {
		return r.rolledBack(s.Verdict.Sign), true
	}
	if s.Others == 0 && s.Targets > 0 {
		return r.completed("all endpoints have the version"), true
	}
	if s.Now.Before(r.TrialEnd) {
		return r, false
	}
	end := r.lastTrial()
	switch {
	case s.Verdict.Seen >= leastSeenGood && !s.Verdict.Doubtful:
		return r.shifted("served as well as the old version", s.Now), true
	case s.Now.Before(end):
		return r, false
	case s.Verdict.Doubtful:
		return r.rolledBack("doubtful: " + s.Verdict.Sign), true
	case s.Verdict.Seen >= enoughSeen:
		return r.shifted("served as well as the old version, few requests", s.Now), true
	case s.Now.Before(r.Deadline):
		return r, false
	}
	return r.rolledBack("too few requests to judge by"), true
}

// lastTrial returns when a doubtful trial is judged.
func (r Record) lastTrial() time.Time {
	window := float64(r.Deadline.Sub(r.TrialEnd)) / (1 - trialPart)
	return r.TrialEnd.Add(time.Duration((lastTrial - trialPart) * window))
}

func nextOfShift(r Record, s Standing) (Record, bool) {
	known := s.Following || s.Now.Sub(r.ShiftAt) > followed
	switch {
	case s.Verdict.Bad:
		return r.rolledBack(s.Verdict.Sign), true
	case known && s.Targets > 0 && s.OldOpen == 0 && s.EmptyFor >= settle:
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
