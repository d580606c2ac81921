package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/quota"
)

// controlBytes is what an instance may send and receive for control, in bytes a second.
const controlBytes = 17_000

// withHalls spreads the instances over halls.
func withHalls(halls int) func(*testCluster) { return func(w *testCluster) { w.halls = halls } }

// A digest must not repeat the counts of all accounts of all hubs to instances that have them.
func TestCountsThatDidNotChangeAreNotRepeated(t *testing.T) {
	const instances, accounts = 48, 333
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		time.Sleep(6 * time.Second)
		_, followers := hubsAndFollowers(w)
		for i := range accounts {
			for _, name := range followers[:12] {
				a := w.instances[name].instance.admission
				a.mu.Lock()
				a.quota.Admit(fmt.Sprint("account-", i), quota.Limit{}, float64(1000+i), time.Now())
				a.mu.Unlock()
			}
		}
		time.Sleep(2 * time.Second)
		idle := w.follower(followers[12:])
		before, begun := w.instances[idle].instance.peerBytes(), time.Now()
		time.Sleep(5 * time.Second)
		perSecond := float64(w.instances[idle].instance.peerBytes()-before) / time.Since(begun).Seconds()
		t.Logf("%.0f bytes a second", perSecond)
		is.True(perSecond < controlBytes)
		limits := make(map[string]quota.Limit)
		for i := range accounts {
			limits[fmt.Sprint("account-", i)] = quota.Limit{Rate: 1, Burst: 1}
		}
		a := w.instances[idle].instance.admission
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(len(a.quota.Levels(limits, time.Now())), accounts) // it knows all
	}, withHalls(4))
}

// peerBytes returns the bytes exchanged with other instances.
func (n *Instance) peerBytes() int64 {
	sent, received := n.peers.Bytes()
	return sent + received
}

// follower returns the first of the named instances that is no hub.
func (w *testCluster) follower(names []string) string {
	for _, name := range names {
		if !w.instances[name].instance.state.members.topology().IsHub {
			return name
		}
	}
	w.t.Fatal("all are hubs")
	return ""
}
