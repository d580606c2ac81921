// Package eventlog describes changes of suspects as log events.
package eventlog

import (
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

// Event returns the event of a change and its fields. The first end of a part has none, since each shared part
// of each request that was running on an ended endpoint has one; ok is false then.
func Event(c quarantine.Change) (code event.Code, fields []zap.Field, ok bool) {
	s := &c.Suspect
	fields = []zap.Field{zap.Stringer("fingerprint", s.Fingerprint), zap.String("account", s.Account)}
	if s.Part != "" {
		fields = append(fields, zap.String("part", s.Part))
	}
	switch c.Kind {
	case quarantine.EndSeen:
		fields = append(fields, zap.String("server", c.Endpoint), zap.Int("ends", len(s.Ends)))
		if s.Part != "" {
			return event.EndpointEndedDuringPart, fields, len(s.Ends) > 1
		}
		return event.EndpointEndedDuringRequest, fields, true
	case quarantine.Quarantined:
		fields = append(fields, zap.Strings("servers", lo.Keys(s.Ends)), zap.Time("until", s.QuarantinedUntil), zap.Int("strikes", s.Strikes))
		if s.Part != "" {
			return event.PartQuarantined, fields, true
		}
		return event.Quarantined, fields, true
	default:
		return event.SuspicionCleared, append(fields, zap.String("server", c.Endpoint), zap.Int("ends", c.Ends)), s.Part == "" || c.Ends > 1
	}
}
