// Package check verifies rules of the platform on recorded histories.
//
// A checker is fed with what callers, endpoints, the store and the cloud saw, and reports
// every violation. It grants the excuses that its rule names and no others. The package is
// pure; checkers are not safe for concurrent use.
package check

import (
	"cmp"
	"fmt"
	"time"
)

// Violation is one broken rule.
type Violation struct {
	Rule string
	At   time.Time
	Text string
}

// String returns the rule, the moment and what was seen.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.Format("15:04:05.000"), v.Text)
}

func byTime(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Text, b.Text)) }

// span is a time during which an instance is excused, its ends included.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }
