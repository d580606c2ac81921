// Package wire encodes reports on rate limits of endpoints for messages between instances.
package wire

import (
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

// Encode writes reports.
func Encode(reports []ratelimit.Report) []*peerpb.EndpointLimit {
	return lo.Map(reports, func(r ratelimit.Report, _ int) *peerpb.EndpointLimit {
		return &peerpb.EndpointLimit{Endpoint: r.Endpoint, Named: r.Limit.Kind == ratelimit.Named, Rate: r.Limit.Rate, Age: int64(r.Age)}
	})
}

// most bounds the reports that are read from one message.
const most = 1024

// Decode reads reports. Those whose rate or age is negative or no number are left out.
func Decode(limits []*peerpb.EndpointLimit) []ratelimit.Report {
	return lo.FilterMap(limits[:min(len(limits), most)], func(l *peerpb.EndpointLimit, _ int) (ratelimit.Report, bool) {
		r := ratelimit.Report{Endpoint: l.GetEndpoint(), Age: time.Duration(l.GetAge())}
		if l.GetNamed() {
			r.Limit = ratelimit.Limit{Kind: ratelimit.Named, Rate: l.GetRate()}
		}
		return r, l.GetRate() >= 0 && l.GetAge() >= 0
	})
}
