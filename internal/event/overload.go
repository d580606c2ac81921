package event

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// ServiceLog logs when services begin and stop being scheduled with load reports. It is safe for
// concurrent use.
type ServiceLog struct {
	write func(Code, ...zap.Field)

	mu        sync.Mutex
	scheduled map[string]bool // services that are; guarded by mu
}

// NewServiceLog returns a log of services, none of which is scheduled yet.
func NewServiceLog(write func(Code, ...zap.Field)) *ServiceLog {
	return &ServiceLog{write: write, scheduled: make(map[string]bool)}
}

// Observe records whether a service is scheduled with load reports, and logs a change.
func (l *ServiceLog) Observe(service string, scheduled bool) {
	l.mu.Lock()
	changed := l.scheduled[service] != scheduled
	if scheduled {
		l.scheduled[service] = true
	} else {
		delete(l.scheduled, service)
	}
	l.mu.Unlock()
	switch {
	case !changed:
	case scheduled:
		l.write(ServiceScheduled, zap.String("service", service))
	default:
		l.write(ServiceUnscheduled, zap.String("service", service))
	}
}

// Share is what a hub knows of a client account's use of a service.
type Share struct {
	Service, Account string
	Over             bool    // the account demands more than its fair share
	Share            float64 // fair share in work per second
	Demand           float64 // work per second that the account asked for
	Weight           float64
}

// shareLogInterval is the minimum time between two lines of ShareLog about the same client account.
const shareLogInterval = time.Second

// ShareLog logs when client accounts exceed their fair shares and when they stop. It is safe for
// concurrent use. An account whose demand varies around its share changes state many times per second;
// shareLogInterval bounds the lines about it.
type ShareLog struct {
	write func(Code, ...zap.Field)

	mu       sync.Mutex
	over     map[shareKey]bool    // accounts last logged as over their share; guarded by mu
	loggedAt map[string]time.Time // last line by account; guarded by mu
}

type shareKey struct{ service, account string }

// NewShareLog returns a log of client accounts, none of which is over its share yet.
func NewShareLog(write func(Code, ...zap.Field)) *ShareLog {
	return &ShareLog{write: write, over: make(map[shareKey]bool), loggedAt: make(map[string]time.Time)}
}

// Observe logs a change of whether an account is over its share, unless a line about the account was
// logged less than shareLogInterval ago. The next call after that interval logs the change if it
// persists.
func (l *ShareLog) Observe(s Share, now time.Time) {
	key := shareKey{s.Service, s.Account}
	if !l.changed(key, s.Over, now) {
		return
	}
	code := AccountWithinShare
	if s.Over {
		code = AccountOverShare
	}
	l.write(code, zap.String("service", s.Service), zap.String("account", s.Account), zap.Float64("share", s.Share), zap.Float64("demand", s.Demand), zap.Float64("weight", s.Weight))
}

// changed reports whether a change is to be logged now, and records that.
func (l *ShareLog) changed(key shareKey, over bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, logged := l.loggedAt[key.account]
	if l.over[key] == over || logged && now.Sub(last) < shareLogInterval {
		return false
	}
	if over {
		l.over[key] = true
	} else {
		delete(l.over, key)
	}
	l.loggedAt[key.account] = now
	return true
}
