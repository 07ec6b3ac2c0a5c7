package worker_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestOrdersErrors guards against a call with an unknown outcome being reported as one
// that certainly had no effect, or as a success.
func TestOrdersErrors(t *testing.T) {
	const ok = `{"clock":1,"results":[{"task":{"job":"j","index":0},"attempt":1,"code":"ok"}]}`
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    error // nil: none of the three errors
		wantOK  bool
	}{
		{"complete response", respond(200, ok), nil, true},
		{"response without results", respond(200, `{"clock":1}`), worker.ErrUnknown, false},
		{"result of another attempt", respond(200, `{"results":[{"task":{"job":"other"},"attempt":1,"code":"ok"}]}`), worker.ErrUnknown, false},
		{"response that is not JSON", respond(200, `ok`), worker.ErrUnknown, false},
		{"stale epoch", respond(409, `{"epoch":7}`), worker.ErrStaleEpoch, false},
		{"conflict without an epoch", respond(409, `conflict`), worker.ErrUnknown, false},
		{"server error", respond(500, ""), worker.ErrUnknown, false},
		{"rejected body", respond(400, "fence"), nil, false},
		{"connection closed without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, worker.ErrUnknown, false},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, ok)
			panic(http.ErrAbortHandler)
		}, worker.ErrUnknown, false},
		{"response timeout", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, worker.ErrUnknown, false},
	}
	ref := worker.Ref{Task: unit.TaskID{Job: "j"}, Attempt: 1}
	batch := worker.OrderBatch{Orders: []worker.Order{{Ref: ref, Action: worker.ActionStop}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(test.handler)
			defer server.Close()
			c := worker.NewClient(server.Listener.Addr().String())
			defer c.Close()
			_, err := c.Orders(t.Context(), batch)
			if (err == nil) != test.wantOK {
				t.Fatalf("got error %v, want success %v", err, test.wantOK)
			}
			for _, kind := range []error{worker.ErrUnknown, worker.ErrUnavailable, worker.ErrStaleEpoch} {
				if errors.Is(err, kind) != (kind == test.want) {
					t.Errorf("got %v, want an error that is only %v", err, test.want)
				}
			}
		})
	}
}

// TestUnavailable guards against a refused connection being reported as a call
// that may have taken effect.
func TestUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	c := worker.NewClient(address)
	defer c.Close()
	_, err = c.Heartbeat(t.Context(), worker.Heartbeat{})
	if !errors.Is(err, worker.ErrUnavailable) || errors.Is(err, worker.ErrUnknown) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestHungConnection guards against a client that keeps using a hung connection
// although a new one would work.
func TestHungConnection(t *testing.T) {
	hang := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-hang:
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, `{}`)
		}
	}))
	defer server.Close()
	c := worker.NewClient(server.Listener.Addr().String())
	defer c.Close()
	tests := []struct {
		name string
		hang bool
		want error
	}{
		{"before", false, nil},
		{"hung", true, worker.ErrUnknown},
		{"after", false, nil},
	}
	for _, test := range tests {
		if test.hang {
			hang <- struct{}{}
		}
		started := time.Now()
		if _, err := c.Heartbeat(t.Context(), worker.Heartbeat{}); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
		if took := time.Since(started); took > 2*worker.Timeout {
			t.Errorf("%s: took %v, want at most the timeout", test.name, took)
		}
	}
}
