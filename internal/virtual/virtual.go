// Package virtual runs tests in virtual time.
package virtual

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest. Under the race detector one
// goroutine runs at a time: the timers of a bubble share one context of the
// detector, and up to Go 1.26 at least, two goroutines that read channels of due
// timers at the same moment both run in it without a lock. It is corrupted then,
// and the process dies of SIGSEGV or of "CHECK failed: tsan_rtl.cpp" with no race
// reported. The detector finds unordered accesses all the same, since it compares
// the order of events and not the moments at which they happen.
//
// Tests that call it must not run in parallel with others: GOMAXPROCS is changed
// for the whole process.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if Race {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
