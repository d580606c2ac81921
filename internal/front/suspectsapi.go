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

// QuarantinePath is where an instance's metrics address lists the requests under which
// servers ended; DELETE of a fingerprint below it lifts a quarantine. The address is for
// operators only.
const QuarantinePath = "/quarantine"

// SuspectStatus is a request under which servers ended, as operators see it.
type SuspectStatus struct {
	Fingerprint string               `json:"fingerprint"`
	Account     string               `json:"account,omitempty"`
	Ends        map[string]time.Time `json:"ends"`                 // when servers ended under it, by id
	Until       *time.Time           `json:"until,omitempty"`      // until when it does not run
	Strikes     int                  `json:"strikes,omitempty"`    // how often it was quarantined
	ClearedAt   *time.Time           `json:"cleared_at,omitempty"` // when it last came through, or was lifted
}

func suspectStatus(s *quarantine.Suspect) SuspectStatus {
	out := SuspectStatus{Fingerprint: s.Fingerprint.String(), Account: s.Account, Ends: s.Ends, Strikes: s.Strikes}
	if !s.Until.IsZero() {
		out.Until = &s.Until
	}
	if !s.ClearedAt.IsZero() {
		out.ClearedAt = &s.ClearedAt
	}
	return out
}

// serveList lists the suspects, by fingerprint.
func (s *suspects) serveList(w http.ResponseWriter, _ *http.Request) {
	out := []SuspectStatus{}
	for _, x := range s.table.Suspects(true, s.instance.Clock.Now()) {
		out = append(out, suspectStatus(&x))
	}
	slices.SortFunc(out, func(a, b SuspectStatus) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // an operator that left reads nothing
}

// serveLift lifts a quarantine, here and at all instances.
func (s *suspects) serveLift(w http.ResponseWriter, r *http.Request) {
	x, ok := s.table.Find(r.PathValue("fingerprint"))
	if !ok {
		http.Error(w, "no suspect has this fingerprint, or several do", http.StatusNotFound)
		return
	}
	s.instance.event(event.QuarantineLifted, zap.Stringer("fingerprint", x.Fingerprint), zap.String("account", x.Account))
	s.broadcast(s.table.CameThrough(x.Fingerprint, "", s.instance.Clock.Now()))
	w.WriteHeader(http.StatusNoContent)
}
