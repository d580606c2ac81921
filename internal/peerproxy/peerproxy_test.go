package peerproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// testInstance is an instance that serves requests of others with a handler.
type testInstance struct {
	acceptor *Acceptor
	refusal  error // nil to accept requests
	silent   bool  // it neither accepts nor refuses
	asked    atomic.Int64
	served   atomic.Int64
}

func (*testInstance) Handle(context.Context, *peerpb.Call, func(*peerpb.Answer) error) error {
	return errors.New("unexpected call")
}

func (i *testInstance) HandleStream(ctx context.Context, call *peerpb.Call, stream net.Conn) bool {
	i.asked.Add(1)
	if i.silent {
		<-ctx.Done()
		return true
	}
	if i.refusal != nil {
		_ = peer.Refuse(stream, i.refusal)
		return true
	}
	release, err := i.acceptor.Reserve()
	if err != nil {
		_ = peer.Refuse(stream, err)
		return true
	}
	defer release()
	_ = peer.Accept(stream)
	i.acceptor.Serve(stream, FromCall(call, time.Now()))
	return true
}

// fleet is a client and instances that it may send requests to.
type fleet struct {
	*Client
	mem       *netx.Mem
	instances []*testInstance
}

const roomForTest = 4

// withFleet runs f in virtual time with a number of instances that serve requests with a handler.
func withFleet(t *testing.T, instances int, handler http.HandlerFunc, f func(is *is.I, fleet *fleet)) {
	t.Helper()
	// yamux keeps timers in a sync.Pool, which two collections empty: they must not get into another bubble.
	runtime.GC()
	runtime.GC()
	virtual.Test(t, func(t *testing.T) {
		x := &fleet{mem: netx.NewMem(func(string, string) time.Duration { return time.Millisecond })}
		ctx, stop := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		var members []topology.Member
		for n := range instances {
			i := &testInstance{}
			i.acceptor = NewAcceptor(roomForTest, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				i.served.Add(1)
				handler(w, r)
			}))
			x.instances = append(x.instances, i)
			site := fmt.Sprint("i", n)
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + n)}), 8002)
			members = append(members, topology.Member{Name: site, Addr: addr, Hall: fmt.Sprint("h", n%2)})
			transport := peer.New(x.mem.Site(site), site, nil, nil)
			transport.SetHandler(i)
			l, err := x.mem.Site(site).Listen(addr)
			if err != nil {
				t.Fatal(err)
			}
			wait.Go(func() { _ = transport.Serve(ctx, l) })
			wait.Go(i.acceptor.Run)
		}
		peers := peer.New(x.mem.Site("client"), "client", nil, nil)
		x.Client = NewClient(ClientOptions{Peers: peers, Others: func() []topology.Member { return members }, Hall: "h0", Log: zap.NewNop()})
		f(is.New(t), x)
		peers.Close()
		for _, i := range x.instances {
			i.acceptor.Shutdown(ctx)
		}
		stop()
		wait.Wait()
		time.Sleep(10 * time.Second) // timers of yamux
	})
}

func request(id, body string) *Request {
	return &Request{Service: "svc", Deadline: time.Now().Add(10 * time.Second), Call: &backend.Call{
		Method: http.MethodPost, URI: "/a//b?c=%20d", Host: "shop.example", Header: http.Header{"Key": {"k1"}}, Body: payload.Of([]byte(body)), ID: id,
	}}
}

func TestARequestArrivesAsTheClientSentIt(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	withFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
		got, _ := io.ReadAll(r.Body)
		p := FromContext(r.Context())
		w.Header().Set("Seen", fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Get("Key"), " ", len(got), " ", p.Service, " ", p.Tried, " ", p.MayHaveRun, " ", p.LastEventID))
		w.WriteHeader(http.StatusTeapot)
	}, func(is *is.I, fleet *fleet) {
		r := request("1", body)
		r.Tried, r.MayHaveRun, r.LastEventID = []string{"e1"}, true, "7"
		resp, err := fleet.Send(context.Background(), r)
		is.NoErr(err)
		defer resp.Close()
		is.Equal(resp.StatusCode, http.StatusTeapot)
		is.Equal(resp.Header.Get("Seen"), "POST /a//b?c=%20d shop.example k1 1048576 svc [e1] true 7")
	})
}

