package overload

import (
	"math"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
)

const (
	// minObserved bounds the correction of an average that began recently: a few requests within a
	// shorter time would be taken for a high rate.
	minObserved = 200 * time.Millisecond

	// maxDelay bounds the factor by which more urgent requests delay others. The rates it is derived
	// from are estimates, and when they are nearly equal a small error makes a large factor: with 8,
	// 13 of 96 runs in which one account sends six times its usual load lost the others 5% or more,
	// with 6 none (at a protectedShare of 0.5).
	maxDelay = 6

	// maxWait bounds the waits that are corrected, as a multiple of longer ones might not be a
	// duration. No client waits as long.
	maxWait = time.Hour

	// pressureRetention is the shortest time for which the forecast of a request says something about the
	// queue: about the time in which the queue changes from empty to late (the shortest targets of
	// model requests are 500 ms).
	pressureRetention = 500 * time.Millisecond
)

// accepted is the work that is accepted of a service or an account, by priority.
type accepted [numPriorities]decay.Rate

func (a *accepted) add(priority int, work float64, now time.Time) {
	addUpTo(&a[priority], work, now)
}

// addUpTo adds work to an average, or takes back negative work up to what the average holds: some of the
// work may have decayed since it was added, and that of a request that returned was not added again.
func addUpTo(r *decay.Rate, work float64, now time.Time) {
	r.Add(max(work, -r.At(averaging, now)*averaging.Seconds()), averaging, now)
}

// upTo returns the work per second accepted of the given priority and all more urgent ones.
func (a *accepted) upTo(priority int, now time.Time) float64 {
	sum := 0.0
	for p := range priority + 1 {
		sum += max(0, a[p].At(averaging, now))
	}
	return sum
}

// from returns, for each priority, the work per second accepted of this priority and all less urgent
// ones. The averages are divided by the weight of the time since they began.
func (a *accepted) from(since, now time.Time) perPriority {
	observed := max(now.Sub(since), minObserved)
	weight := -math.Expm1(-observed.Seconds() / averaging.Seconds())
	var sums perPriority
	sum := 0.0
	for p := numPriorities - 1; p >= 0; p-- {
		sum += max(0, a[p].At(averaging, now)) / weight
		sums[p] = sum
	}
	return sums
}

// correct returns the forecast with the requests taken into account that are still to come and will
// be processed before the given one. The forecast contains only those that are queued: where more
// urgent requests take two thirds of an endpoint, a wait is three times as long. The request itself is
// not interrupted once it is being processed. RoomAt stays as it is: corrected, it would be given to
// callers whose requests are then refused again.
func (a *accepted) correct(f Forecast, r Request, now time.Time) Forecast {
	if !(f.Rate > 0) {
		return f
	}
	factor := 1 / max(1/float64(maxDelay), 1-a.upTo(r.Priority-1, now)/f.Rate)
	started := now.Add(f.Alone)
	wait := f.FirstAt.Sub(started)
	if wait <= 0 || wait > maxWait {
		return f
	}
	f.FirstAt = started.Add(time.Duration(factor * float64(wait)))
	return f
}

// pressure holds, for each priority, until when requests of accounts within their shares wait that had
// less than half of their time to spare when they came.
type pressure struct {
	until   [numPriorities]time.Time
	notedAt time.Time // when such a request came last
}

// note records a request of an account within its share.
func (p *pressure) note(r Request, f Forecast, now time.Time) {
	if meetsTarget(r, f, true, now) {
		return
	}
	p.notedAt = now
	leaves := r.Latest // when its client does
	if leaves.IsZero() {
		leaves = now.Add(observation)
	}
	p.extend(r.Priority, now.Add(pressureRetention))
	if f.FirstAt.After(leaves) {
		p.extend(r.Priority, leaves)
	} else {
		p.extend(r.Priority, f.FirstAt)
	}
}

func (p *pressure) extend(priority int, until time.Time) {
	if until.After(p.until[priority]) {
		p.until[priority] = until
	}
}

// recent reports whether there was such a request within the time over which shares are defined.
func (p *pressure) recent(now time.Time) bool {
	return !p.notedAt.IsZero() && now.Sub(p.notedAt) < observation
}

// high reports whether such a request, less urgent than the given priority, still waits.
func (p *pressure) high(priority int, now time.Time) bool {
	for _, until := range p.until[priority+1:] {
		if now.Before(until) {
			return true
		}
	}
	return false
}
