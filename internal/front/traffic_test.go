package front

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/peer"
)

// traffic sums the traffic between all instances by kind.
func (w *testCluster) traffic() map[peer.Flow]peer.Volume {
	sum := make(map[peer.Flow]peer.Volume)
	for _, r := range w.instances {
		for f, v := range r.instance.peers.Traffic() {
			s := sum[f]
			s.Calls, s.Sent, s.Received = s.Calls+v.Calls, s.Sent+v.Sent, s.Received+v.Received
			sum[f] = s
		}
	}
	return sum
}

// logTraffic logs the traffic since an earlier snapshot of traffic, and returns its bytes.
func (w *testCluster) logTraffic(phase string, before map[peer.Flow]peer.Volume) (total int64) {
	for f, v := range w.traffic() {
		b := before[f]
		sent, received := v.Sent-b.Sent, v.Received-b.Received
		total += sent + received
		w.t.Logf("%s: %-8s other hall %-5t %8d calls %12d bytes sent %12d received", phase, f.Kind, f.CrossHall, v.Calls-b.Calls, sent, received)
	}
	return total
}

// endpointsPerInstance gives 100 instances as many endpoints as a fleet of 300 instances with 10
// each.
const endpointsPerInstance = 30

// Bounds the traffic between instances while a fleet starts, with endpoints that register within
// 1.5 s, and logs the traffic of an idle fleet. It guards against a mirror whose list of changes is
// shorter than the number of changes between two requests of an instance, which then gets all
// entries again each time: at 300 instances the readers sent 665 MB, 2.2 MB to each of the others.
// To run it with another size:
// SHELFCRANK_FLEET=300 go test ./internal/front -run TestGossipVolume -v
func TestGossipVolume(t *testing.T) {
	instances := fleetSize(100, 40)
	if n, err := strconv.Atoi(os.Getenv("SHELFCRANK_FLEET")); err == nil {
		instances = n
	}
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		begun := time.Now()
		listing := int64(0) // bytes of all entries
		for i := range endpointsPerInstance * instances {
			listing += int64(w.putEndpoint(testEndpoints+i, false))
			if i%instances == 0 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(8 * time.Second)
		start := w.logTraffic(fmt.Sprintf("start (%s)", time.Since(begun)), nil)
		before := w.traffic()
		time.Sleep(10 * time.Second)
		quiet := w.logTraffic("idle for 10 s", before)
		t.Logf("%d instances: %d kB each at the start, then %d bytes per second each", instances, start/int64(instances)/1000, quiet/int64(instances)/10)
		t.Logf("all entries: %d kB", listing/1000)
		is.True(start < 3*int64(instances)*listing/2) // each instance gets each entry once, plus other traffic
	}, func(w *testCluster) { w.halls = 4 })
}
