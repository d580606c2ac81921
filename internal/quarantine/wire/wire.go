// Package wire encodes suspects for messages between instances.
//
// Times are sent as ages, since the clocks of two instances need not agree.
package wire

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

// maxSuspects bounds the suspects in one message, which take some 100 bytes each.
const maxSuspects = 1024

// Encode converts suspects to messages, at most maxSuspects of them.
func Encode(all []quarantine.Suspect, now time.Time) []*peerpb.Suspect {
	var out []*peerpb.Suspect
	for i := range all[:min(len(all), maxSuspects)] {
		s := &all[i]
		m := &peerpb.Suspect{Sum: s.Fingerprint.Sum[:], Length: int64(s.Fingerprint.Length), Account: s.Account, Strikes: int32(s.Strikes)}
		for endpoint, at := range s.Ends {
			m.Ends = append(m.Ends, &peerpb.EndpointEnd{Endpoint: endpoint, Age: int64(now.Sub(at))})
		}
		if !s.ClearedAt.IsZero() {
			m.Cleared, m.ClearedAge = true, int64(now.Sub(s.ClearedAt))
		}
		if !s.QuarantinedUntil.IsZero() {
			m.Quarantined, m.QuarantineLeft = true, int64(s.QuarantinedUntil.Sub(now))
		}
		out = append(out, m)
	}
	return out
}

// Decode converts messages to suspects. Those without a valid fingerprint are left out, and so are
// those beyond maxSuspects.
func Decode(messages []*peerpb.Suspect, now time.Time) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, m := range messages[:min(len(messages), maxSuspects)] {
		f, ok := DecodeFingerprint(m.Sum, m.Length)
		if !ok {
			continue
		}
		s := quarantine.Suspect{Fingerprint: f, Account: m.Account, Strikes: int(m.Strikes), Ends: make(map[string]time.Time, len(m.Ends))}
		for _, e := range m.Ends {
			s.Ends[e.Endpoint] = timeAgo(e.Age, now)
		}
		if m.Cleared {
			s.ClearedAt = timeAgo(m.ClearedAge, now)
		}
		if m.Quarantined {
			s.QuarantinedUntil = now.Add(min(time.Duration(m.QuarantineLeft), quarantine.MaxLength))
		}
		out = append(out, s)
	}
	return out
}

// timeAgo returns the time of an age in nanoseconds, now if it is negative.
func timeAgo(age int64, now time.Time) time.Time { return now.Add(-max(0, time.Duration(age))) }

// DecodeFingerprint returns the fingerprint in a message, and false if its hash has the wrong size.
func DecodeFingerprint(sum []byte, length int64) (f quarantine.Fingerprint, ok bool) {
	f.Length = int(length)
	return f, copy(f.Sum[:], sum) == len(f.Sum) && len(sum) == len(f.Sum)
}
