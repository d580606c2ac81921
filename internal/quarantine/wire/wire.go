// Package wire encodes suspects for messages between instances.
//
// Times are sent as ages, since the clocks of two instances need not agree.
package wire

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

const (
	// maxSuspects bounds the suspects in one message, which take some 100 bytes each.
	maxSuspects = 1024
	// maxPartID bounds the ID of a part in a message, in bytes.
	maxPartID = 256
)

// Encode converts suspects to a message, at most maxSuspects of them.
func Encode(all []quarantine.Suspect, now time.Time) *peerpb.Suspects {
	out := &peerpb.Suspects{}
	for i := range all[:min(len(all), maxSuspects)] {
		s := &all[i]
		m := &peerpb.Suspect{Account: s.Account, Strikes: int32(s.Strikes)}
		for endpoint, at := range s.Ends {
			m.Ends = append(m.Ends, &peerpb.EndpointEnd{Endpoint: endpoint, Age: int64(now.Sub(at))})
		}
		if !s.ClearedAt.IsZero() {
			m.Cleared, m.ClearedAge = true, int64(now.Sub(s.ClearedAt))
		}
		if !s.QuarantinedUntil.IsZero() {
			m.Quarantined, m.QuarantineLeft = true, int64(s.QuarantinedUntil.Sub(now))
		}
		if s.Part != "" {
			m.Part, m.Position = s.Part, int32(s.Position)
			out.Parts = append(out.Parts, m)
			continue
		}
		m.Sum, m.Length = s.Fingerprint.Sum[:], int64(s.Fingerprint.Length)
		out.Suspects = append(out.Suspects, m)
	}
	return out
}

// Decode converts a message to suspects. Those without a valid fingerprint or ID are left out, and so are
// those beyond maxSuspects.
func Decode(message *peerpb.Suspects, now time.Time) []quarantine.Suspect {
	var out []quarantine.Suspect
	requests, parts := message.GetSuspects(), message.GetParts()
	for _, m := range requests[:min(len(requests), maxSuspects)] {
		if f, ok := DecodeFingerprint(m.Sum, m.Length); ok && !f.IsPart() {
			out = append(out, decode(f, m, now))
		}
	}
	for _, m := range parts[:min(len(parts), maxSuspects)] {
		if m.Part != "" && len(m.Part) <= maxPartID {
			s := decode(quarantine.OfPart(m.Part), m, now)
			s.Part, s.Position = m.Part, int(m.Position)
			out = append(out, s)
		}
	}
	return out
}

func decode(f quarantine.Fingerprint, m *peerpb.Suspect, now time.Time) quarantine.Suspect {
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
	return s
}

// timeAgo returns the time of an age in nanoseconds, now if it is negative.
func timeAgo(age int64, now time.Time) time.Time { return now.Add(-max(0, time.Duration(age))) }

// DecodeFingerprint returns the fingerprint in a message, and false if its hash has the wrong size.
func DecodeFingerprint(sum []byte, length int64) (f quarantine.Fingerprint, ok bool) {
	f.Length = int(length)
	return f, copy(f.Sum[:], sum) == len(f.Sum) && len(sum) == len(f.Sum)
}
