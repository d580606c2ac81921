package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/settings"
)

// withReports makes endpoints report their load and sets the instances' settings for it.
func withReports(report string, s settings.Overload) func(*testCluster) {
	return func(w *testCluster) { w.report, w.overload = report, s }
}

// knowing returns the instances other than one that know the load of an endpoint.
func (w *testCluster) knowing(endpoint, other string) (names []string) {
	for name, r := range w.instances {
		if _, _, known := r.instance.loads.Latest(endpoint); known && name != other {
			names = append(names, name)
		}
	}
	return names
}

// askedEndpoint sends a request to a follower and returns the ID of the endpoint that got it.
func (w *testCluster) askedEndpoint(is *is.I, follower string) string {
	is.Equal(w.ask(follower, "/safe/a", "k1", "one"), 200)
	for i := range w.endpoints {
		if !w.lastRequestAt(endpointID(i)).IsZero() {
			return endpointID(i)
		}
	}
	is.Fail() // no endpoint got the request
	return ""
}

// Guards against hubs that place requests without the reports that only the instances see, which are
// the ones that endpoints answer.
func TestAHubLearnsOfAReportFromAFollowersNote(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		time.Sleep(4 * time.Second)
		_, followers := hubsAndFollowers(w)
		endpoint := w.askedEndpoint(is, followers[0])
		time.Sleep(100 * time.Millisecond)
		hubs := w.knowing(endpoint, followers[0])
		is.Equal(len(hubs), 1) // the hub that placed it
		seen, seenAt, _ := w.instances[followers[0]].instance.loads.Latest(endpoint)
		loads := w.instances[hubs[0]].instance.loads
		told, toldAt, _ := loads.Latest(endpoint)
		is.Equal(seen, loadreport.Report{Running: 3, Waiting: 1, Slots: 4, Slowdown: 2.5})
		is.Equal(told, seen)
		late := toldAt.Sub(seenAt) // the message was on its way for 1 ms
		is.True(late >= 0 && late <= 3*time.Millisecond)
		is.True(loads.Reporting("svc", time.Now()))
		time.Sleep(11 * time.Second)
		is.True(!loads.Reporting("svc", time.Now()))
	}, withReports("3,1,4,2.5", settings.Overload{LoadReports: true}))
}

// Guards against messages for a part that is off.
func TestReportsAreNotSentIfNoPartIsOn(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		time.Sleep(4 * time.Second)
		_, followers := hubsAndFollowers(w)
		endpoint := w.askedEndpoint(is, followers[0])
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(w.knowing(endpoint, followers[0])), 0)
	}, withReports("3,1,4,2.5", settings.Overload{}))
}

// Guards against a note that is overtaken by a later one and puts an older report in force, and against
// a report that is sent with each of the notes about an endpoint.
func TestAReportThatArrivesLateReplacesNoNewerOne(t *testing.T) {
	runCluster(t, 1, func(is *is.I, w *testCluster) {
		time.Sleep(maintenanceInterval / 2) // maintenance, which may be due at this moment, forgets the report: the endpoint is not listed
		p := w.instances["n0"].instance.placer
		endpoint := registry.Endpoint{ID: "e", Service: "svc"}
		now := time.Now()
		o, ok := p.scheduler.Offer(place.Requester{Instance: "n1"}, []registry.Endpoint{endpoint}, &balance.Request{Service: "svc", ID: "1", Engine: true, Tokens: 10}, now.Add(time.Minute), now)
		is.True(ok)
		note := func(running int64, age time.Duration) {
			p.applyNote(&peerpb.Note{Ticket: o.Ticket, Load: &peerpb.LoadReport{Running: running, Slots: 4, Slowdown: 1, Age: int64(age)}})
		}
		note(7, 20*time.Millisecond)
		note(3, 30*time.Millisecond)
		loads := p.instance.loads
		is.Equal(loads.State("e", now), loadreport.State{Report: loadreport.Report{Running: 7, Slots: 4, Slowdown: 1}, Known: true, Age: 20 * time.Millisecond})
		note(5, 10*time.Millisecond)
		is.Equal(loads.State("e", now).Running, 5)

		sent := make(sentReports)
		is.Equal(p.reportFor("h", "e", sent, now).GetAge(), int64(10*time.Millisecond))
		is.True(p.reportFor("h", "e", sent, now) == nil) // sent before
		is.True(p.reportFor("other", "e", sent, now) != nil)
		note(6, 0)
		is.Equal(p.reportFor("h", "e", sent, now).GetRunning(), int64(6))
		later := now.Add(2 * maxSentReportAge)
		is.True(p.reportFor("new", "e", sent, later) == nil) // too old
		sent.expire(later)
		is.Equal(len(sent), 0)
	}, withReports("", settings.Overload{LoadReports: true}))
}