func TestEventsArriveOneByOne(t *testing.T) {
	withFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		for range 5 {
			_, _ = io.WriteString(w, "data: x\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}, func(is *is.I, fleet *fleet) {
		resp, err := fleet.Send(context.Background(), request("1", ""))
		is.NoErr(err)
		defer resp.Close()
		sent := time.Now()
		buf := make([]byte, 100)
		for i := range 5 {
			n, err := resp.Body.Read(buf)
			is.NoErr(err)
			is.Equal(n, len("data: x\n\n"))
			is.True(time.Since(sent) <= time.Duration(i)*100*time.Millisecond+10*time.Millisecond)
		}
	})
}

// Guards against a response that breaks off and looks complete to the client.
func TestAResponseThatBreaksOffIsNotComplete(t *testing.T) {
	withFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, func(is *is.I, fleet *fleet) {
		resp, err := fleet.Send(context.Background(), request("1", ""))
		is.NoErr(err)
		defer resp.Close()
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
	})
}

// Guards against work that goes on at the other instance after the client has disconnected.
func TestAClientThatDisconnectsCancelsTheRequest(t *testing.T) {
	var cancelled chan time.Time
	withFleet(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		cancelled <- time.Now()
	}, func(is *is.I, fleet *fleet) {
		cancelled = make(chan time.Time, 1)
		ctx, cancel := context.WithCancel(context.Background())
		var left time.Time
		time.AfterFunc(time.Second, func() { left = time.Now(); cancel() })
		_, err := fleet.Send(ctx, request("1", "body"))
		is.True(err != nil)
		is.Equal(fault.As(err).Run, fault.MayHaveRun)
		is.True((<-cancelled).Sub(left) <= 10*time.Millisecond)
	})
}

// Guards against sending a request to an instance that may run it after another one was asked.
func TestNothingIsSentToAnInstanceThatDoesNotAccept(t *testing.T) {
	withFleet(t, 3, func(w http.ResponseWriter, _ *http.Request) {}, func(is *is.I, fleet *fleet) {
		fleet.instances[0].refusal = ErrNoPath
		fleet.instances[1].silent = true
		for i := range 10 {
			resp, err := fleet.Send(context.Background(), request(fmt.Sprint(i), ""))
			is.NoErr(err)
			is.Equal(resp.Instance, "i2")
			resp.Close()
		}
		is.Equal(fleet.instances[0].served.Load(), int64(0))
		is.Equal(fleet.instances[1].served.Load(), int64(0))
		is.Equal(fleet.instances[2].served.Load(), int64(10))
		is.True(fleet.instances[0].asked.Load() <= 2) // it is not asked for each request
	})
}

// Guards against keeping the client waiting where nobody can serve a request.
func TestARequestThatNobodyTakesIsGivenUpAtOnce(t *testing.T) {
	withFleet(t, 5, func(w http.ResponseWriter, _ *http.Request) {}, func(is *is.I, fleet *fleet) {
		for _, i := range fleet.instances {
			i.refusal = ErrNoPath
		}
		asked := time.Now()
		_, err := fleet.Send(context.Background(), request("1", ""))
		is.Equal(err, ErrNotTaken)
		is.True(time.Since(asked) <= 50*time.Millisecond)
	})
}

