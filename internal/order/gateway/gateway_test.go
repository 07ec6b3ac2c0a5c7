package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// service implements registry.Service for the fakes that embed it.
type service struct {
	name registry.Name
	done chan struct{}
}

func newService(name registry.Name) service                     { return service{name, make(chan struct{})} }
func (s service) Name() registry.Name                           { return s.name }
func (s service) Start(context.Context, *registry.Kernel) error { return nil }
func (s service) Stop(context.Context) error                    { close(s.done); return nil }
func (s service) Done() <-chan struct{}                         { return s.done }
func (s service) Changed() <-chan struct{}                      { return nil }

// fakeConfig serves a document with an idempotent and a non-idempotent class.
type fakeConfig struct {
	service
	unconfirmed atomic.Bool
}

func (c *fakeConfig) Current() spec.Revision {
	target := spec.Target{Percentile: 99, Bound: unit.Duration(30 * time.Millisecond)}
	return spec.Revision{Number: 1, Document: spec.Document{
		Zones: []spec.Zone{{Name: "z1"}},
		Classes: []spec.Class{
			{Name: "quote", Kind: spec.KindRequest, Service: "s", Target: target, Routes: []spec.Route{{Prefix: "/"}}},
			{Name: "charge", Kind: spec.KindRequest, Service: "s", Target: target, Routes: []spec.Route{{Prefix: "/charge", Method: "POST", Once: true}}},
		},
	}}
}

func (c *fakeConfig) ServeUntil() time.Time {
	if c.unconfirmed.Load() {
		return time.Now().Add(-time.Second)
	}
	return time.Now().Add(10 * time.Second)
}

type fakeMembership struct {
	service
	self unit.EntryID
}

func (m fakeMembership) Self() unit.EntryID { return m.self }
func (m fakeMembership) Viewed() (roster.View, time.Time) {
	return roster.NewView([]roster.Entry{{ID: m.self}}, 1), time.Now()
}
func (m fakeMembership) ValidUntil() time.Time { return time.Now().Add(5 * time.Second) }

// fakePeers never acknowledges a view.
type fakePeers struct{ service }

func (fakePeers) SetSettled(func() roster.SettledView)             {}
func (fakePeers) OnSettled(func(unit.EntryID, roster.SettledView)) {}

type fakeFleet struct {
	service
	mu        sync.Mutex
	instances []store.Instance
	changed   chan struct{}
}

func (f *fakeFleet) Snapshot() inventory.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return inventory.NewSnapshot(store.Listing{Instances: f.instances, Revision: 1})
}

func (f *fakeFleet) Changed() <-chan struct{} { return f.changed }

// fakePolicy records the signals that it receives.
type fakePolicy struct {
	service
	mu  sync.Mutex
	got []message.Signal
}

func (p *fakePolicy) Send(_ context.Context, signals []message.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got = append(p.got, signals...)
}

func (p *fakePolicy) signals() []message.Signal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got
}

// fakeStore stores the records of claims.
type fakeStore struct {
	service
	mu             sync.Mutex
	records        map[store.Key]store.Record
	revision       unit.Revision
	down           atomic.Bool
	loseNextAnswer atomic.Bool // the next write takes effect, but its answer is lost
	beforePut      func()      // called before each write if not nil
}

func (f *fakeStore) Get(_ context.Context, key store.Key) (store.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[key]
	switch {
	case f.down.Load():
		return r, store.ErrUnavailable
	case !ok:
		return r, store.ErrNotFound
	}
	return r, nil
}

