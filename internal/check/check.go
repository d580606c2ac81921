// Package check verifies the rules of the platform on recorded histories.
//
// The input is what callers, endpoints, the store and the cloud observed; the output is the
// violations. A checker exempts only the cases that its rule names. The package does no input or
// output; checkers are not safe for concurrent use.
package check

import (
	"cmp"
	"fmt"
	"time"
)

// Violation is one observed violation of a rule.
type Violation struct {
	Rule string
	At   time.Time
	Text string
}

// String formats the violation as rule, time and description.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.Format("15:04:05.000"), v.Text)
}

func byTime(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Text, b.Text)) }

// span is a closed interval during which an instance is exempt from a rule.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }
