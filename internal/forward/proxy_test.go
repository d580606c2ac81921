package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/shelfcrank/shelfcrank/internal/event"
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
	}
	is.Equal(logs.FilterField(zap.Int(event.FieldKey, int(event.InvariantBroken))).Len(), 0)
	is.Equal(len(w.got), 0)
}
