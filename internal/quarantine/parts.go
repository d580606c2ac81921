package quarantine

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// A part of prompts that crashes endpoints does so as they begin an answer on it, whatever else a request holds.
// So each run that has begun its answer clears its parts, and a run that has not is under suspicion when its
// endpoint ends, with all its shared parts and those of the runs beside it.
//
// Of the parts that ran at the same ends, the cause is found by keeping requests with a suspect part back: for SettleTime,
// in which runs in progress elsewhere clear the parts in common use, and then to one run at a time, so that each
// further end is of one request only. A part is named if ends went on after that and nothing else that
// ran explains them.

const (
	// endsToName is the number of ends from which a part is quarantined if nothing else ran at all of them and no
	// other endpoint ended.
	endsToName = endsToSerialize + 1
	// endsToNameAmbiguous is the same otherwise. Operators tolerate five lost endpoints per part.
	endsToNameAmbiguous = 5
	// serializedEnds is how many of these came after requests with the part were kept back: endpoints that end at
	// the same moment are one event. Where endpoints also end without the part, it is serializedEndsByChance.
	serializedEnds         = 1
	serializedEndsByChance = 2
	// SettleTime is how long after an end the parts that ran there may be cleared by runs elsewhere, before
	// requests with them are serialized. Runs of a part in common use begin an answer more often.
	SettleTime = 150 * time.Millisecond
	// backgroundWindow is how long before the first end of a part ends without it count as a sign that endpoints
	// end for other reasons.
	backgroundWindow = 5 * time.Second
)

// countedEnd is an end that counts for a suspect.
type countedEnd struct {
	endpoint string
	at       time.Time
}

// countedEnds returns the ends of a suspect within endWindow in the order of their times, without those that
// a quarantined part explains.
func (t *Table) countedEnds(s *Suspect, now time.Time) []countedEnd {
	var out []countedEnd
	for endpoint, at := range s.Ends {
		if now.Sub(at) <= endWindow && !t.explained(endpoint, s) {
			out = append(out, countedEnd{endpoint, at})
		}
	}
	slices.SortFunc(out, func(a, b countedEnd) int { return a.at.Compare(b.at) })
	return out
}

// explained reports whether a quarantined part other than s ran at the endpoint when it ended.
func (t *Table) explained(endpoint string, s *Suspect) bool {
	for _, q := range t.quarantinedParts {
		if _, ran := q.Ends[endpoint]; ran && q != s {
			return true
		}
	}
	return false
}

// MaybeSuspectPart reports whether any part of prompts is a suspect. It takes no lock.
func (t *Table) MaybeSuspectPart() bool { return t.partCount.Load() > 0 }

// considerPart schedules a decision of NameParts if the part has enough ends.
func (t *Table) considerPart(s *Suspect, now time.Time) {
	if len(s.Ends) < endsToName {
		return
	}
	t.candidates[s.Fingerprint] = s
	if t.nameAt.IsZero() {
		t.nameAt = now.Add(SettleTime)
	}
}

// NameParts quarantines the parts that are found to be the cause of ends. It is to be called before each Verdict
// of parts, and does nothing unless a decision is due.
func (t *Table) NameParts(now time.Time) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nameAt.IsZero() || now.Before(t.nameAt) {
		return nil
	}
	t.nameAt = time.Time{}
	var named []*Suspect
	for _, s := range t.candidates {
		ends := t.countedEnds(s, now)
		if len(ends) < endsToName || !s.QuarantinedUntil.IsZero() {
			continue
		}
		settled := s.endLearnedAt.Add(SettleTime)
		switch {
		case now.Before(settled):
			if t.nameAt.IsZero() || settled.Before(t.nameAt) {
				t.nameAt = settled
			}
		case t.isCause(s, ends):
			named = append(named, s)
		}
	}
	for _, s := range named {
		changes = append(changes, t.quarantine(s, now)...)
		t.ownUpdates[s.Fingerprint] = true
	}
	return changes
}