func (f *fakeStore) Put(_ context.Context, key store.Key, value []byte, cond store.Condition, _ store.LeaseID) (unit.Revision, error) {
	if f.beforePut != nil {
		f.beforePut()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	want := store.IfAbsent()
	if r, ok := f.records[key]; ok {
		want = store.IfRevision(r.Revision)
	}
	switch {
	case f.down.Load():
		return 0, store.ErrUnavailable
	case cond != want:
		return 0, store.ErrConflict
	}
	f.revision++
	f.records[key] = store.Record{Key: key, Value: value, Revision: f.revision}
	if f.loseNextAnswer.Swap(false) {
		return 0, store.ErrUnknown
	}
	return f.revision, nil
}

func (f *fakeStore) Delete(context.Context, store.Key, store.Condition) error { return nil }

// storeClient is a fakeStore as a service of one kernel, so that two can share it.
type storeClient struct {
	*fakeStore
	done chan struct{}
}

func (c storeClient) Stop(context.Context) error { close(c.done); return nil }
func (c storeClient) Done() <-chan struct{}      { return c.done }

// fixture is a gateway with fakes of the services that it uses.
type fixture struct {
	gateway *gateway.Gateway
	config  *fakeConfig
	fleet   *fakeFleet
	store   *fakeStore
	journal *journal.Service
	policy  *fakePolicy
}

// startGateway starts a gateway in front of the workers, with the given store unless
// it is nil.
func startGateway(t testing.TB, records *fakeStore, workers ...string) *fixture {
	t.Helper()
	return startGatewayWith(t, records, newTestGateway(), workers...)
}

// startGatewayWith is startGateway with another gateway.
func startGatewayWith(t testing.TB, records *fakeStore, g *gateway.Gateway, workers ...string) *fixture {
	t.Helper()
	s := &fixture{
		config:  &fakeConfig{service: newService("config")},
		fleet:   &fakeFleet{service: newService("fleet"), changed: make(chan struct{})},
		store:   &fakeStore{service: newService(store.ServiceName), records: map[store.Key]store.Record{}},
		journal: journal.NewService(time.Now()),
		policy:  &fakePolicy{service: newService("policy")},
	}
	if records != nil {
		s.store = records
	}
	for i, address := range workers {
		s.fleet.instances = append(s.fleet.instances, store.Instance{
			ID: unit.InstanceID(fmt.Sprint("w", i)), Zone: "z1", Service: "s", State: store.InstanceLive,
			Upstream: address, Slots: 8, Connections: 64,
		})
	}
	s.gateway = g
	startServices(t, s.config, s.fleet, fakeMembership{newService("membership"), "e1"}, fakePeers{newService("peers")}, s.journal, burn.NewService(),
		storeClient{s.store, make(chan struct{})}, claim.New(), s.policy, s.gateway)
	return s
}

// drainDelay is the time in which the load balancer of the tests notices a drain.
const drainDelay = 300 * time.Millisecond

// newTestGateway returns a gateway that holds its slots at once, as no other entry had
// them before.
func newTestGateway() *gateway.Gateway {
	timing := slot.DefaultTiming()
	timing.GainDelay = 0
	return gateway.New(logr.Discard(), gateway.Settings{Address: "127.0.0.1:0", DrainDelay: drainDelay, SlotTiming: timing})
}

// startServices runs the services in a new kernel until the test ends.
func startServices(t testing.TB, services ...registry.Service) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	k := registry.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// Shutdown waits 5 s for connections that were opened and never used.
		client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := k.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
}

// fakeWorker is a worker that answers each request with raw bytes.
type fakeWorker struct {
	listener net.Listener
	requests atomic.Int64
}

// okResponse is a complete response with a format verb for the request id.
const okResponse = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nContent-Length: 5\r\n\r\nhello"

// startWorker starts a worker. respond returns the response to the request with the
// number n, counted from 1. After an empty response the worker never answers, and
// after one that ends with "CUT" it closes the connection.
func startWorker(t testing.TB, respond func(run int64, r *http.Request) string) *fakeWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(n, respond)
		}
	}()
	return w
}

