package front

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// A version that was rolled back must stay rolled back when the store is restored from a copy
// that is older than the roll-back, until the operators order it again.
func TestAVersionThatWasRolledBackStaysSoAfterTheStoreIsRestored(t *testing.T) {
	const (
		beforeOrder = iota
		inTrial
		atEnd
	)
	for name, when := range map[string]int{"copy from before the order": beforeOrder, "copy from the trial": inTrial, "copy from after it": atEnd} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 8, func(is *is.I, w *testCluster) {
				var backup storetest.Backup
				if when == beforeOrder {
					backup = w.store.Backup()
				}
				o := w.rollOut(versionBehavior{failShare: 0.3}, 200, func() {
					if when == inTrial {
						backup = w.store.Backup()
					}
				})
				is.Equal(o.status, string(rollout.RolledBack))
				if when == atEnd {
					backup = w.store.Backup()
				}
				arrived := w.arrivedAt("v2")
				w.burnRevisions(40)
				w.restore(backup, time.Second)
				stop := w.load(200)
				time.Sleep(500 * time.Millisecond)
				value, err := json.Marshal(rollout.Order{Target: "v2", Window: 12 * time.Second})
				is.NoErr(err)
				w.store.Put("op/rollout/svc", value)
				for i := range oldEndpoints + newEndpoints {
					w.putEndpoint(i, false)
				}
				time.Sleep(8 * time.Second)
				stop()
				is.Equal(w.arrivedAt("v2"), arrived)
				is.Equal(w.status(), string(rollout.RolledBack))
				w.order("v2", 12*time.Second) // a new order for the same version
				stop = w.load(200)
				time.Sleep(6 * time.Second)
				stop()
				is.True(w.arrivedAt("v2") > 0)
			}, withRollouts)
		})
	}
}

// arrivedAt returns how many requests reached a version since the last call of order.
func (w *testCluster) arrivedAt(version string) int {
	w.rollouts.mu.Lock()
	defer w.rollouts.mu.Unlock()
	return w.rollouts.arrived[version]
}
