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
	stateWait          = 300 * time.Millisecond // for the state of a request
)

func (g *Gateway) registerServices(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "call-service", Method: http.MethodPost, Path: "/v1/services/{service}/{path...}",
		MaxBodyBytes: maxServiceBody, BodyReadTimeout: bodyTimeout, Tags: []string{"services"},
	}, g.callService)
}

func (g *Gateway) callService(ctx context.Context, in *serviceInput) (*huma.StreamResponse, error) {
	target := in.Service + "/" + in.Path
	req, acc, _, err := g.begin(in.CallHeaders, "service/"+target)
	if err != nil {
		return nil, g.problemOf(err)
	}
	req.Kind, req.Target, req.Body, req.ContentType = record.KindService, target, in.RawBody, in.ContentType
	if req.ContentType == "" {
		req.ContentType = defaultContentType
	}
	req.Digest = relay.Digest([]byte(target), req.Body)
	end, err := g.submit(ctx, req, acc, 1)
	if err != nil {
		return nil, g.problemOf(err)
	}
	a := answer{g: g, id: req.ID, account: acc.Name}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer end()
		a.write(hc, 0)
	}}, nil
}

// RequestInput names a request of the caller's account.
type RequestInput struct {
	Auth
	ID string `path:"id" maxLength:"64"`
}

type streamInput struct {
	RequestInput
	From int `query:"from" minimum:"0"`
}

// RequestState is what is known of a request.
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

// getRequest looks at the first chunk that comes and does not wait for more.
func (g *Gateway) getRequest(ctx context.Context, in *RequestInput) (*requestOutput, error) {
	_, acc, err := g.account(in.Auth)
	if err != nil {
		return nil, g.problemOf(err)
	}
	a := answer{g: g, id: in.ID, account: acc.Name}
	out := &requestOutput{ID: in.ID, Body: RequestState{ID: in.ID}}
	ctx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	err = g.Relay.Follow(ctx, in.ID, 0, func(c relay.Chunk) error {
		if err := a.check(c); err != nil {
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
		return nil, g.problemOf(err)
	}
	return out, nil
}

func (g *Gateway) resumeRequest(ctx context.Context, in *streamInput) (*huma.StreamResponse, error) {
	_, acc, err := g.account(in.Auth)
	if err != nil {
		return nil, g.problemOf(err)
	}
	a := answer{g: g, id: in.ID, account: acc.Name, stream: true}
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		head, err := g.head(hc.Context(), a)
		if err != nil {
			writeProblem(hc, g.problemOf(err))
			return
		}
		a.model, a.chat, a.stream = head.Target, head.Chat, head.Kind == record.KindModel
		if !a.stream {
			a.model = ""
		}
		a.write(hc, in.From)
	}}, nil
}

// errSeen ends a follow that only looks at the first chunk.
var errSeen = fault.New(fault.StepResume, "", fault.KindInternal, fault.MayHaveRun, "seen")

// head returns the request behind an id of this account.
func (g *Gateway) head(ctx context.Context, a answer) (*record.Record, error) {
	var head *record.Record
	err := g.Relay.Follow(ctx, a.id, 0, func(c relay.Chunk) error {
		if err := a.check(c); err != nil {
			return err
		}
		head = c.Head
		return errSeen
	})
	if head != nil {
		return head, nil
	}
	return nil, err
}
