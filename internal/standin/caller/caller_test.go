package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// body fetches a response that a worker made for the check id.
func body(t *testing.T, check string) []byte {
	t.Helper()
	s := worker.NewServer("w1", "127.0.0.1:0")
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + s.Address() + "/quote?check=" + check)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-s.Done()
	return data
}

// TestClassifyResponse guards against a wrong response that counts as done.
func TestClassifyResponse(t *testing.T) {
	whole := body(t, "c1")
	tests := []struct {
		name       string
		status     int
		header     string
		body       []byte
		want       Outcome
		wantWorker unit.InstanceID
	}{
		{"done", 200, "done", whole, OutcomeDone, "w1"},
		{"done but cut", 200, "done", whole[:len(whole)-1], OutcomeCut, ""},
		{"done but empty", 200, "done", nil, OutcomeCut, ""},
		{"done but another's", 200, "done", body(t, "c2"), OutcomeForeign, ""},
		{"not run", 503, "not-run", []byte("no upstream"), OutcomeNotRun, ""},
		{"unknown", 502, "unknown", nil, OutcomeUnknown, ""},
		{"no header", 200, "", whole, OutcomeMissing, "w1"},
		{"no header and another's", 200, "", body(t, "c2"), OutcomeForeign, ""},
		{"error page without a header", 502, "", []byte("bad gateway"), OutcomeMissing, ""},
		{"unknown header", 200, "perhaps", whole, OutcomeMissing, "w1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, by := classifyResponse(test.status, test.header, test.body, "c1")
			if got != test.want || by != test.wantWorker {
				t.Errorf("got %q by %q, want %q by %q", got, by, test.want, test.wantWorker)
			}
		})
	}
}

// TestPlan guards against a load that is not determined by its seed, exceeds its
// bounds, or repeats a key or check id.
func TestPlan(t *testing.T) {
	settings := Settings{
		Entries: []string{"127.0.0.1:1", "127.0.0.1:2"},
		Kinds:   []Kind{{Method: "GET", Path: "/q", Weight: 3}, {Method: "POST", Path: "/c", Weight: 1, Once: true}},
		Rate:    1000, Count: 4000, Length: time.Minute, Timeout: time.Second, Repeat: 0.5, Seed: 7,
	}
	short := settings
	short.Length = 2 * time.Second
	tests := []struct {
		name     string
		settings Settings
		min, max int // requests; the bounds are 6 sigma of the Poisson process
	}{
		{"bounded by count", settings, 4000, 4000},
		{"bounded by length", short, 2000 - 269, 2000 + 269},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, again := newPlan(test.settings), newPlan(test.settings)
			seen := map[string]bool{}
			var last time.Duration
			count, once, repeats := 0, 0, 0
			for a, ok := p.next(); ok; a, ok = p.next() {
				if same, _ := again.next(); a != same {
					t.Fatalf("same seed: got %+v, then %+v", a, same)
				}
				second := p.repeatOf(a)
				for _, id := range []string{a.check, second.check, a.key} {
					if id != "" && seen[id] {
						t.Fatalf("id %s drawn twice", id)
					}
					seen[id] = true
				}
				if a.due < last || a.due > test.settings.Length || second.key != a.key || second.entry == a.entry {
					t.Fatalf("arrival %+v after %v, repeated as %+v", a, last, second)
				}
				last = a.due
				count++
				if a.key != "" {
					once++
				}
				if a.repeat {
					repeats++
				}
			}
			if count < test.min || count > test.max {
				t.Errorf("requests: got %d, want %d to %d", count, test.min, test.max)
			}
			if once == 0 || once > count/2 || repeats == 0 || repeats > once {
				t.Errorf("got %d of %d non-idempotent and %d repeated", once, count, repeats)
			}
		})
	}
}

