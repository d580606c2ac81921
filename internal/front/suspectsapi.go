package front

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

// QuarantinePath is the path, on an instance's metrics address, that lists the requests
// under which endpoints ended. DELETE of a fingerprint below it lifts a quarantine. Only
// operators reach this address.
const QuarantinePath = "/quarantine"

// SuspectStatus describes to operators a request, or a part of prompts, under which endpoints ended.
type SuspectStatus struct {
	Fingerprint string               `json:"fingerprint"`
	Part        string               `json:"part,omitempty"` // ID, if it is a part of prompts
	Account     string               `json:"account,omitempty"`
	Ends        map[string]time.Time `json:"ends"`                 // when endpoints ended under it, by id
	Until       *time.Time           `json:"until,omitempty"`      // end of the quarantine
	Strikes     int                  `json:"strikes,omitempty"`    // number of times it was quarantined
	ClearedAt   *time.Time           `json:"cleared_at,omitempty"` // when it last completed, or an operator lifted its quarantine
}

func suspectStatus(s *quarantine.Suspect) SuspectStatus {
	out := SuspectStatus{Fingerprint: s.Fingerprint.String(), Part: s.Part, Account: s.Account, Ends: s.Ends, Strikes: s.Strikes}
	if !s.QuarantinedUntil.IsZero() {
		out.Until = &s.QuarantinedUntil
	}
	if !s.ClearedAt.IsZero() {
		out.ClearedAt = &s.ClearedAt
	}
	return out
}

// serveList lists the suspects, sorted by fingerprint.
func (s *suspects) serveList(w http.ResponseWriter, _ *http.Request) {
	out := []SuspectStatus{}
	for _, x := range s.table.Suspects(true, s.instance.Clock.Now()) {
		out = append(out, suspectStatus(&x))
	}
	slices.SortFunc(out, func(a, b SuspectStatus) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the client may have disconnected
}

// serveLift lifts a quarantine on all instances. A unique prefix of the fingerprint is enough.
func (s *suspects) serveLift(w http.ResponseWriter, r *http.Request) {
	x, ok := s.table.Find(r.PathValue("fingerprint"))
	if !ok {
		http.Error(w, "no suspect, or more than one, matches this fingerprint", http.StatusNotFound)
		return
	}
	s.instance.event(event.QuarantineLifted, zap.Stringer("fingerprint", x.Fingerprint), zap.String("part", x.Part), zap.String("account", x.Account))
	s.broadcast(s.table.ClearSuspect(x.Fingerprint, "", s.instance.Clock.Now()))
	w.WriteHeader(http.StatusNoContent)
}
