// Package wire encodes suspects for messages between instances.
// Times travel as ages, for the clocks of two instances need not agree.
package wire

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

// most bounds what one message tells, some 100 bytes each.
const most = 1024

// Encode returns what is told of suspects, of so many at the most as one message takes.
func Encode(all []quarantine.Suspect, now time.Time) []*peerpb.Suspect {
	var out []*peerpb.Suspect
	for i := range all[:min(len(all), most)] {
		s := &all[i]
		m := &peerpb.Suspect{Sum: s.Fingerprint.Sum[:], Length: int64(s.Fingerprint.Length), Account: s.Account, Strikes: int32(s.Strikes)}
		for endpoint, at := range s.Ends {
			m.Ends = append(m.Ends, &peerpb.EndpointEnd{Endpoint: endpoint, Age: int64(now.Sub(at))})
		}
		if !s.ClearedAt.IsZero() {
			m.Cleared, m.ClearedAge = true, int64(now.Sub(s.ClearedAt))
		}
		if !s.Until.IsZero() {
			m.Quarantined, m.QuarantineLeft = true, int64(s.Until.Sub(now))
		}
		out = append(out, m)
	}
	return out
}

// Decode returns the suspects that Write told of. One without a fingerprint is passed over.
func Decode(told []*peerpb.Suspect, now time.Time) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, m := range told[:min(len(told), most)] {
		f, ok := Fingerprint(m.Sum, m.Length)
		if !ok {
			continue
		}
		s := quarantine.Suspect{Fingerprint: f, Account: m.Account, Strikes: int(m.Strikes), Ends: make(map[string]time.Time, len(m.Ends))}
		for _, e := range m.Ends {
			s.Ends[e.Endpoint] = ago(e.Age, now)
		}
		if m.Cleared {
			s.ClearedAt = ago(m.ClearedAge, now)
		}
		if m.Quarantined {
			s.Until = now.Add(min(time.Duration(m.QuarantineLeft), quarantine.Longest))
		}
		out = append(out, s)
	}
	return out
}

// ago returns a time that long ago; never one to come.
func ago(age int64, now time.Time) time.Time { return now.Add(-max(0, time.Duration(age))) }

// Fingerprint returns a request's fingerprint as it was told, and false if it is none.
func Fingerprint(sum []byte, length int64) (f quarantine.Fingerprint, ok bool) {
	f.Length = int(length)
	return f, copy(f.Sum[:], sum) == len(f.Sum) && len(sum) == len(f.Sum)
}
