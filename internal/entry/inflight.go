package entry

import "sync"

// inFlight keeps calls to the same target from piling up: one at a time. It is
// safe for concurrent use; what happens between begin and end of a target
// happens before its next begin.
type inFlight[K comparable] struct {
	mu   sync.Mutex
	busy map[K]bool // guarded by mu
}

func newInFlight[K comparable]() *inFlight[K] { return &inFlight[K]{busy: make(map[K]bool)} }

// begin reports whether a call to the target may be made now.
func (f *inFlight[K]) begin(target K) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[target] {
		return false
	}
	f.busy[target] = true
	return true
}

// end says that the call has ended.
func (f *inFlight[K]) end(target K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, target)
}