// TestRun guards against latencies that hide a stall of the entry, and against
// repeats that do not reach the other entry with the same key.
func TestRun(t *testing.T) {
	upstream := worker.NewServer("w1", "127.0.0.1:0")
	if err := upstream.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := upstream.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		<-upstream.Done()
	}()
	forward := &http.Client{Transport: &http.Transport{}}
	defer forward.CloseIdleConnections()
	var mu sync.Mutex // held during the stall
	keys := map[string][]int{}
	entry := func(number int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if key := r.Header.Get("Idempotency-Key"); key != "" {
				keys[key] = append(keys[key], number)
			}
			resp, err := forward.Get("http://" + upstream.Address() + r.RequestURI)
			if err != nil {
				w.Header().Set("Monsoonfold-Outcome", "unknown")
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer resp.Body.Close()
			w.Header().Set("Monsoonfold-Outcome", "done")
			_, _ = io.Copy(w, resp.Body)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	settings := Settings{
		Entries: []string{entry(0), entry(1)},
		Kinds:   []Kind{{Method: "GET", Path: "/q", Weight: 1}, {Method: "POST", Path: "/c", Weight: 1, Once: true}},
		Rate:    200, Count: 100, Length: 10 * time.Second, Timeout: 10 * time.Second, Repeat: 1, Seed: 1,
	}
	const stall = 700 * time.Millisecond
	mu.Lock()
	time.AfterFunc(stall, mu.Unlock)
	result, err := Run(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	var done int
	for _, kind := range result.Kinds {
		done += kind.Outcomes[OutcomeDone]
		// The first requests are due at the start of the stall. A closed loop
		// would have recorded it once and not in most of the requests.
		if p50 := kind.Latency.P50.Std(); p50 < stall/10 {
			t.Errorf("%s: median latency %v hides a stall of %v", kind.Path, p50, stall)
		}
	}
	if done != result.Sent || result.Workers["w1"] != done || len(result.Wrong)+len(result.NotRun) > 0 {
		t.Errorf("got %d done of %+v", done, result)
	}
	if result.Sent != settings.Count+len(keys) {
		t.Errorf("sent: got %d, want %d and %d repeats", result.Sent, settings.Count, len(keys))
	}
	for key, entries := range keys {
		if len(entries) != 2 || entries[0] == entries[1] {
			t.Errorf("key %s came through entries %v, want both", key, entries)
		}
	}
}

// TestValidate guards against a load that is sent to other machines or has no
// bound.
func TestValidate(t *testing.T) {
	valid := Settings{
		Entries: []string{"127.0.0.1:80"}, Kinds: []Kind{{Method: "GET", Path: "/q", Weight: 1}},
		Rate: 1, Count: 1, Length: time.Second, Timeout: time.Second,
	}
	tests := []struct {
		name   string
		change func(*Settings)
		want   string // part of the error; empty for none
	}{
		{"valid", func(*Settings) {}, ""},
		{"address off the machine", func(s *Settings) { s.Entries = []string{"192.0.2.1:80"} }, "loopback"},
		{"name instead of an address", func(s *Settings) { s.Entries = []string{"localhost:80"} }, "loopback"},
		{"no entry", func(s *Settings) { s.Entries = nil }, "entries"},
		{"path without a slash", func(s *Settings) { s.Kinds = []Kind{{Method: "GET", Path: "q", Weight: 1}} }, "path"},
		{"no weight", func(s *Settings) { s.Kinds = []Kind{{Method: "GET", Path: "/q"}} }, "weight"},
		{"no rate", func(s *Settings) { s.Rate = 0 }, "rate"},
		{"no count", func(s *Settings) { s.Count = 0 }, "count"},
		{"too long", func(s *Settings) { s.Length = time.Hour }, "length"},
		{"several faults", func(s *Settings) { s.Timeout, s.Repeat = 0, 2 }, "repeat"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := valid
			test.change(&s)
			var got string
			if err := s.Validate(); err != nil {
				got = err.Error()
			}
			if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
				t.Errorf("error: got %q, want one with %q", got, test.want)
			}
		})
	}
}

// TestTally guards against outcomes that count for the wrong kind or enter the
// latencies although the request failed.
func TestTally(t *testing.T) {
	sums := newTally([]Kind{{Method: "GET", Path: "/q"}, {Method: "POST", Path: "/c"}})
	for _, e := range []completion{
		{arrival: arrival{check: "a"}, outcome: OutcomeDone, latency: 10 * time.Millisecond, worker: "w1"},
		{arrival: arrival{check: "b"}, outcome: OutcomeLost, latency: time.Second},
		{arrival: arrival{check: "c", kind: 1}, outcome: OutcomeNotRun},
		{arrival: arrival{check: "d", kind: 1}, outcome: OutcomeForeign},
		{arrival: arrival{check: "e", kind: 1}, outcome: OutcomeUnsent},
	} {
		sums.add(e)
	}
	got := sums.computeResult(time.Second)
	if p := got.Kinds[0].Latency; p.Count != 1 || p.Max.Std().Round(time.Millisecond) != 10*time.Millisecond {
		t.Errorf("latency: got %+v", p)
	}
	got.Kinds[0].Latency = Latency{}
	want := Result{
		Elapsed: unit.Duration(time.Second), Sent: 4,
		Kinds: []KindResult{
			{Method: "GET", Path: "/q", Outcomes: map[Outcome]int{OutcomeDone: 1, OutcomeLost: 1}},
			{Method: "POST", Path: "/c", Outcomes: map[Outcome]int{OutcomeNotRun: 1, OutcomeForeign: 1, OutcomeUnsent: 1}},
		},
		Workers: map[unit.InstanceID]int{"w1": 1}, NotRun: []string{"c"}, Wrong: []string{"d"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}
