package gateway

import (
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"

	"github.com/shelfcrank/shelfcrank/internal/fault"
)

// Problem is an error response in the application/problem+json format.
type Problem struct {
	Status int                 `json:"status" doc:"HTTP status."`
	Title  string              `json:"title"`
	Detail string              `json:"detail"`
	Run    string              `json:"run" enum:"not_run,may_have_run,ran" doc:"What is known about the execution of the request."`
	Step   string              `json:"step,omitempty" doc:"Step at which the error arose."`
	Errors []*huma.ErrorDetail `json:"errors,omitempty"`

	retryAfter string // seconds; empty if a retry would not help
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }

// GetStatus implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders implements huma.HeadersError.
func (p *Problem) GetHeaders() http.Header {
	h := http.Header{}
	if p.retryAfter != "" {
		h.Set("Retry-After", p.retryAfter)
	}
	return h
}

var statusByKind = map[fault.Kind]int{
	fault.KindInternal:     http.StatusInternalServerError,
	fault.KindRefused:      http.StatusServiceUnavailable,
	fault.KindTimeout:      http.StatusGatewayTimeout,
	fault.KindBroken:       http.StatusBadGateway,
	fault.KindInput:        http.StatusBadRequest,
	fault.KindConflict:     http.StatusConflict,
	fault.KindLimit:        http.StatusTooManyRequests,
	fault.KindUnauthorised: http.StatusUnauthorized,
	fault.KindNotFound:     http.StatusNotFound,
}

// newProblem returns the error response for err.
func (g *Gateway) newProblem(err error) *Problem {
	f := fault.As(err)
	status := statusByKind[f.Kind]
	p := &Problem{Status: status, Title: http.StatusText(status), Detail: f.Error(), Run: f.Run.String(), Step: string(f.Step)}
	if !f.RetryAt.IsZero() {
		seconds := max(0, int(g.Clock.Until(f.RetryAt).Seconds()+0.999))
		p.retryAfter = strconv.Itoa(seconds)
	}
	return p
}

// installProblems makes huma return its own errors, such as an invalid body, as
// Problems. They occur before the request is accepted, so it has not run.
func installProblems() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		p := &Problem{Status: status, Title: http.StatusText(status), Detail: msg, Run: fault.NotRun.String(), Step: string(fault.StepParse)}
		for _, err := range errs {
			if d, ok := err.(huma.ErrorDetailer); ok {
				p.Errors = append(p.Errors, d.ErrorDetail())
			} else if err != nil {
				p.Errors = append(p.Errors, &huma.ErrorDetail{Message: err.Error()})
			}
		}
		return p
	}
}
