package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/relay"
)

type serviceInput struct {
	CallHeaders
	Service     string `path:"service" maxLength:"100"`
	Path        string `path:"path" maxLength:"500"`
	ContentType string `header:"Content-Type"`
	RawBody     []byte
}

const (
	defaultContentType = "application/octet-stream"
	stateTimeout       = 300 * time.Millisecond // time to collect the state of a request
)

func (g *Gateway) registerServices(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "call-service", Method: http.MethodPost, Path: "/v1/services/{service}/{path...}",
		MaxBodyBytes: maxServiceBody, BodyReadTimeout: bodyTimeout, Tags: []string{"services"},
	}, g.callService)
}

func (g *Gateway) callService(ctx context.Context, in *serviceInput) (*huma.StreamResponse, error) {
	target := in.Service + "/" + in.Path
	req, acc, _, err := g.newRequest(in.CallHeaders, "service/"+target)
	if err != nil {
		return nil, g.newProblem(err)
	}
	req.Kind, req.Target, req.Body, req.ContentType = record.KindService, target, in.RawBody, in.ContentType
	if req.ContentType == "" {
		req.ContentType = defaultContentType
	}
	req.Digest = relay.Digest([]byte(target), req.Body)
	release, err := g.submit(ctx, req, acc, 1)
	if err != nil {
		return nil, g.newProblem(err)
	}
	r := response{g: g, id: req.ID, account: acc.Name}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer release()
		r.write(hc, 0)
	}}, nil
}

// RequestInput identifies a request of the authenticated client account.
type RequestInput struct {
	Auth
	ID string `path:"id" maxLength:"64"`
}

type streamInput struct {
	RequestInput
	From int `query:"from" minimum:"0"`
}

// RequestState is the progress of a request.
type RequestState struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Done     bool   `json:"done"`
	Position int    `json:"position" doc:"Tokens of the answer there are."`
	Run      string `json:"run,omitempty" doc:"Set when it failed."`
}

type requestOutput struct {
	ID   string `header:"Request-Id"`
	Body RequestState
}

func (g *Gateway) registerRequests(api huma.API) {
	huma.Register(api, huma.Operation{OperationID: "get-request", Method: http.MethodGet, Path: "/v1/requests/{id}", Tags: []string{"requests"}}, g.getRequest)
	huma.Register(api, huma.Operation{OperationID: "resume-request", Method: http.MethodGet, Path: "/v1/requests/{id}/stream", Tags: []string{"requests"}}, g.resumeRequest)
}

// getRequest returns the state of a request: the chunks of its response that
// arrive within stateTimeout. If none arrives, the state is empty.
func (g *Gateway) getRequest(ctx context.Context, in *RequestInput) (*requestOutput, error) {
	_, acc, err := g.authenticate(in.Auth)
	if err != nil {
		return nil, g.newProblem(err)
	}
	r := response{g: g, id: in.ID, account: acc.Name}
	out := &requestOutput{ID: in.ID, Body: RequestState{ID: in.ID}}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	err = g.Relay.Follow(ctx, in.ID, 0, func(c relay.Chunk) error {
		if err := r.checkAccount(c); err != nil {
			return err
		}
		out.Body.Position += len(c.Tokens)
		if c.Head != nil {
			out.Body.Class = c.Head.Class
		}
		out.Body.Done = c.Result != nil
		if c.Result != nil && c.Result.Failure != nil {
			out.Body.Run = c.Result.Failure.Run.String()
		}
		return nil
	})
	if err != nil && ctx.Err() == nil {
		return nil, g.newProblem(err)
	}
	return out, nil
}

// resumeRequest writes the response of an earlier request: that of a model
// call as a stream that starts at token number From, that of a service call as
// one body.
func (g *Gateway) resumeRequest(ctx context.Context, in *streamInput) (*huma.StreamResponse, error) {
	_, acc, err := g.authenticate(in.Auth)
	if err != nil {
		return nil, g.newProblem(err)
	}
	r := response{g: g, id: in.ID, account: acc.Name, stream: true}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		head, err := g.requestHead(hc.Context(), r)
		if err != nil {
			writeProblem(hc, g.newProblem(err))
			return
		}
		r.model, r.chat, r.stream = head.Target, head.Chat, head.Kind == record.KindModel
		if !r.stream {
			r.model = ""
		}
		r.write(hc, in.From)
	}}, nil
}

// errStopFollow stops Follow after the first chunk.
var errStopFollow = fault.New(fault.StepResume, "", fault.KindInternal, fault.MayHaveRun, "first chunk received")

// requestHead returns the record of the request that r is a response to, if it
// belongs to the account of r. The record may lack the body.
func (g *Gateway) requestHead(ctx context.Context, r response) (*record.Record, error) {
	var head *record.Record
	err := g.Relay.Follow(ctx, r.id, 0, func(c relay.Chunk) error {
		if err := r.checkAccount(c); err != nil {
			return err
		}
		head = c.Head
		return errStopFollow
	})
	if head != nil {
		return head, nil
	}
	return nil, err
}
