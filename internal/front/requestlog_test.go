package front

import (
	"slices"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// maxLoggedEvents bounds the events that a requestLog keeps.
const maxLoggedEvents = 400

// keptEvents are the events that a requestLog keeps: those that tell why a request failed.
var keptEvents = []event.Code{
	event.ForwardRefused, event.StreamBroken, event.StreamOriginUnknown, event.ProxyRefused, event.EndpointEndedDuringRequest, event.Quarantined, event.SuspicionCleared,
	event.ProcessResumed, event.Stopping,
}

// requestLog keeps the last events about requests of all instances of a cluster, and prints them if the
// test fails. It is safe for concurrent use.
type requestLog struct {
	mu     sync.Mutex
	events []loggedEvent // guarded by mu
}

type loggedEvent struct {
	entry  zapcore.Entry
	fields []zapcore.Field
}

func newRequestLog(t *testing.T) *requestLog {
	l := &requestLog{}
	t.Cleanup(func() {
		if t.Failed() {
			l.print(t)
		}
	})
	return l
}

// logger returns the logger of an instance.
func (l *requestLog) logger(instance string) *zap.Logger {
	return zap.New(&requestLogCore{log: l}).With(zap.String("instance", instance))
}

func (l *requestLog) print(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000000")
	encoder := zapcore.NewJSONEncoder(c)
	for _, e := range l.events {
		line, err := encoder.EncodeEntry(e.entry, e.fields)
		if err != nil {
			t.Log(err)
			continue
		}
		t.Log(line.String())
		line.Free()
	}
}

// requestLogCore is the zapcore.Core of an instance's logger.
type requestLogCore struct {
	log    *requestLog
	fields []zapcore.Field
}

// Enabled implements zapcore.Core.
func (c *requestLogCore) Enabled(zapcore.Level) bool { return true }

// With implements zapcore.Core.
func (c *requestLogCore) With(fields []zapcore.Field) zapcore.Core {
	return &requestLogCore{c.log, slices.Concat(c.fields, fields)}
}

// Check implements zapcore.Core.
func (c *requestLogCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c *requestLogCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !slices.ContainsFunc(fields, isKeptEvent) {
		return nil
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if len(c.log.events) == maxLoggedEvents {
		c.log.events = slices.Delete(c.log.events, 0, maxLoggedEvents/4)
	}
	c.log.events = append(c.log.events, loggedEvent{e, slices.Concat(c.fields, fields)})
	return nil
}

// Sync implements zapcore.Core.
func (c *requestLogCore) Sync() error { return nil }

// isKeptEvent reports whether a field holds the number of one of keptEvents.
func isKeptEvent(f zapcore.Field) bool {
	return f.Key == event.FieldKey && slices.Contains(keptEvents, event.Code(f.Integer))
}
