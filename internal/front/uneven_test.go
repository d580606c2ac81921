package front

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/settings"
)

// unevenEndpoints makes endpoints process prompts one after the other, at different speeds. Each is
// slower for a part of each cycle and reports that.
type unevenEndpoints struct {
	mu     sync.Mutex
	idleAt map[string]time.Time // guarded by mu
}

const (
	unevenTokensPerMs = 40.8
	unevenSlowdown    = 2.5
	disturbanceTime   = 600 * time.Millisecond
	disturbanceCycle  = 4 * time.Second // the disturbance takes 15% of it
	unevenStep        = time.Millisecond
)

// speed returns the speed of an endpoint.
func (u *unevenEndpoints) speed(endpoint string) float64 {
	return []float64{0.6, 1, 1.6}[u.number(endpoint)%3]
}

func (u *unevenEndpoints) number(endpoint string) int {
	n, _ := strconv.Atoi(endpoint[1:])
	return n
}

// slowdownAt returns the slowdown of an endpoint at a moment.
func (u *unevenEndpoints) slowdownAt(endpoint string, now time.Time) float64 {
	phase := time.Duration(u.number(endpoint)*7) * disturbanceCycle / 9
	if (time.Duration(now.UnixNano())+phase)%disturbanceCycle < disturbanceTime {
		return unevenSlowdown
	}
	return 1
}

// serve processes the prompt of a request and answers with a stream of one event, and with the load.
func (u *unevenEndpoints) serve(endpoint string, r *http.Request, rw http.ResponseWriter) {
	tokens, _ := strconv.Atoi(r.Header.Get("Tokens"))
	u.mu.Lock()
	at := u.idleAt[endpoint]
	if now := time.Now(); at.Before(now) {
		at = now
	}
	for left := float64(tokens); left > 0; at = at.Add(unevenStep) {
		left -= unevenTokensPerMs * u.speed(endpoint) / u.slowdownAt(endpoint, at) * unevenStep.Seconds() * 1000
	}
	u.idleAt[endpoint] = at
	u.mu.Unlock()
	time.Sleep(time.Until(at))
	rw.Header().Set("Load", fmt.Sprintf("1,0,4,%g", u.slowdownAt(endpoint, time.Now())))
	rw.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
}

// waits sends requests to random instances for a time and returns the sorted times that they took,
// without those of the first quarter.
func (w *testCluster) waits(is *is.I, interval, during time.Duration) []time.Duration {
	const least, most = 700, 4000 // prompt tokens
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var wait sync.WaitGroup
	var out []time.Duration
	start := time.Now()
	for i := 0; time.Since(start) < during; i++ {
		instance, tokens := fmt.Sprint("n", random.IntN(len(w.instances))), least+random.IntN(most-least)
		wait.Go(func() {
			begun := time.Now()
			status := w.askTokens(instance, fmt.Sprint("r", i), tokens)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(status, 200)
			if begun.Sub(start) > during/4 {
				out = append(out, time.Since(begun))
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(interval)))
	}
	wait.Wait()
	slices.Sort(out)
	return out
}

// askTokens sends a request with a number of prompt tokens to an instance and returns the status.
func (w *testCluster) askTokens(instance, id string, tokens int) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+addrOf(hostOf(instance), frontPort).String()+"/safe/a", http.NoBody)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = testHost
	r.Header = http.Header{"Id": {id}, "Key": {"k1"}, "Deadline": {"2500"}, "Tokens": {strconv.Itoa(tokens)}}
	resp, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against reports that are lost on the way to the hubs, or that make their choice among uneven
// endpoints worse than response times alone.
func TestRequestsWaitLessWithLoadReports(t *testing.T) {
	const endpoints, interval, during = 9, 8600 * time.Microsecond, 24 * time.Second // 0.85 of the capacity
	play := func(s settings.Overload) (waits []time.Duration) {
		runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
			w.configureEnginesFor(5, policy.Streaming)
			time.Sleep(4 * time.Second)
			waits = w.waits(is, interval, during)
		}, withReports("", s), func(w *testCluster) {
			w.endpoints, w.workTime, w.uneven = endpoints, 0, &unevenEndpoints{idleAt: make(map[string]time.Time)}
		})
		return waits
	}
	without, with := play(settings.Overload{}), play(settings.Overload{LoadReports: true})
	at := func(sorted []time.Duration, q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1))] }
	t.Logf("%d requests: median %v without, %v with reports; 99th percentile %v and %v", len(with), at(without, 0.5), at(with, 0.5), at(without, 0.99), at(with, 0.99))
	is := is.New(t)
	is.True(at(with, 0.5) < at(without, 0.5))
	is.True(at(with, 0.99) < at(without, 0.99))
}