func (w *fakeWorker) serve(n net.Conn, respond func(int64, *http.Request) string) {
	defer n.Close()
	in := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text, cut := strings.CutSuffix(respond(w.requests.Add(1), r), "CUT")
		if strings.Contains(text, "%s") {
			text = fmt.Sprintf(text, r.Header.Get("Monsoonfold-Request"))
		}
		_, _ = io.WriteString(n, text)
		if cut {
			return
		}
	}
}

func (w *fakeWorker) address() string { return w.listener.Addr().String() }

func always(response string) func(int64, *http.Request) string {
	return func(int64, *http.Request) string { return response }
}

// call is a request of a caller. Its result is "outcome status body", with "aborted"
// in place of a truncated body.
type call struct {
	method  string
	path    string
	headers map[string]string
	body    string
	timeout time.Duration // the deadline, relative to the call; 0 for none
}

func (c call) do(g *gateway.Gateway) string {
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+g.Address()+c.path, strings.NewReader(c.body))
	if err != nil {
		return err.Error()
	}
	for k, v := range c.headers {
		r.Header.Set(k, v)
	}
	if c.timeout != 0 {
		r.Header.Set("Monsoonfold-Deadline", fmt.Sprint(time.Now().Add(c.timeout).UnixMilli()))
	}
	resp, err := client.Do(r)
	if err != nil {
		return "no response"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprint(resp.Header.Get("Monsoonfold-Outcome"), " ", resp.StatusCode)
	switch {
	case err != nil:
		return text + " aborted"
	case resp.StatusCode == http.StatusOK:
		text += " " + string(body)
	}
	return text
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second}

func charge(key string) call {
	return call{path: "/charge", headers: map[string]string{"Idempotency-Key": key}}
}

