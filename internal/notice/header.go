package notice

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBackoff bounds the backoff that an endpoint may request. No sensible value is longer than a
// day, and a number of seconds may overflow a time.Duration.
const maxBackoff = 24 * time.Hour

// RetryAfter returns the backoff that the Retry-After header of an answer requests, at most
// maxBackoff; 0 if there is no such header or it cannot be parsed. The value may be a number of
// seconds, also with a fraction, or a date (RFC 9110, 10.2.3), which is taken relative to the Date
// header of the answer, so that the two clocks need not agree.
func RetryAfter(h http.Header) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if s, err := strconv.ParseFloat(text, 64); err == nil || s > 0 { // a number that is too large yields an error and +Inf
		if !(s > 0) { // also true for NaN
			return 0
		}
		return time.Duration(min(s, maxBackoff.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	sent, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return min(max(0, until.Sub(sent)), maxBackoff)
}
