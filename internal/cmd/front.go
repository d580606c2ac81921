package cmd

import (
	"cmp"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
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

// Memory limits of the process.
const (
	megabyte         = 1 << 20
	memoryLimitShare = 0.7 // soft limit, as a fraction of the instance's memory; above it garbage is collected more often
	gcPercent        = 40  // below Go's default of 100: on small instances memory is scarcer than CPU time
)

// serveFront runs a front instance, which forwards requests from clients to
// endpoints on the users' platform, until ctx is done. A signal of reload makes it
// read its settings file again.
func serveFront(ctx context.Context, out io.Writer, file string, level zapcore.Level, reload <-chan os.Signal) error {
	set, err := settings.LoadFront(file)
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(set.MemoryMB) * megabyte))
	}
	set.MaxDescriptors = cmp.Or(set.MaxDescriptors, descriptorLimit())
	sink := logsink.New(out)
	defer sink.Close()
	log := newLogger(sink, level)
	node, err := front.New(front.Options{
		Settings: set, Net: netx.TCP{Local: set.Local}, Decoder: platform.Decoder{}, Protocol: platform.HeaderCodec{},
		Store: platform.NewStore(set.Store, platformTransport(), front.WatchWait.Milliseconds()),
		Cloud: platform.NewCloud(set.Cloud, platformTransport()),
		Clock: clock.New(clock.System{}), Log: log, Seed: rand.Uint64(), Reload: reload,
		Reread: func() (settings.Front, error) { return settings.LoadFront(file) },
	})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// descriptorLimit returns the limit of the system on the open descriptors of this process; 0 if it is unknown.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
}

// idleConnTimeout is how long an idle connection to the store or to the cloud
// interface is kept open.
const idleConnTimeout = 5 * time.Second

// platformTransport returns an HTTP transport for calls to the platform's store
// and cloud interface.
func platformTransport() http.RoundTripper {
	t := netx.Transport(netx.TCP{})
	t.IdleConnTimeout = idleConnTimeout
	return t
}
