package intake

import "sync"

// accountShare is the share of the connections that the requests of one client account may keep busy.
const accountShare = 0.75

// Shares bounds how many requests of one client account are in progress at a time, so that no account keeps all
// connections to itself. It is safe for concurrent use.
type Shares struct {
	most int // of one account; 0 for no bound

	mu         sync.Mutex
	inProgress map[string]int // by account; guarded by mu
}

// NewShares returns the shares of a number of connections, without a bound if that is 0.
func NewShares(connections int) *Shares {
	return &Shares{most: int(accountShare * float64(connections)), inProgress: make(map[string]int)}
}

// Begin counts a request of an account, which End ends. It reports false, and counts nothing, if the account has its share
// in progress.
func (s *Shares) Begin(account string) bool {
	if s == nil || s.most == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress[account] >= s.most {
		return false
	}
	s.inProgress[account]++
	return true
}

// End ends a request that Begin has counted.
func (s *Shares) End(account string) {
	if s == nil || s.most == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress[account]--; s.inProgress[account] == 0 {
		delete(s.inProgress, account)
	}
}
