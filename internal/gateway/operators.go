package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Status is the state of the system as one entry instance sees it.
type Status struct {
	Instance      string           `json:"instance"`
	Hall          string           `json:"hall"`
	Leaving       bool             `json:"leaving"`
	Revision      uint64           `json:"table_revision"`
	Epoch         uint64           `json:"view_epoch"`
	Records       int              `json:"records"`
	Claims        int              `json:"claims"`
	Members       []StatusMember   `json:"members"`
	Endpoints     []StatusEndpoint `json:"endpoints"`
	SentBytes     int64            `json:"peer_bytes_sent"`
	ReceivedBytes int64            `json:"peer_bytes_received"`
}

// StatusMember is the state of one entry instance in a Status.
type StatusMember struct {
	ID       string    `json:"id"`
	Hall     string    `json:"hall"`
	State    string    `json:"state"`
	Leaving  bool      `json:"leaving"`
	Revision uint64    `json:"table_revision"`
	SeenAt   time.Time `json:"heard_at"`
}

// StatusEndpoint is the state of one endpoint in a Status.
type StatusEndpoint struct {
	ID          string `json:"id"`
	Hall        string `json:"hall"`
	Serves      string `json:"serves"`
	Open        int    `json:"open"`
	Running     int    `json:"running"`
	Unavailable bool   `json:"resting"`
}

// EditAnswer is the response to an EditRequest that took effect.
type EditAnswer struct {
	Accepted table.Accepted `json:"accepted"`
}

// EditRequest asks for an edit of the table. Its author is the client account
// whose key authenticates the call.
type EditRequest struct {
	ID          string `json:"id" minLength:"8" maxLength:"64" doc:"Chosen by the client; the same edit asked for again takes effect once."`
	Op          string `json:"op" enum:"set,add,remove"`
	Row         string `json:"row" minLength:"1" maxLength:"100"`
	Column      string `json:"column,omitempty"`
	Value       string `json:"value,omitempty" maxLength:"1000"`
	Expected    string `json:"was,omitempty"`
	HasExpected bool   `json:"has_was,omitempty"`
	Kind        string `json:"kind,omitempty"`
	Force       bool   `json:"force,omitempty"`
}

// NewEditRequest returns the request that asks for e.
func NewEditRequest(e table.Edit) EditRequest {
	return EditRequest{e.ID, string(e.Op), e.Row, e.Column, e.Value, e.Expected, e.HasExpected, e.Kind, e.Force}
}

type editInput struct {
	Auth
	Body EditRequest
}

type operatorInput struct{ Auth }

type historyInput struct {
	Auth
	Limit int `query:"limit" minimum:"1" maximum:"5000" default:"50"`
}

// bodyOf is a huma output with a body and no headers.
type bodyOf[T any] struct{ Body T }

func (g *Gateway) registerOperators(api huma.API) {
	op := func(id, method, path string) huma.Operation {
		return huma.Operation{OperationID: id, Method: method, Path: path, Tags: []string{"operators"}}
	}
	huma.Register(api, op("get-table", http.MethodGet, "/operator/table"), func(_ context.Context, in *operatorInput) (*bodyOf[*table.Document], error) {
		if _, err := g.authenticateOperator(in.Auth); err != nil {
			return nil, g.newProblem(err)
		}
		return &bodyOf[*table.Document]{g.Snapshot().Stored.Doc}, nil
	})
	huma.Register(api, op("edit-table", http.MethodPost, "/operator/edits"), g.edit)
	huma.Register(api, op("get-history", http.MethodGet, "/operator/history"), func(ctx context.Context, in *historyInput) (*bodyOf[[]table.Accepted], error) {
		if _, err := g.authenticateOperator(in.Auth); err != nil {
			return nil, g.newProblem(err)
		}
		h, err := g.Operator.History(ctx, in.Limit)
		if err != nil {
			return nil, g.newProblem(g.storeFault(err))
		}
		return &bodyOf[[]table.Accepted]{h}, nil
	})
	huma.Register(api, op("get-status", http.MethodGet, "/operator/status"), func(ctx context.Context, in *operatorInput) (*bodyOf[Status], error) {
		if _, err := g.authenticateOperator(in.Auth); err != nil {
			return nil, g.newProblem(err)
		}
		return &bodyOf[Status]{g.Operator.Status(ctx)}, nil
	})
}

// authenticateOperator authenticates a call and returns its client account. It
// fails if the table does not mark the account as an operator.
func (g *Gateway) authenticateOperator(a Auth) (*table.Account, error) {
	_, acc, err := g.authenticate(a)
	if err != nil {
		return nil, err
	}
	if !acc.Operator {
		return nil, fault.New(fault.StepAuth, "", fault.KindUnauthorised, fault.NotRun, "the key does not belong to an operator")
	}
	return acc, nil
}

func (g *Gateway) edit(ctx context.Context, in *editInput) (*bodyOf[EditAnswer], error) {
	acc, err := g.authenticateOperator(in.Auth)
	if err != nil {
		return nil, g.newProblem(err)
	}
	b := in.Body
	accepted, err := g.Operator.Edit(ctx, table.Edit{
		ID: b.ID, By: acc.Name, Op: table.Op(b.Op), Row: b.Row, Column: b.Column,
		Value: b.Value, Expected: b.Expected, HasExpected: b.HasExpected, Kind: b.Kind, Force: b.Force,
	})
	if err != nil {
		return nil, g.newProblem(g.editFault(err))
	}
	return &bodyOf[EditAnswer]{EditAnswer{accepted}}, nil
}

// editFault classifies the error of an edit: a conflict with another edit, an
// edit that is not allowed, one with an unknown outcome, or a failure of the
// store.
func (g *Gateway) editFault(err error) error {
	var conflict *table.ConflictError
	var rejected *table.RejectedError
	switch {
	case errors.As(err, &conflict):
		return fault.New(fault.StepEdit, "", fault.KindConflict, fault.NotRun, "%w", err)
	case errors.As(err, &rejected):
		return fault.New(fault.StepEdit, "", fault.KindInput, fault.NotRun, "%w", err)
	case errors.Is(err, table.ErrUnresolved):
		return fault.New(fault.StepEdit, "", fault.KindTimeout, fault.MayHaveRun, "%w", err).WithRetryAt(g.Clock.Now().Add(time.Second))
	default:
		return g.storeFault(err)
	}
}

// storeFault classifies an error of the store. The client may retry after a
// second.
func (g *Gateway) storeFault(err error) error {
	f := fault.New(fault.StepStore, "", fault.KindRefused, fault.NotRun, "%w", err).WithRetryAt(g.Clock.Now().Add(time.Second))
	if errors.Is(err, kv.ErrUnknownOutcome) {
		f.Run = fault.MayHaveRun
	}
	return f
}