// Guards against memory for the requests of others that grows without a bound.
func TestAnInstanceServesABoundedNumberForOthers(t *testing.T) {
	var end chan struct{}
	withFleet(t, 1, func(http.ResponseWriter, *http.Request) { <-end }, func(is *is.I, fleet *fleet) {
		end = make(chan struct{})
		var wait sync.WaitGroup
		var refused atomic.Int64
		for i := range 3 * roomForTest {
			wait.Go(func() {
				resp, err := fleet.Send(context.Background(), request(fmt.Sprint(i), ""))
				if err != nil {
					refused.Add(1)
					return
				}
				resp.Close()
			})
		}
		time.Sleep(time.Second)
		is.Equal(fleet.instances[0].acceptor.Open(), roomForTest)
		is.Equal(refused.Load(), int64(2*roomForTest))
		close(end)
		wait.Wait()
	})
}

// Guards against cutting requests of others when an instance stops.
func TestAnInstanceThatStopsFinishesRequestsOfOthers(t *testing.T) {
	withFleet(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(w, "done")
	}, func(is *is.I, fleet *fleet) {
		var wait sync.WaitGroup
		for i := range 6 {
			wait.Go(func() {
				resp, err := fleet.Send(context.Background(), request(fmt.Sprint(i), ""))
				is.NoErr(err)
				defer resp.Close()
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "done")
			})
		}
		time.Sleep(time.Second)
		stopping := fleet.instances[0].acceptor
		stopping.Refuse()
		resp, err := fleet.Send(context.Background(), request("7", ""))
		is.NoErr(err)
		is.Equal(resp.Instance, "i1")
		resp.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopping.Shutdown(ctx)
		is.NoErr(ctx.Err())
		wait.Wait()
	})
}

func members(n, halls int) []topology.Member {
	out := make([]topology.Member, n)
	for i := range out {
		out[i] = topology.Member{Name: fmt.Sprint("i", i), Hall: fmt.Sprint("h", i%halls)}
	}
	return out
}

// Guards against a neighbour that gets the work of a whole hall.
func TestRequestsSpreadOverAllInstances(t *testing.T) {
	is := is.New(t)
	c, now := newChooser(), time.Unix(1000, 0)
	others := members(20, 4)
	count := make(map[string]int)
	for i := range 200 {
		m, ok := c.choose(others, "h1", "svc", fmt.Sprint(i), nil, now)
		is.True(ok)
		count[m.Name]++
	}
	for _, m := range others {
		is.Equal(count[m.Name], 10)
	}
	for _, m := range others { // all equal again: one of the own hall is next
		for range 10 {
			c.done(m.Name)
		}
	}
	m, _ := c.choose(others, "h1", "svc", "next", nil, now)
	is.Equal(m.Hall, "h1")
}

// Guards against a fleet that spends its time on refusals while nearly all of it is cut off.
func TestInstancesThatRefuseAreAskedLessAndLess(t *testing.T) {
	is := is.New(t)
	c, start := newChooser(), time.Unix(1000, 0)
	others := members(1, 1)
	asked := 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if m, ok := c.choose(others, "h0", "svc", "r", nil, now); ok {
			asked++
			c.done(m.Name)
			c.refused(m.Name, "svc", true, now)
		}
	}
	is.True(asked <= 8) // at 0, 0.5, 1.5, 3.5, 7.5 s and so on
	_, ok := c.choose(others, "h0", "other", "r", nil, start)
	is.True(ok) // it may serve another service
	c.expire(start.Add(time.Hour))
	is.Equal(len(c.avoided), 0)
}

// endlessPeer is an Opener of streams that send a beginning, and then the same bytes again until they are closed.
type endlessPeer struct {
	begin, again string
	written      chan int
}

// Open implements Opener.
func (p endlessPeer) Open(context.Context, netip.AddrPort, *peerpb.Call) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		sum, err := io.WriteString(far, p.begin)
		for err == nil {
			var n int
			n, err = io.WriteString(far, strings.Repeat(p.again, 1000))
			sum += n
		}
		p.written <- sum
	}()
	return near, nil
}

