package rollout

import (
	"math"
	"slices"
)

// Terms of the verdict. The false verdicts that it comes to are counted by
// TestFalseVerdicts.
const (
	// alarm is the sum of the logarithms of likelihood ratios from which a version is
	// bad: the higher it is, the seldomer a good one is taken for a bad one, and the
	// more requests a bad one gets until it is found out.
	alarm = 4.0
	// usualTimes is how many times the old version's share of failures is still taken
	// to be good: shares of a few hundred requests waver.
	usualTimes = 1.5
	// forget is the share of the old version's counts that is kept from one look to
	// the next one: it is compared with what it did at the same moments, over some 3 s.
	forget = 0.9
)

// sign is a way in which a version can be bad: a share of requests that is larger than
// the old version's.
type sign struct {
	of, bad What
	least   float64 // share that is taken to be good whatever the old version does
	worse   float64 // by how much a bad version's share is larger
}

var signs = []sign{
	{Ended, Failed, 0.02, 0.10},
	{Begun, Late, 0.10, 0.25},
	{Ended, Paced, 0.10, 0.25},
}

// Verdict is a judgement on the version on trial.
type Verdict struct {
	Bad      bool
	Doubtful bool    // it may be bad: more has to be seen
	Seen     int64   // first events and answers of the version on trial
	Ended    int64   // requests of it that came to an end
	Failures int64   // of these, that failed
	Evidence float64 // highest sum of all signs; bad from alarm on
	Sign     string  // the sign, and the route that it was seen on if on one only
}

type cell struct {
	route  string // "" for all together
	sign   int
	bucket uint8
}

type baseKey struct {
	route string
	sign  int
}

// base is what the old version did of late.
type base struct{ of, bad float64 }

// share returns the share that is taken to be good.
func (b base) share(s sign) float64 {
	// One more of each than was seen: nothing seen is no proof.
	return min(0.9, max(s.least, usualTimes*(b.bad+0.5)/(b.of+10)))
}

// Judge compares the two versions of one roll-out, look by look. For each sign, route
// and group of endpoints it keeps a cumulative sum that never falls below zero
// (CUSUM), so that a version that turns bad after a while is found as soon as one that
// is bad at once.
type Judge struct {
	last   Counts
	base   map[baseKey]base
	sums   map[cell]float64
	frozen bool // nothing runs on the old version any more
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{last: make(Counts), base: make(map[baseKey]base), sums: make(map[cell]float64)}
}

// Freeze makes the judge compare with what the old version did until now, for it gets
// no new requests.
func (j *Judge) Freeze() { j.frozen = true }

// Look takes the totals of all instances for one order and returns the verdict. Totals
// that went down, as when an instance that counted is gone, say nothing.
func (j *Judge) Look(total Counts) Verdict {
	news := make(map[Key]float64, len(total))
	for key, n := range total {
		if d := n - j.last[key]; d > 0 {
			news[key] = float64(d)
		}
		j.last[key] = max(n, j.last[key])
	}
	if !j.frozen {
		j.learn(news)
	}
	j.weigh(news)
	return j.verdict(total)
}

// learn takes what the old version did since the last look.
func (j *Judge) learn(news map[Key]float64) {
	for key, b := range j.base {
		j.base[key] = base{forget * b.of, forget * b.bad}
	}
	for key, n := range news {
		if key.Trial {
			continue
		}
		for i, s := range signs {
			for _, route := range []string{"", key.Route} {
				b := j.base[baseKey{route, i}]
				switch key.What {
				case s.of:
					b.of += n
				case s.bad:
					b.bad += n
				}
				j.base[baseKey{route, i}] = b
			}
		}
	}
}

// weigh adds what the version on trial did since the last look to the sums.
func (j *Judge) weigh(news map[Key]float64) {
	type seen struct{ of, bad float64 }
	cells := make(map[cell]seen)
	for key, n := range news {
		if !key.Trial {
			continue
		}
		for i, s := range signs {
			for _, route := range []string{"", key.Route} {
				c := cells[cell{route, i, key.Bucket}]
				switch key.What {
				case s.of:
					c.of += n
				case s.bad:
					c.bad += n
				}
				cells[cell{route, i, key.Bucket}] = c
			}
		}
	}
	for c, x := range cells {
		s := signs[c.sign]
		good := j.base[baseKey{c.route, c.sign}].share(s)
		bad := min(0.95, good+s.worse)
		fine := max(0, x.of-x.bad)
		ratio := x.bad*math.Log(bad/good) + fine*math.Log((1-bad)/(1-good))
		j.sums[c] = max(0, j.sums[c]+ratio)
	}
}

// verdict sums each sign over that half of the groups of endpoints which show it least:
// endpoints that are sick for reasons of their own make no bad version, up to a half of
// the groups.
func (j *Judge) verdict(total Counts) Verdict {
	var v Verdict
	for key, n := range total {
		if key.Trial {
			switch key.What {
			case Begun:
				v.Seen += n
			case Ended:
				v.Ended += n
			case Failed:
				v.Failures += n
			}
		}
	}
	groups := make(map[baseKey][]float64)
	for c, sum := range j.sums {
		key := baseKey{c.route, c.sign}
		groups[key] = append(groups[key], sum)
	}
	for key, sums := range groups {
		slices.Sort(sums)
		counted := (len(sums) + 1) / 2
		evidence := 0.0
		for _, sum := range sums[:counted] {
			evidence += sum
		}
		if evidence > v.Evidence {
			v.Evidence, v.Sign = evidence, signNames[key.sign]
			if key.route != "" {
				v.Sign += " on " + key.route
			}
		}
	}
	v.Bad, v.Doubtful = v.Evidence >= alarm, v.Evidence >= alarm/3
	return v
}

var signNames = []string{"failures", "late first events", "slow streams"}
