// Package virtual runs tests in virtual time, in a bubble of testing/synctest.
package virtual

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest. Under the race detector it sets
// GOMAXPROCS to 1, so that one goroutine runs at a time. The timers of a bubble
// share one context of the race detector, and up to Go 1.26 at least, two
// goroutines that receive from channels of due timers at the same time both use
// this context without a lock. This corrupts it, and the process crashes with
// SIGSEGV or "CHECK failed: tsan_rtl.cpp" without reporting a race. With one
// processor the detector still finds data races, since it checks the
// happens-before order and not whether accesses coincide.
//
// A test that calls Test must not run in parallel with others, because GOMAXPROCS
// applies to the whole process.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if Race {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