// TestOutcome guards against a wrong outcome, and against a non-idempotent request
// that runs twice.
func TestOutcome(t *testing.T) {
	const (
		busy     = "HTTP/1.1 503 Busy\r\nMonsoonfold-Request: %s\r\nMonsoonfold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
		mismatch = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: other\r\nContent-Length: 5\r\n\r\nhello"
		short    = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nContent-Length: 50000\r\n\r\nhello"
	)
	small := strings.Replace(short, "50000", "50", 1)
	long := short + strings.Repeat("x", 20_000)
	first := func(response string) func(int64, *http.Request) string {
		return func(run int64, _ *http.Request) string {
			if run == 1 {
				return response
			}
			return okResponse
		}
	}
	tests := []struct {
		name    string
		call    call
		respond func(int64, *http.Request) string // nil: no worker
		set     func(*fixture)
		want    string
		runs    int64
		fewer   bool // the retry budget counts by clock second, so it may allow fewer requests
	}{
		{name: "complete", call: call{path: "/quote"}, respond: always(okResponse), want: "done 200 hello", runs: 1},
		{name: "error of the service", call: call{path: "/quote"}, respond: always(strings.Replace(okResponse, "200 OK", "500 Oops", 1)), want: "done 500", runs: 1},
		{name: "no worker", call: call{path: "/quote"}, want: "not-run 503"},
		{name: "worker refuses connections", call: call{path: "/quote"}, respond: always(okResponse), set: func(s *fixture) { s.replaceWorker("127.0.0.1:1") }, want: "not-run 503"},
		{name: "worker killed in the middle of a response", call: call{path: "/quote"}, respond: always(long + "CUT"), want: "done 200 aborted", runs: 1},
		{name: "small response truncated, retried", call: call{path: "/quote"}, respond: first(small + "CUT"), want: "done 200 hello", runs: 2},
		{name: "small response truncated, once", call: charge("k"), respond: first(small + "CUT"), want: "unknown 502", runs: 1},
		{name: "chunked response truncated", call: call{path: "/quote"}, respond: first("HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nCUT"), want: "no response", runs: 1},
		{name: "worker killed early in the response", call: call{path: "/quote"}, respond: always(short + "CUT"), want: "no response", runs: 1},
		{name: "mismatched id, retried", call: call{path: "/quote"}, respond: first(mismatch), want: "done 200 hello", runs: 2},
		{name: "mismatched id, once", call: charge("k"), respond: first(mismatch), want: "unknown 502", runs: 1},
		{name: "connection hung, retried", call: call{path: "/quote"}, respond: first(""), want: "done 200 hello", runs: 2},
		{name: "connection hung, once", call: call{path: "/charge", headers: charge("k").headers, timeout: 300 * time.Millisecond}, respond: always(""), want: "unknown 502", runs: 1},
		{name: "oversized response", call: charge("k"), respond: always(strings.Replace(okResponse, "5", "99999999999", 1)), want: "unknown 502", runs: 1},
		{name: "worker busy, once", call: charge("k"), respond: first(busy), want: "done 200 hello", runs: 2},
		{name: "worker always busy", call: call{path: "/charge", headers: charge("k").headers, timeout: time.Second}, respond: always(busy), want: "not-run 503", runs: 3, fewer: true},
		{name: "once without a key", call: call{path: "/charge"}, respond: always(okResponse), want: "not-run 400"},
		{name: "once by header, without a key", call: call{path: "/quote", headers: map[string]string{"Monsoonfold-Once": "true"}}, respond: always(okResponse), want: "not-run 400"},
		{name: "once by route, other method", call: call{method: "GET", path: "/charge"}, respond: always(okResponse), want: "done 200 hello", runs: 1},
		{name: "once, store down", call: charge("k"), respond: always(okResponse), set: func(s *fixture) { s.store.down.Store(true) }, want: "not-run 503"},
		{name: "once, store response lost", call: charge("k"), respond: always(okResponse), set: func(s *fixture) { s.store.loseNextAnswer.Store(true) }, want: "done 200 hello", runs: 1},
		{name: "deadline passed", call: call{path: "/quote", timeout: -time.Second}, respond: always(okResponse), want: "not-run 503"},
		{name: "deadline malformed", call: call{path: "/quote", headers: map[string]string{"Monsoonfold-Deadline": "soon"}}, respond: always(okResponse), want: "not-run 400"},
		{name: "request too large", call: call{path: "/quote", body: strings.Repeat("x", 1<<20+1)}, respond: always(okResponse), want: "not-run 413"},
		{name: "no confirmation", call: call{path: "/quote"}, respond: always(okResponse), set: func(s *fixture) { s.config.unconfirmed.Store(true) }, want: "not-run 503"},
		{name: "unknown own path", call: call{path: "/.monsoonfold/other"}, respond: always(okResponse), want: " 404"},
		{name: "ready", call: call{method: "GET", path: "/.monsoonfold/ready"}, want: " 200 "},
		{name: "not ready without confirmation", call: call{method: "GET", path: "/.monsoonfold/ready"}, set: func(s *fixture) { s.config.unconfirmed.Store(true) }, want: " 503"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var workers []string
			w := &fakeWorker{}
			if tt.respond != nil {
				w = startWorker(t, tt.respond)
				workers = []string{w.address()}
			}
			s := startGateway(t, nil, workers...)
			if tt.set != nil {
				tt.set(s)
			}
			if diff := cmp.Diff(tt.want, tt.call.do(s.gateway)); diff != "" {
				t.Errorf("result (-want +got):\n%s\n%s", diff, s.gateway.Counters())
			}
			if runs := w.requests.Load(); runs > tt.runs || runs < tt.runs && !tt.fewer {
				t.Errorf("the worker got %d requests, want %d", runs, tt.runs)
			}
		})
	}
}

// replaceWorker changes the address of the workers and waits until the gateway uses
// it.
func (s *fixture) replaceWorker(address string) {
	s.fleet.set(func(i *store.Instance) { i.Upstream = address })
}

