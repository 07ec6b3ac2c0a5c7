package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// TestResponseOfOwnRequest guards against a caller that gets the response to another
// request, or a truncated response as if it were complete. The workers swap, truncate
// and withhold responses.
func TestResponseOfOwnRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nContent-Length: %d\r\n\r\n%s"
	var mu sync.Mutex
	var late string // a complete response to an earlier request
	respond := func(run int64, r *http.Request) string {
		body := strings.Repeat(r.URL.Path[1:]+" ", 1000)
		own := fmt.Sprintf(response, r.Header.Get("Monsoonfold-Request"), len(body), body)
		mu.Lock()
		defer mu.Unlock()
		other := late
		late = own
		switch {
		case run%7 == 0 && other != "":
			return other
		case run%11 == 0:
			return own[:len(own)/2] + "CUT"
		case run%13 == 0:
			return own + own // the second response answers no request
		case run%50 == 0:
			return ""
		}
		return own
	}
	workers := []*fakeWorker{startWorker(t, respond), startWorker(t, respond), startWorker(t, respond)}
	s := startGateway(t, nil, workers[0].address(), workers[1].address(), workers[2].address())
	outcomes := make(chan string, 400)
	var callers sync.WaitGroup
	for c := range 10 {
		callers.Go(func() {
			for i := range cap(outcomes) / 10 {
				name := fmt.Sprintf("r%d-%d", c, i)
				got := call{method: "GET", path: "/" + name, timeout: 5 * time.Second}.do(s.gateway)
				if body, ok := strings.CutPrefix(got, "done 200 "); ok && body != "aborted" {
					if body != strings.Repeat(name+" ", 1000) {
						t.Errorf("%s got %.40q of %d bytes", name, body, len(body))
					}
					got = "done"
				}
				outcomes <- got
			}
		})
	}
	callers.Wait()
	close(outcomes)
	counts := map[string]int{}
	for o := range outcomes {
		counts[o]++
	}
	t.Logf("%v, %s", counts, s.gateway.Counters())
	if counts["done"] < cap(outcomes)/2 {
		t.Errorf("only %d of %d responses are complete", counts["done"], cap(outcomes))
	}
}

// TestChangesWhileQueued guards against a queued request that is sent although the
// confirmation of the configuration expired, or the store failed, while it waited for
// a slot.
func TestChangesWhileQueued(t *testing.T) {
	tests := []struct {
		name string
		set  func(*fixture)
	}{
		{"confirmation", func(s *fixture) { s.config.unconfirmed.Store(true) }},
		{"store", func(s *fixture) { s.store.down.Store(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reached, release := make(chan struct{}, 10), make(chan struct{})
			w := startWorker(t, func(int64, *http.Request) string {
				reached <- struct{}{}
				<-release
				return okResponse
			})
			s := startGateway(t, nil, w.address())
			results := make(chan string, 9)
			for i := range 8 { // occupies all slots of the worker
				go func() { results <- charge(fmt.Sprint(i)).do(s.gateway) }()
			}
			for range 8 {
				<-reached
			}
			go func() { results <- charge("last").do(s.gateway) }()
			for !strings.Contains(s.gateway.Counters().String(), `"waiting": 1`) {
				time.Sleep(time.Millisecond)
			}
			tt.set(s)
			close(release)
			counts := map[string]int{}
			for range 9 {
				counts[<-results]++
			}
			if diff := cmp.Diff(map[string]int{"done 200 hello": 8, "not-run 503": 1}, counts); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if n := w.requests.Load(); n != 8 {
				t.Errorf("the worker got %d requests, want 8", n)
			}
		})
	}
}

// TestChangesBeforeSend guards against a request that is sent although its worker began
// to drain, the zone went out of service or the confirmation expired after the worker
// was chosen. The changes happen while the store delays the claim.
func TestChangesBeforeSend(t *testing.T) {
	tests := []struct {
		name string
		set  func(*fixture)
		want string
		runs int64
	}{
		{"no change", func(*fixture) {}, "done 200 hello", 1},
		{"worker draining", func(s *fixture) {
			s.fleet.set(func(i *store.Instance) { i.State = store.InstanceLeaving })
		}, "not-run 503", 0},
		{"zone out", func(s *fixture) { s.fleet.set(func(i *store.Instance) { i.Zone = "out" }) }, "not-run 503", 0},
		{"confirmation", func(s *fixture) { s.config.unconfirmed.Store(true) }, "not-run 503", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reached, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			records := &fakeStore{
				service: newService(store.ServiceName), records: map[store.Key]store.Record{},
				beforePut: func() {
					once.Do(func() { close(reached) })
					<-release
				},
			}
			w := startWorker(t, always(okResponse))
			s := startGateway(t, records, w.address())
			result := make(chan string, 1)
			go func() { result <- charge("k").do(s.gateway) }()
			<-reached
			tt.set(s)
			close(release)
			if got := <-result; got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			if n := w.requests.Load(); n != tt.runs {
				t.Errorf("the worker got %d requests, want %d", n, tt.runs)
			}
		})
	}
}

// TestJournalEvents guards against an unknown outcome or a change of a worker's state
// that is missing from the journal.
func TestJournalEvents(t *testing.T) {
	tests := []struct {
		name    string
		respond string
		subject journal.Subject
		want    []string
	}{
		{"complete", okResponse, journal.Subject{Kind: journal.KindClass, ID: "charge"}, nil},
		{"unknown", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", journal.Subject{Kind: journal.KindClass, ID: "charge"}, []string{"request ended as unknown"}},
		{"draining", strings.Replace(okResponse, "\r\n\r\n", "\r\nMonsoonfold-State: draining\r\n\r\n", 1), journal.Subject{Kind: journal.KindWorker, ID: "w0"}, []string{"requests: draining"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startGateway(t, nil, startWorker(t, always(tt.respond)).address())
			charge("k").do(s.gateway)
			var got []string
			for _, e := range s.journal.Explain(tt.subject) {
				got = append(got, e.What)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}
