package quarantine

import (
	"errors"
	"fmt"
	"time"
)

// RefusedError is returned for a request that may not run now.
type RefusedError struct {
	Fingerprint Fingerprint
	Part        string    // ID of the part of the prompt that is suspect; empty if the request itself is
	Ends        int       // number of endpoints known to have ended while running it
	Until       time.Time // when it may be retried; zero if no permit could be acquired, mostly because another run is in progress
}

// Error implements error.
func (e *RefusedError) Error() string {
	what := "request " + e.Fingerprint.String()
	if e.Part != "" {
		what = "requests with part " + e.Part + " of their prompt"
	}
	if e.Until.IsZero() {
		return fmt.Sprintf("%d endpoints ended while running %s, of which another run is in progress", e.Ends, what)
	}
	return fmt.Sprintf("%d endpoints ended while running %s, quarantined until %s", e.Ends, what, e.Until.Format(time.RFC3339))
}

// AsRefused returns the RefusedError in the chain of err, if there is one.
func AsRefused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}
