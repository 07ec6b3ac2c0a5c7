package worker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a worker until the test ends.
func start(t *testing.T, change func(*worker.Settings)) *worker.Server {
	t.Helper()
	settings := worker.DefaultSettings("w1")
	if change != nil {
		change(&settings)
	}
	s := worker.New(settings)
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
		<-s.Done()
	})
	return s
}

// client returns an HTTP client with connections of its own.
func client(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 5 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func request(t *testing.T, s *worker.Server, query string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address()+"/quote"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Monsoonfold-Request", "r1")
	return r
}

// TestResponses guards against faults that do not show at the caller, and
// against whole responses that fail the check.
func TestResponses(t *testing.T) {
	whole := worker.Response{Worker: "w1", Request: "r1", Check: "c1"}
	tests := []struct {
		name      string
		fault     worker.Fault
		query     string
		wantID    string
		wantState string
		wantBody  string // instead of a checkable body
		want      worker.Response
		wantCut   bool
		minimum   int
	}{
		{name: "plain", wantID: "r1", wantBody: "w1 /quote\n"},
		{name: "checkable", query: "?check=c1", wantID: "r1", want: whole},
		{
			name: "mismatched", query: "?check=c1", fault: worker.Fault{Mismatch: 1}, wantID: "r1-mismatch",
			want: worker.Response{Worker: "w1", Request: "r1-mismatch", Check: "mismatch"},
		},
		{name: "truncated", query: "?check=c1", fault: worker.Fault{Truncate: 1}, wantID: "r1", wantCut: true},
		{
			name: "oversized", query: "?check=c1", fault: worker.Fault{Oversize: 1, Fill: 1 << 20}, wantID: "r1",
			want: whole, minimum: 1 << 20,
		},
		{name: "draining", query: "?check=c1", fault: worker.Fault{Draining: true}, wantID: "r1", wantState: "draining", want: whole},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, nil)
			if err := s.Inject(test.fault); err != nil {
				t.Fatal(err)
			}
			resp, err := client(t).Do(request(t, s, test.query))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if cut := err != nil; cut != test.wantCut {
				t.Errorf("read body: got error %v, want cut %v", err, test.wantCut)
			}
			if id := resp.Header.Get("Monsoonfold-Request"); id != test.wantID {
				t.Errorf("echoed id: got %q, want %q", id, test.wantID)
			}
			if state := resp.Header.Get("Monsoonfold-State"); state != test.wantState {
				t.Errorf("state: got %q, want %q", state, test.wantState)
			}
			if test.wantBody != "" {
				if diff := cmp.Diff(test.wantBody, string(body)); diff != "" {
					t.Errorf("body (-want +got):\n%s", diff)
				}
				return
			}
			got, err := worker.ParseResponse(body)
			if errors.Is(err, worker.ErrIncomplete) != test.wantCut {
				t.Errorf("parse body: got error %v, want cut %v", err, test.wantCut)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if len(body) < test.minimum {
				t.Errorf("body: got %d bytes, want at least %d", len(body), test.minimum)
			}
		})
	}
}

