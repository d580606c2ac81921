package check

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkOrder checks the rule ORDER: each event of a stream arrives once and in order, no events of two
// runs are joined unless the stream may be resumed, and a stream that ends as complete has all events.
func checkOrder(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if !a.Stream || !success(a.Status) {
			continue
		}
		for _, why := range []string{disorder(a), joined(a), earlyEnd(a)} {
			if why != "" {
				out = append(out, Violation{"ORDER", a.EndedAt, fmt.Sprintf("%s by %s: %s%s", a.ID, a.Instance, why, describeRuns(a))})
			}
		}
	}
	return out
}

// disorder describes the first event of an attempt that is not the one after the event before it.
func disorder(a *Attempt) string {
	last := a.After
	for _, event := range a.Events {
		switch {
		case event > last+1:
			return fmt.Sprintf("missing: event %d follows event %d", event, last)
		case event == last:
			return fmt.Sprintf("doubled: event %d came twice", event)
		case event < last:
			return fmt.Sprintf("back: event %d follows event %d", event, last)
		}
		last = event
	}
	return ""
}

// joined describes events of two runs that must not follow each other.
func joined(a *Attempt) string {
	seen := make(map[string]bool)
	for n, r := range a.Runs {
		if n > 0 && (!a.Resumable || seen[r.ID]) {
			return fmt.Sprintf("joined: events of run %s follow those of run %s", r.ID, a.Runs[n-1].ID)
		}
		seen[r.ID] = true
	}
	return ""
}

// earlyEnd describes an attempt that appeared complete before the last event.
func earlyEnd(a *Attempt) string {
	last := a.After
	if n := len(a.Events); n > 0 {
		last = a.Events[n-1]
	}
	if a.Complete && last < a.EventCount {
		return fmt.Sprintf("early end: ended as complete after %d of %d events", last, a.EventCount)
	}
	return ""
}

func describeRuns(a *Attempt) string {
	text := ""
	if a.Resumes != "" {
		text = fmt.Sprintf("; takes up %s after event %d", a.Resumes, a.After)
	}
	for _, r := range a.Runs {
		text += fmt.Sprintf(", %d by run %s (%s)", r.Events, r.ID, r.Version)
	}
	return text
}

// maxMixedStreams is the number of streams with events of two versions that the rule ORDER tolerates.
const maxMixedStreams = 2

// checkVersions checks the rule ORDER versions: streams hold events of one software version, over all
// attempts of their callers.
func checkVersions(x *index) (out []Violation) {
	versions := make(map[string]StreamRun) // the first run, by the attempt that brought the first event
	mixed := make(map[string]bool)
	for i := range x.Attempts {
		a := &x.Attempts[i]
		stream := a.ID
		if a.Resumes != "" {
			stream = a.Resumes
		}
		for _, r := range a.Runs {
			first, known := versions[stream]
			if !known {
				versions[stream] = r
				continue
			}
			if r.Version != first.Version && !mixed[stream] {
				mixed[stream] = true
				out = append(out, Violation{"ORDER versions", a.EndedAt, fmt.Sprintf(
					"%s by %s: stream %s began at version %s (run %s) and goes on at %s (run %s) after event %d", a.ID, a.Instance, stream, first.Version, first.ID, r.Version, r.ID, a.After)})
			}
		}
	}
	if len(out) <= maxMixedStreams {
		return nil
	}
	return out
}

// Bounds of the rule LOST streams.
const (
	minResumedStreams = 12
	minVersionServes  = 2           // endpoints of the version that began a stream
	resumedShare      = 0.5         // of the share of new streams that begin
	newStreamsWithin  = time.Second // of an attempt that takes a stream up
)

// TakeUps tells what became of the streams that callers took up at instances in touch while two endpoints of their
// version served, and of the new ones meanwhile.
type TakeUps struct {
	Streams int `json:"streams"`
	GoneOn  int `json:"gone_on"`
	New     int `json:"new"`
	Begun   int `json:"begun"`
}

// CountTakeUps counts the streams that the rule LOST streams is about.
func CountTakeUps(h *History) TakeUps { return newIndex(h).takeUps() }

func (x *index) takeUps() TakeUps {
	wentOn := make(map[string]bool) // by stream
	var at []time.Time
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.Resumes == "" || !x.countsForStreams(a) || x.serving(x.versionOf(a.Resumes), a) < minVersionServes {
			continue
		}
		wentOn[a.Resumes] = wentOn[a.Resumes] || goesOn(a)
		at = append(at, a.SentAt)
	}
	t := TakeUps{Streams: len(wentOn)}
	for _, yes := range wentOn {
		if yes {
			t.GoneOn++
		}
	}
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if !a.Stream || !a.Resumable || a.Resumes != "" || !x.countsForStreams(a) {
			continue
		}
		if !slices.ContainsFunc(at, func(t time.Time) bool { return t.Sub(a.SentAt).Abs() <= newStreamsWithin }) {
			continue
		}
		t.New++
		if goesOn(a) {
			t.Begun++
		}
	}
	return t
}

// checkResumedStreams checks the rule LOST streams: of the streams that callers take up at instances in
// touch while two endpoints of their version serve, the share that goes on is at least half of the share
// of new streams that begin meanwhile.
func checkResumedStreams(x *index) []Violation {
	t := x.takeUps()
	if t.Streams < minResumedStreams || t.New == 0 || float64(t.GoneOn)*float64(t.New) >= resumedShare*float64(t.Begun)*float64(t.Streams) {
		return nil
	}
	return []Violation{{"LOST streams", x.EndedAt, fmt.Sprintf("%d of %d streams that were taken up went on, while %d of %d new ones began", t.GoneOn, t.Streams, t.Begun, t.New)}}
}

// countsForStreams reports whether an attempt was made at an instance in touch, neither abandoned nor refused
// because of its client account's limit, beyond which nothing is owed.
func (x *index) countsForStreams(a *Attempt) bool {
	return a.AbandonedAt.IsZero() && a.Status != http.StatusTooManyRequests && x.inTouch(a.Instance, a.SentAt, a.EndedAt)
}

// goesOn reports whether an attempt brought an event, or the end of a stream whose events had all come.
func goesOn(a *Attempt) bool {
	return success(a.Status) && (len(a.Events) > 0 || a.Complete)
}

// versionOf returns the version that sent the first event of an attempt's stream.
func (x *index) versionOf(id string) string {
	if a := x.attempts[id]; a != nil && len(a.Runs) > 0 {
		return a.Runs[0].Version
	}
	return ""
}

// serving returns how many endpoints of a version served throughout an attempt.
func (x *index) serving(version string, a *Attempt) int {
	n := 0
	for _, e := range x.Endpoints {
		if e.Service == a.Service && e.Version == version && !e.From.After(a.SentAt) && (e.To.IsZero() || e.To.After(a.EndedAt)) {
			n++
		}
	}
	return n
}
