package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// The instance that the client asked has sent the request to an endpoint that broke off.
func TestAnInstanceThatRefusesARequestOfAnotherDoesNotClaimThatItNeverRan(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 0, sealed(200, "hi"))
	core, logs := observer.New(zapcore.InfoLevel)
	w.handler.Log = zap.New(core)
	outdated := *w.handler.View()
	outdated.KeysValidUntil = time.Now().Add(-time.Second)
	for mayHaveRun, want := range map[bool]int{true: http.StatusBadGateway, false: http.StatusServiceUnavailable} {
		r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/safe/a", strings.NewReader("body"))
		r.Header.Set("Id", "7")
		r.Header.Set("Key", "k")
		rec := httptest.NewRecorder()
		q := &request{arrived: time.Now(), view: &outdated, meta: w.handler.Protocol.Request(r.Header), proxied: true, mayHaveRun: mayHaveRun, deadline: time.Now().Add(time.Second)}
		w.handler.serve(rec, r, q)
		is.Equal(rec.Code, want)
		is.True(rec.Header().Get(peerproxy.DeclinedHeader) != "") // another instance may serve it
	}
	is.Equal(logs.FilterField(zap.Int(event.FieldKey, int(event.InvariantBroken))).Len(), 0)
	is.Equal(len(w.got), 0)
}

// brokenStreams is a Proxy whose streams break off after an event, from an endpoint that is not listed here.
type brokenStreams struct{ sent int }

// Send implements Proxy.
func (p *brokenStreams) Send(context.Context, *peerproxy.Request) (*peerproxy.Response, error) {
	p.sent++
	h := http.Header{"Content-Type": {"text/event-stream"}, "Seal": {"s"}}
	h.Set(peerproxy.EndpointHeader, "unlisted")
	body := io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\nid: 2"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	return peerproxy.NewResponse(&http.Response{StatusCode: http.StatusOK, Header: h, Body: body, ContentLength: -1}, "peer", func() {}), nil
}

// noPaths is the Paths of an instance without a path to an endpoint.
type noPaths struct{}

func (noPaths) Reachable([]registry.Endpoint) []registry.Endpoint { return nil }
func (noPaths) Lost() bool                                        { return true }

// Guards against a stream that goes on at another version, after the instance that served it broke off and the version
// at which it began is not known.
func TestAStreamOfUnknownVersionIsNotResumedAfterARelayBreaksOff(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 0, events(2, 3, true))
	proxy := &brokenStreams{}
	w.handler.Proxy, w.handler.Paths = proxy, noPaths{}
	rec, cut := w.ask("/resume/a", "k")
	is.True(cut)
	is.Equal(rec.Body.String(), "id: 1\ndata: x\n\n")
	is.Equal(proxy.sent, 1)
}
