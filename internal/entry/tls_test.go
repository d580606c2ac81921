package entry_test

import (
	"context"
	"crypto/tls"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/experiment"
	"github.com/shelfcrank/shelfcrank/internal/keys"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// Entry instances find each other over mutual TLS and serve requests. An instance with a
// certificate of another authority must not become a member of any.
func TestPeersOverMutualTLS(t *testing.T) {
	is := is.New(t)
	ours, foreign := t.TempDir(), t.TempDir()
	const outsider = "entry-03"
	// The test runs in real time: crypto/tls holds a mutex while it waits for the
	// network, which stops the virtual clock of a synctest bubble. Its package
	// must have no bubbles, since yamux shares timers between them through a pool.
	spec, err := deployment.Load("voltra")
	is.NoErr(err)
	spec.Entries = 4
	peerTLS := func(name string) *tls.Config {
		dir := ours
		if name == outsider {
			dir = foreign
		}
		until := time.Now().Add(24 * time.Hour)
		is.NoErr(keys.MakeAuthority(dir, until))
		is.NoErr(keys.MakeEntryCertificate(dir, name, nil, until))
		l, err := keys.NewLoader(keys.Files{Authority: filepath.Join(dir, keys.AuthorityCert), Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem")})
		is.NoErr(err)
		return l.PeerConfig()
	}
	mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
	e, err := experiment.StartEmbedded(experiment.EmbeddedOptions{Spec: spec, Base: 20000, Site: mem.Site, Log: zap.NewNop(), Seed: 1, PeerTLS: peerTLS})
	is.NoErr(err)
	found := func(i int) bool {
		s := e.Entry(i).Snapshot()
		return len(s.Members) == 2 && s.View != nil && len(s.View.Members) == 3
	}
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit) && !(found(0) && found(1) && found(2)); {
		time.Sleep(50 * time.Millisecond)
	}
	for i := range 3 {
		if !found(i) {
			t.Errorf("entry %d has not found the two others: knows %d, view %+v", i, len(e.Entry(i).Snapshot().Members), e.Entry(i).Snapshot().View)
		}
	}
	if n := len(e.Entry(3).Snapshot().Members); n != 0 {
		t.Errorf("the instance with a certificate of another authority knows %d members", n)
	}
	transport := netx.Transport(mem.Site("client"))
	b := traffic.NewBalancer(transport, e.Callers()[:3], 1)
	b.Probe(context.Background())
	o := traffic.NewClient(transport, b).Do(context.Background(), traffic.Call{Key: "voltra-north-key", IdempotencyKey: "one", Path: "cabinet/unlock", Body: "b", Deadline: time.Now().Add(5 * time.Second)})
	if !o.Complete {
		t.Errorf("unlock: %v (replicas ready: %v %v %v)", o.Err, e.Entry(0).Relay().ReplicaReady(), e.Entry(1).Relay().ReplicaReady(), e.Entry(2).Relay().ReplicaReady())
	}
	transport.CloseIdleConnections()
	e.Stop()
}