// isCause reports whether a part is the cause of its ends. It is not if another part ran at all of them and
// at further ones. More ends are needed if a request, or a part with the same ends, ran at all of them, or if
// endpoints also end without the part, so that it may have been there by chance. Of parts with the same ends the
// one that comes last in prompts counts as the cause: the others are shared by more requests.
func (t *Table) isCause(s *Suspect, ends []countedEnd) bool {
	keptBackAt := ends[endsToSerialize-1].at.Add(SettleTime)
	serialized := lo.CountBy(ends, func(e countedEnd) bool { return !e.at.Before(keptBackAt) })
	if serialized < serializedEnds {
		return false
	}
	byChance := t.othersEnded(s, ends[0].at)
	if byChance && serialized < serializedEndsByChance {
		return false
	}
	ambiguous := byChance
	for _, other := range t.suspects {
		if other == s || len(other.Ends) < len(ends) || !other.ranAtAll(ends) {
			continue
		}
		if other.Fingerprint.IsPart() && (len(other.Ends) > len(s.Ends) || other.Position > s.Position) {
			return false
		}
		ambiguous = true
	}
	return (!ambiguous || len(ends) >= endsToNameAmbiguous) && !t.twoExplain(s, ends)
}

// twoExplain reports whether two other parts together ran at all ends of s, of which one is likelier to be a cause than s.
// Where two parts crash endpoints at the same time, one that requests with either of them share ran at ends of both.
func (t *Table) twoExplain(s *Suspect, ends []countedEnd) bool {
	var others, likelier []*Suspect
	for _, other := range t.suspects {
		n := len(other.Ends)
		if other == s || !other.Fingerprint.IsPart() || n < endsToName {
			continue
		}
		others = append(others, other)
		if n > len(s.Ends) || n == len(s.Ends) && other.Position > s.Position {
			likelier = append(likelier, other)
		}
	}
	for _, a := range likelier {
		rest := slices.DeleteFunc(slices.Clone(ends), func(e countedEnd) bool { _, ran := a.Ends[e.endpoint]; return ran })
		if slices.ContainsFunc(others, func(b *Suspect) bool { return b != a && b.ranAtAll(rest) }) {
			return true
		}
	}
	return false
}

// othersEnded reports whether endpoints ended since shortly before a time at which neither the part nor a quarantined
// one ran.
func (t *Table) othersEnded(s *Suspect, since time.Time) bool {
	for endpoint, at := range t.allEnds {
		if _, ran := s.Ends[endpoint]; !ran && at.After(since.Add(-backgroundWindow)) && !t.explained(endpoint, s) {
			return true
		}
	}
	return false
}

// ranAtAll reports whether all the ends are ends of the suspect too.
func (s *Suspect) ranAtAll(ends []countedEnd) bool {
	for _, e := range ends {
		if _, ran := s.Ends[e.endpoint]; !ran {
			return false
		}
	}
	return true
}

// ClearParts clears the parts of a prompt, given by their fingerprints, on which an endpoint has begun an answer.
func (t *Table) ClearParts(parts []Fingerprint, endpoint string, now time.Time) (changes []Change) {
	for _, f := range parts {
		changes = append(changes, t.ClearSuspect(f, endpoint, now)...)
	}
	return changes
}

// Admission is how a request may run.
type Admission struct {
	Refused    error         // why it may not; a *RefusedError
	Undecided  bool          // it is to be decided again shortly: runs elsewhere may clear it
	Serialized []Fingerprint // of these, only one run at a time is allowed
}

// Admit decides how a request may run of which the given fingerprints, of itself and of the parts of its prompt,
// may be suspects.
func (t *Table) Admit(subjects []Fingerprint, now time.Time) (a Admission) {
	for _, f := range subjects {
		switch v, until := t.Verdict(f, now); v {
		case Refused:
			return Admission{Refused: t.refused(f, until)}
		case Undecided:
			a.Undecided = true
			a.Serialized = append(a.Serialized, f)
		case Serialized:
			a.Serialized = append(a.Serialized, f)
		}
	}
	return a
}

// AnotherRuns returns the error for a request that may not run as another run of a suspect is in progress.
func (t *Table) AnotherRuns(f Fingerprint) error { return t.refused(f, time.Time{}) }