// TestBodyChecksum guards against a change of a body that the check lets pass.
func TestBodyChecksum(t *testing.T) {
	s := start(t, nil)
	resp, err := client(t).Do(request(t, s, "?check=c1"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for i := range body {
		changed := bytes.Clone(body)
		changed[i] ^= 1
		if _, err := worker.ParseResponse(changed); err == nil {
			t.Errorf("change of byte %d passes", i)
		}
		if _, err := worker.ParseResponse(body[:i]); err == nil {
			t.Errorf("cut after %d bytes passes", i)
		}
	}
}

// TestSlots guards against a worker that runs more requests than it has slots,
// or that calls a refused request anything but not run.
func TestSlots(t *testing.T) {
	s := start(t, func(s *worker.Settings) { s.Slots = 2; s.Median = 200 * time.Millisecond })
	c := client(t)
	outcomes := make(chan string, 6)
	var calls sync.WaitGroup
	for range 6 {
		r := request(t, s, "?check=c1")
		r.Header.Set("Idempotency-Key", "k1")
		calls.Go(func() {
			resp, err := c.Do(r)
			if err != nil {
				outcomes <- err.Error()
				return
			}
			defer resp.Body.Close()
			outcomes <- resp.Status + resp.Header.Get("Monsoonfold-Outcome")
		})
	}
	calls.Wait()
	close(outcomes)
	counts := map[string]int{}
	for o := range outcomes {
		counts[o]++
	}
	if diff := cmp.Diff(map[string]int{"200 OK": 2, "503 Service Unavailablenot-run": 4}, counts); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	a := s.Audit()
	got := []int{a.Requests, a.Refused, a.Slots, a.Keys["k1"], a.Checks["c1"]}
	if diff := cmp.Diff([]int{2, 4, 3, 2, 2}, got); diff != "" {
		t.Errorf("requests, refused, slots wanted, runs by key, runs by check (-want +got):\n%s", diff)
	}
}

// TestConnections guards against a worker that lets callers open more
// connections than it has, or that misses the excess in its audit.
func TestConnections(t *testing.T) {
	s := start(t, func(s *worker.Settings) { s.Connections = 2 })
	for range 3 {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	deadline := time.Now().Add(5 * time.Second)
	for s.Audit().Closed == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if a := s.Audit(); a.Closed != 1 || a.Connections != 3 {
		t.Errorf("got %d closed, highest %d; want 1 closed, highest 3", a.Closed, a.Connections)
	}
}

// TestHang guards against a hang that also holds new connections, and against
// one that lets an existing connection answer.
func TestHang(t *testing.T) {
	tests := []struct {
		name    string
		fault   worker.Fault
		address func(*worker.Server) string
		path    string
		body    any
	}{
		{"upstream", worker.Fault{HangUpstream: true}, (*worker.Server).Address, "/quote", struct{}{}},
		{
			"control", worker.Fault{HangControl: true}, (*worker.Server).ControlAddress, "/v1/heartbeat",
			protocol.Heartbeat{Fence: protocol.Fence{Shard: "z.0", Epoch: 1}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, nil)
			body, err := json.Marshal(test.body)
			if err != nil {
				t.Fatal(err)
			}
			send := func(c *http.Client) error {
				resp, err := c.Post("http://"+test.address(s)+test.path, "application/json", bytes.NewReader(body))
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, resp.Body)
				return errors.Join(err, resp.Body.Close())
			}
			old, fresh := client(t), client(t)
			old.Timeout = 300 * time.Millisecond
			if err := send(old); err != nil {
				t.Fatal(err)
			}
			if err := s.Inject(test.fault); err != nil {
				t.Fatal(err)
			}
			if err := send(old); err == nil {
				t.Error("the existing connection answered")
			}
			if err := send(fresh); err != nil {
				t.Errorf("new connection: %v", err)
			}
		})
	}
}

// TestTasksOverHTTP guards against a break between the client of the protocol
// and the runner: fencing, a lost answer, and the audit of what ran.
func TestTasksOverHTTP(t *testing.T) {
	s := start(t, nil)
	c := protocol.NewClient(s.ControlAddress())
	t.Cleanup(c.Close)
	ctx := t.Context()
	fence := protocol.Fence{Shard: "z.0", Epoch: 2}
	report, err := c.Heartbeat(ctx, protocol.Heartbeat{Fence: fence})
	if err != nil {
		t.Fatal(err)
	}
	ref := protocol.Ref{Task: unit.TaskID{Job: "j"}, Attempt: 1}
	batch := protocol.OrderBatch{Fence: fence, Boot: report.Boot, Orders: []protocol.Order{{
		Ref: ref, Action: protocol.ActionStart, Class: "batch", Size: unit.Resources{Cores: 1000, Memory: 1},
		LeaseEnd: report.Clock.Add(15 * time.Second), NotAfter: report.Clock.Add(4 * time.Second),
	}}}
	if err := s.Inject(worker.Fault{Lose: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Orders(ctx, batch); !errors.Is(err, protocol.ErrUnknown) {
		t.Errorf("lost answer: got %v, want ErrUnknown", err)
	}
	if _, err := c.Orders(ctx, batch); err != nil {
		t.Errorf("repeated start: %v", err)
	}
	old := batch
	old.Fence.Epoch = 1
	var stale protocol.StaleEpoch
	if _, err := c.Orders(ctx, old); !errors.As(err, &stale) || !errors.Is(err, protocol.ErrStaleEpoch) || stale.Epoch != 2 {
		t.Errorf("stale epoch: got %v, want ErrStaleEpoch with epoch 2", err)
	}
	batch.Orders[0].Action = protocol.ActionCheckpoint
	reply, err := c.Orders(ctx, batch)
	if err != nil || reply.Results[0].Code != protocol.CodeOK || reply.Results[0].Checkpoint == "" {
		t.Errorf("checkpoint: got %v, %v", reply, err)
	}
	a := s.Audit()
	if len(a.Runs) != 1 || a.Runs[0].Phase != protocol.PhaseCheckpointed || a.Runs[0].End.Before(a.Runs[0].Start) ||
		a.Repeated != 1 || a.Stale != 1 || a.Committed.Cores != 17000 {
		t.Errorf("audit: got %+v", a)
	}
}

// TestRefusedCalls guards against calls without a valid fence or body, and
// faults out of range, being taken for valid ones.
func TestRefusedCalls(t *testing.T) {
	tests := []struct {
		name, path, body string
		want             int
	}{
		{"no fence", "/v1/orders", `{}`, http.StatusBadRequest},
		{"epoch 0", "/v1/heartbeat", `{"fence":{"shard":"z.0"}}`, http.StatusBadRequest},
		{"shard without bucket", "/v1/heartbeat", `{"fence":{"shard":"z","epoch":1}}`, http.StatusBadRequest},
		{"cut body", "/v1/heartbeat", `{"fence":`, http.StatusBadRequest},
		{"body too large", "/v1/heartbeat", `{"fence":{"shard":"` + string(bytes.Repeat([]byte("x"), 5<<20)) + `"}}`, http.StatusRequestEntityTooLarge},
		{"part above 1", "/fault", `{"truncate":1.5}`, http.StatusBadRequest},
		{"negative delay", "/fault", `{"delay":"-1s"}`, http.StatusBadRequest},
		{"valid fault", "/fault", `{"delay":"1ms"}`, http.StatusOK},
		{"valid heartbeat", "/v1/heartbeat", `{"fence":{"shard":"z.0","epoch":1}}`, http.StatusOK},
	}
	s := start(t, nil)
	c := client(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp, err := c.Post("http://"+s.ControlAddress()+test.path, "application/json", bytes.NewReader([]byte(test.body)))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != test.want {
				t.Errorf("status: got %d, want %d", resp.StatusCode, test.want)
			}
		})
	}
}