func (f *fakeFleet) set(change func(*store.Instance)) {
	f.mu.Lock()
	instances := append([]store.Instance(nil), f.instances...)
	for i := range instances {
		change(&instances[i])
	}
	f.instances = instances
	f.mu.Unlock()
	// The second send is received only after the refresh that the first one caused.
	f.changed <- struct{}{}
	f.changed <- struct{}{}
}

// TestDrainingWorker guards against requests that are sent to a worker which is
// draining according to the instance list, its zone or its own responses.
func TestDrainingWorker(t *testing.T) {
	draining := strings.Replace(okResponse, "\r\n\r\n", "\r\nMonsoonfold-State: draining\r\n\r\n", 1)
	tests := []struct {
		name    string
		respond string
		set     func(*store.Instance)
	}{
		{"by its own response", draining, nil},
		{"by the instance list", okResponse, func(i *store.Instance) { i.State = store.InstanceLeaving }},
		{"by its zone", okResponse, func(i *store.Instance) { i.Zone = "out" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := startWorker(t, always(tt.respond))
			s := startGateway(t, nil, w.address())
			got := []string{call{path: "/quote"}.do(s.gateway)}
			if tt.set != nil {
				s.fleet.set(tt.set)
			}
			got = append(got, call{path: "/quote"}.do(s.gateway))
			if diff := cmp.Diff([]string{"done 200 hello", "not-run 503"}, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNonIdempotent guards against a non-idempotent request that runs twice when its
// caller sends it through two gateways, at the same time or one after the other.
func TestNonIdempotent(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, func(int64, *http.Request) string {
		<-release
		return okResponse
	})
	one := startGateway(t, nil, w.address())
	other := startGateway(t, one.store, w.address()) // the same store
	results := make(chan string, 20)
	for i := range cap(results) {
		g := []*gateway.Gateway{one.gateway, other.gateway}[i%2]
		go func() { results <- charge("k").do(g) }()
	}
	counts := map[string]int{}
	for i := range cap(results) {
		if i == cap(results)-1 {
			close(release) // all others are answered while the first one runs
		}
		counts[<-results]++
	}
	counts[charge("k").do(other.gateway)]++
	if diff := cmp.Diff(map[string]int{"done 200 hello": 1, "unknown 409": 20}, counts); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if n := w.requests.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestClaimVoided guards against an idempotency key that cannot be used again although
// its request did not run.
func TestClaimVoided(t *testing.T) {
	w := startWorker(t, always(okResponse))
	f := startGateway(t, nil, "127.0.0.1:1")
	c := charge("k")
	c.timeout = 500 * time.Millisecond
	got := []string{c.do(f.gateway)}
	f.replaceWorker(w.address())
	time.Sleep(time.Second) // the worker is quarantined for this long after a refused connection
	got = append(got, charge("k").do(f.gateway))
	if diff := cmp.Diff([]string{"not-run 503", "done 200 hello"}, got); diff != "" {
		t.Errorf("results (-want +got):\n%s\n%s", diff, f.gateway.Counters())
	}
}

// TestDrain guards against a planned stop that drops a request. The callers keep
// sending for half the drain delay after the entry is not ready any more, as those
// behind a load balancer do.
func TestDrain(t *testing.T) {
	w := startWorker(t, func(int64, *http.Request) string {
		time.Sleep(20 * time.Millisecond)
		return okResponse
	})
	s := startGateway(t, nil, w.address())
	var callers sync.WaitGroup
	var during atomic.Int64
	drained := make(chan struct{})
	for range 8 {
		callers.Go(func() {
			var seen time.Time
			for seen.IsZero() || time.Since(seen) < drainDelay/2 {
				if got := (call{path: "/quote"}).do(s.gateway); got != "done 200 hello" {
					t.Errorf("got %s", got)
				}
				if !s.gateway.Ready() && seen.IsZero() {
					seen = time.Now()
				}
				if !seen.IsZero() {
					during.Add(1)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	go func() {
		defer close(drained)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		s.gateway.Drain(ctx)
	}()
	callers.Wait()
	select {
	case <-drained:
		t.Error("drained before the load balancer could notice")
	default:
	}
	if during.Load() <= 8 {
		t.Errorf("%d requests during the drain delay", during.Load())
	}
	<-drained
	if got := (call{path: "/quote"}).do(s.gateway); got != "no response" {
		t.Errorf("after the drain: %s", got)
	}
}

// TestDrainInFlight guards against a planned stop that aborts a request which takes
// longer than the drain delay.
func TestDrainInFlight(t *testing.T) {
	tests := []struct {
		name string
		call call
	}{
		{"idempotent", call{path: "/quote"}},
		{"once", charge("k")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reached, release := make(chan struct{}), make(chan struct{})
			w := startWorker(t, func(int64, *http.Request) string {
				close(reached)
				<-release
				return okResponse
			})
			s := startGateway(t, nil, w.address())
			result, drained := make(chan string, 1), make(chan struct{})
			go func() { result <- tt.call.do(s.gateway) }()
			<-reached
			go func() {
				defer close(drained)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				s.gateway.Drain(ctx)
			}()
			select {
			case <-drained:
				t.Error("drained with a request in flight")
			case <-time.After(2 * drainDelay):
			}
			close(release)
			if got := <-result; got != "done 200 hello" {
				t.Errorf("got %s", got)
			}
			<-drained
		})
	}
}

// TestForwardToListedWorker guards against requests that don't get from a caller to a
// worker that the platform lists.
func TestForwardToListedWorker(t *testing.T) {
	w := startWorker(t, always(okResponse))
	p := platform.NewServer("127.0.0.1:0", []store.Instance{{
		ID: "w1", Zone: "z1", Service: "s", State: store.InstanceLive,
		Upstream: w.address(), Slots: 8, Connections: 64,
	}})
	startServices(t, p)
	g := newTestGateway()
	startServices(t, store.NewService(p.Address()), listing.New(logr.Discard()), &fakeConfig{service: newService("config")},
		fakeMembership{newService("membership"), "e1"}, fakePeers{newService("peers")}, journal.NewService(time.Now()), burn.NewService(), claim.New(),
		&fakePolicy{service: newService("policy")}, g)
	got := []string{call{path: "/quote"}.do(g), charge("k").do(g), charge("k").do(g)}
	if diff := cmp.Diff([]string{"done 200 hello", "done 200 hello", "unknown 409"}, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

// TestSignals guards against a worker whose signals are not sent, and against signals
// that omit late requests.
func TestSignals(t *testing.T) {
	w := startWorker(t, func(run int64, _ *http.Request) string {
		if run == 2 {
			time.Sleep(60 * time.Millisecond) // exceeds the latency target of the class
		}
		return okResponse
	})
	s := startGateway(t, nil, w.address())
	for range 3 {
		call{path: "/quote"}.do(s.gateway)
	}
	var requests, late uint32
	for deadline := time.Now().Add(10 * time.Second); requests < 3 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		requests, late = 0, 0
		for _, g := range s.policy.signals() {
			if g.Worker != "w0" || g.Class != "quote" || g.Span <= 0 || g.Median <= 0 || g.Busy <= 0 {
				t.Fatalf("signal %+v", g)
			}
			requests, late = requests+g.Requests, late+g.Late
		}
	}
	if requests != 3 || late < 1 {
		t.Errorf("%d requests, %d late", requests, late)
	}
}

// BenchmarkForward measures one forwarded request over loopback, with caller, entry and
// worker in one process.
func BenchmarkForward(b *testing.B) {
	w := startWorker(b, always(okResponse))
	s := startGateway(b, nil, w.address())
	c := call{path: "/quote", body: "body"}
	b.ReportAllocs()
	for b.Loop() {
		if got := c.do(s.gateway); got != "done 200 hello" {
			b.Fatal(got)
		}
	}
}
