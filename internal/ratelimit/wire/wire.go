// Package wire encodes reports on rate limits of endpoints for messages between instances.
package wire

import (
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

// Encode converts reports to messages.
func Encode(reports []ratelimit.Report) []*peerpb.EndpointLimit {
	return lo.Map(reports, func(r ratelimit.Report, _ int) *peerpb.EndpointLimit {
		return &peerpb.EndpointLimit{Endpoint: r.Endpoint, Named: r.Limit.Kind == ratelimit.Limited, Rate: r.Limit.Rate, Age: int64(r.Age)}
	})
}

// maxReports bounds the reports that are read from one message.
const maxReports = 1024

// Decode converts messages to reports. Those whose rate or age is negative or not a number are left
// out, and so are those beyond maxReports.
func Decode(limits []*peerpb.EndpointLimit) []ratelimit.Report {
	return lo.FilterMap(limits[:min(len(limits), maxReports)], func(l *peerpb.EndpointLimit, _ int) (ratelimit.Report, bool) {
		r := ratelimit.Report{Endpoint: l.GetEndpoint(), Age: time.Duration(l.GetAge())}
		if l.GetNamed() {
			r.Limit = ratelimit.Limit{Kind: ratelimit.Limited, Rate: l.GetRate()}
		}
		return r, l.GetRate() >= 0 && l.GetAge() >= 0
	})
}
