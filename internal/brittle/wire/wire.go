// Package wire encodes reports of brittle services for messages between instances.
package wire

import (
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/brittle"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Encode converts reports to messages.
func Encode(reports []brittle.Report) []*peerpb.BrittleService {
	return lo.Map(reports, func(r brittle.Report, _ int) *peerpb.BrittleService {
		return &peerpb.BrittleService{Service: r.Service, Most: int64(r.Most), Age: int64(r.Age)}
	})
}

// Decode converts messages to reports.
func Decode(services []*peerpb.BrittleService) []brittle.Report {
	return lo.Map(services, func(s *peerpb.BrittleService, _ int) brittle.Report {
		return brittle.Report{Service: s.Service, Most: int(s.Most), Age: time.Duration(s.Age)}
	})
}
