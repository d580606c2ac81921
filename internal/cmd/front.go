package cmd

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/front"
	"github.com/shelfcrank/shelfcrank/internal/logsink"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/platform"
)

// Memory that the process keeps to.
const (
	megabyte    = 1 << 20
	memoryShare = 0.7 // of the machine's, from which garbage is collected harder
	garbagePct  = 40  // memory is dearer than processor time on small machines
)

// serveFront runs a node between clients and servers on the users' platform.
func serveFront(ctx context.Context, out io.Writer, file string, level zapcore.Level) error {
	set, err := settings.LoadFront(file)
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(garbagePct)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB) * megabyte))
	}
	sink := logsink.New(out)
	defer sink.Close()
	log := newLogger(sink, level)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	node, err := front.New(front.Options{
		Settings: set, Net: netx.TCP{}, Decoder: platform.Decoder{}, Protocol: platform.Edge{},
		Store: platform.NewStore(set.Store, storeTransport(), front.WatchWait.Milliseconds()),
		Cloud: platform.NewCloud(set.Cloud, storeTransport()),
		Clock: clock.New(clock.System{}), Log: log, Seed: rand.Uint64(), Reload: reload,
		Reread: func() (settings.Front, error) { return settings.LoadFront(file) },
	})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// idleCalls is how long an idle connection to the store or the cloud is kept.
const idleCalls = 5 * time.Second

// storeTransport returns a transport for calls of the platform.
func storeTransport() http.RoundTripper {
	t := netx.Transport(netx.TCP{})
	t.IdleConnTimeout = idleCalls
	return t
}