// Guards against the head of an answer without end that another instance sends, or passes on.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nA: b\r\n"} {
		is := is.New(t)
		again := "x"
		if strings.HasSuffix(begin, "\n") {
			again = "A: b\r\n"
		}
		p := endlessPeer{begin, again, make(chan int, 1)}
		c := NewClient(ClientOptions{Peers: p, Others: func() []topology.Member { return []topology.Member{{Name: "i0", Hall: "h0"}} }, Hall: "h0", Log: zap.NewNop()})
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := c.Send(ctx, request("1", "body"))
		is.NoErr(ctx.Err())
		cancel()
		is.Equal(fault.As(err).Run, fault.MayHaveRun)
		is.True(<-p.written < 1<<20)
	}
}

// Guards against callers who are refused for seconds although an instance that refused before takes requests again.
func TestAnInstanceThatTakesRequestsAgainIsFoundAtOnce(t *testing.T) {
	withFleet(t, 5, func(w http.ResponseWriter, _ *http.Request) {}, func(is *is.I, fleet *fleet) {
		for _, i := range fleet.instances {
			i.refusal = ErrNoPath
		}
		for i := range 100 { // long enough for the longest avoidance
			_, err := fleet.Send(context.Background(), request(fmt.Sprint(i), ""))
			is.Equal(err, ErrNotTaken)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.instances[3].refusal = nil
		resp, err := fleet.Send(context.Background(), request("served", ""))
		is.NoErr(err)
		is.Equal(resp.Instance, "i3")
		resp.Close()
	})
}

// Guards against refusals that cost more with each request while the whole fleet is cut off, and against waiting
// for instances that do not answer.
func TestRepeatedQuestionsAreBoundedAndGoToInstancesThatAnswer(t *testing.T) {
	is := is.New(t)
	c, start := newChooser(), time.Unix(1000, 0)
	others := members(300, 4)
	for i, m := range others {
		c.refused(m.Name, "svc", i > 0, start)
	}
	const seconds = 10
	count := make(map[string]int)
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if m, ok := c.chooseAvoided(others, "svc", nil, now); ok {
			count[m.Name]++
			c.done(m.Name)
			c.refused(m.Name, "svc", true, now)
		}
	}
	total := 0
	for _, n := range count {
		total += n
	}
	is.Equal(count[others[0].Name], 0)
	is.True(total <= maxRepeats*seconds+maxAsked)
	for _, m := range others[1:] {
		is.True(count[m.Name] >= total/len(others)) // in turn
	}
}

// Guards against requests that ask only instances that refused before, once these may be asked again, and do not get to
// the one that takes them.
func TestARequestAsksOneInstanceThatRefusedBeforeOnesThatTakeRequests(t *testing.T) {
	is := is.New(t)
	c, now := newChooser(), time.Unix(1000, 0)
	others := members(100, 4)
	for _, m := range others[1:] {
		c.refused(m.Name, "svc", true, now)
	}
	c.open[others[0].Name] = 50
	now = now.Add(minAvoid)
	first, ok := c.choose(others, "h0", "svc", "r", nil, now)
	is.True(ok)
	is.True(first.Name != others[0].Name) // it may have paths again
	second, ok := c.choose(others, "h0", "svc", "r", []string{first.Name}, now)
	is.True(ok)
	is.Equal(second.Name, others[0].Name)
}

// Guards against callers who are refused because an instance that accepts requests and declines them at once has the
// fewest open, so that all go there.
func TestARequestThatIsDeclinedAfterItWasAcceptedGoesToAnotherInstance(t *testing.T) {
	var declines atomic.Int64
	withFleet(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if declines.Add(1) == 1 {
			w.Header().Set(DeclinedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}, func(is *is.I, fleet *fleet) {
		for i := range 10 {
			resp, err := fleet.Send(context.Background(), request(fmt.Sprint(i), "body"))
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(string(body), "body")
			resp.Close()
		}
		is.Equal(fleet.instances[0].served.Load()+fleet.instances[1].served.Load(), int64(11))
		is.Equal(min(fleet.instances[0].served.Load(), fleet.instances[1].served.Load()), int64(1)) // the one that declined is not asked again soon
	})
}
