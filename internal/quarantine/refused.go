package quarantine

import (
	"errors"
	"fmt"
	"time"
)

// RefusedError is returned for a request that may not run now.
type RefusedError struct {
	Fingerprint Fingerprint
	Ends        int       // number of endpoints known to have ended while running it
	Until       time.Time // when it may be retried; zero if no permit could be acquired, mostly because another run is in progress
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Until.IsZero() {
		return fmt.Sprintf("%d endpoints ended while running request %s, which runs elsewhere now", e.Ends, e.Fingerprint)
	}
	return fmt.Sprintf("%d endpoints ended while running request %s, which is quarantined until %s", e.Ends, e.Fingerprint, e.Until.Format(time.RFC3339))
}

// AsRefused returns the RefusedError in the chain of err, if there is one.
func AsRefused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}
