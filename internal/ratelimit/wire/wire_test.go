package wire

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

func TestReportsAreReadAsTheyWereWritten(t *testing.T) {
	is := is.New(t)
	reports := []ratelimit.Report{
		{Endpoint: "a", Limit: ratelimit.Limit{Kind: ratelimit.Limited, Rate: 1.5}, Age: time.Second},
		{Endpoint: "b", Age: time.Minute},
	}
	is.Equal(Decode(Encode(reports)), reports)
}

func TestOddReportsAreLeftOut(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Decode([]*peerpb.EndpointLimit{
		{Endpoint: "a", Named: true, Rate: -1}, {Endpoint: "a", Named: true, Rate: math.NaN()}, {Endpoint: "a", Named: true, Age: -1}, nil,
	})), 1) // nil is an empty report
}
