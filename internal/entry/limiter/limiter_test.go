package limiter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/entry/budget"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// pipeListener accepts connections in memory.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServerErrors guards against a log line for each connection that a server has an error
// with, and against errors that leave no trace.
func TestServerErrors(t *testing.T) {
	tests := []struct {
		name   string
		errors int
		lines  int
		want   string
	}{
		{"none", 0, 0, ""},
		{"one", 1, 1, `count=1 first="error 0"`},
		{"many", 1000, 1, `count=1000 first="error 0"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var text bytes.Buffer
			l := New(logr.FromSlogHandler(slog.NewTextHandler(&text, nil)), budget.Limits{})
			s := &http.Server{}
			l.Limit(s, pipeListener{})
			for n := range tt.errors {
				s.ErrorLog.Printf("error %d", n)
			}
			l.rejections.report(time.Now())
			l.rejections.report(time.Now())
			if diff := cmp.Diff(tt.lines, bytes.Count(text.Bytes(), []byte("\n"))); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
			if !strings.Contains(text.String(), tt.want) {
				t.Errorf("have %q, want %q in it", text.String(), tt.want)
			}
		})
	}
}

// testServer reads the body of each request and answers with the error.
type testServer struct {
	limiter  *Limiter
	listener pipeListener
	http     *http.Server
}

func startServer(l budget.Limits, maxBody int64) *testServer {
	s := &testServer{limiter: New(logr.Discard(), l), listener: pipeListener{make(chan net.Conn)}}
	s.http = &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := s.limiter.ReadBody(w, r, maxBody)
		defer release()
		if err != nil {
			status := http.StatusBadRequest
			for code, known := range map[int]error{413: ErrTooLarge, 503: ErrShort, 408: ErrSlow} {
				if errors.Is(err, known) {
					status = code
				}
			}
			w.WriteHeader(status)
			return
		}
		fmt.Fprint(w, len(body))
	})
	limited := s.limiter.Limit(s.http, s.listener)
	go func() { _ = s.http.Serve(limited) }() // until close
	return s
}

func (s *testServer) connect() net.Conn {
	client, server := net.Pipe()
	s.listener.conns <- server
	return client
}

// close stops the server and returns what connections still hold afterwards.
func (s *testServer) close() (used unit.Bytes, connections int) {
	close(s.listener.conns)
	_ = s.http.Close()      // the connections are in memory
	time.Sleep(time.Minute) // of the bubble: all goroutines end
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.budget.Used(), s.limiter.budget.Connections()
}

// exchange sends a request in pieces, one each interval, and returns the response, of which
// the status is 0 if the connection was closed without one.
func exchange(c net.Conn, request string, piece int, interval time.Duration) (status int, body string, closed bool) {
	go func() {
		for rest := []byte(request); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := c.Write(rest[:min(piece, len(rest))]); err != nil {
				return // closed by the server
			}
			time.Sleep(interval)
		}
	}()
	var got bytes.Buffer
	buffer := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Minute))
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		_, _ = fmt.Sscanf(got.String(), "HTTP/1.1 %d", &status)
		if _, rest, ok := strings.Cut(got.String(), "\r\n\r\n"); ok {
			body = rest
		}
		if err != nil {
			return status, body, errors.Is(err, io.EOF)
		}
		if status == http.StatusOK && body != "" {
			return status, body, false
		}
	}
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(size, count int, end string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, count) + end
}

// TestSingleClient guards against a client within the limits that is rejected, and against
// one beyond them that is served or stays connected for ever.
func TestSingleClient(t *testing.T) {
	const maxBody = 64 << 10
	full := strings.Repeat("x", maxBody)
	tests := []struct {
		name     string
		request  string
		piece    int
		interval time.Duration
		status   int
		body     string
		closed   bool
	}{
		{"largest body", post(maxBody, full), maxBody * 2, 0, 200, "65536", false},
		{"no body", post(0, ""), maxBody, 0, 200, "0", false},
		{"largest body in chunks", chunked(1<<10, 64, "0\r\n\r\n"), 4 << 10, 0, 200, "65536", false},
		{"very small chunks", chunked(1, maxBody, "0\r\n\r\n"), 4 << 10, 0, 200, "65536", false},
		{"slow within the pace", post(maxBody, full), 4 << 10, time.Second, 200, "65536", false},
		{"slow start within the grace", post(1, "x"), 60, 9 * time.Second, 200, "1", false},
		{"limit reached without an end", chunked(1<<10, 64, "") + "1\r\nx\r\n", 128 << 10, 0, 413, "", true},
		{"declared too large", post(maxBody+1, ""), maxBody, 0, 413, "", true},
		{"chunks too large", chunked(1<<10, 65, ""), 4 << 10, 0, 413, "", true},
		{"stops short of its end", post(maxBody, full[1:]), maxBody * 2, 0, 408, "", true},
		{"chunks that stop short of their end", chunked(1<<10, 64, ""), 4 << 10, 0, 408, "", true},
		{"body too slow", post(maxBody, full), 1 << 10, time.Second, 408, "", true},
		{"header stops short of its end", "POST / HTTP/1.1\r\nHost: h\r\n", 100, 0, 0, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startServer(budget.Limits{Bytes: 16 << 20, Connections: 4}, maxBody)
				c := s.connect()
				status, body, closed := exchange(c, tt.request, tt.piece, tt.interval)
				if diff := cmp.Diff([]any{tt.status, tt.body, tt.closed}, []any{status, body, closed}); diff != "" {
					t.Errorf("status, body, closed (-want +got):\n%s", diff)
				}
				c.Close()
				used, connections := s.close()
				if diff := cmp.Diff([]int{0, 0}, []int{int(used), connections}); diff != "" {
					t.Errorf("bytes and connections held after the end (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestShortBudget guards against stalled clients that keep an ordinary one from being served,
// and against a request that is rejected although the entry is otherwise idle.
func TestShortBudget(t *testing.T) {
	const maxBody = 64 << 10
	tests := []struct {
		name    string
		limits  budget.Limits
		stalled []string // requests of clients that stay connected
		request string
		status  int
		closed  bool // a stalled client is disconnected at once
	}{
		{"stalled bodies", budget.Limits{Bytes: 200 << 10, Connections: 10}, []string{post(maxBody, "x"), post(maxBody, "x"), post(maxBody, "x")}, post(5, "hello"), 200, true},
		{"stalled chunks", budget.Limits{Bytes: 200 << 10, Connections: 10}, []string{chunked(1<<10, 63, ""), chunked(1<<10, 63, "")}, post(5, "hello"), 200, true},
		{"stalled headers", budget.Limits{Bytes: 200 << 10, Connections: 10}, []string{"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 3000), "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 3000)}, post(5, "hello"), 200, true},
		{"connections without a request", budget.Limits{Bytes: 16 << 20, Connections: 2}, []string{"", "", ""}, post(5, "hello"), 200, true},
		{"body larger than the budget", budget.Limits{Bytes: 32 << 10, Connections: 10}, nil, post(maxBody, strings.Repeat("x", maxBody)), 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startServer(tt.limits, maxBody)
				var closed atomic.Int64
				for _, request := range tt.stalled {
					c := s.connect()
					defer c.Close()
					go func() { _, _ = io.WriteString(c, request) }() // the server may close it
					go func() {
						_, _ = io.Copy(io.Discard, c) // until it is closed
						closed.Add(1)
					}()
					time.Sleep(100 * time.Millisecond)
				}
				c := s.connect()
				status, _, _ := exchange(c, tt.request, len(tt.request), 0)
				if diff := cmp.Diff(tt.status, status); diff != "" {
					t.Errorf("status of the ordinary request (-want +got):\n%s", diff)
				}
				time.Sleep(time.Second) // less than any deadline has left
				if diff := cmp.Diff(tt.closed, closed.Load() > 0); diff != "" {
					t.Errorf("stalled clients disconnected (-want +got):\n%s", diff)
				}
				c.Close()
				s.close()
			})
		})
	}
}

// TestDefaults guards against defaults that clients within the limits of the configuration
// reach: many bodies of the largest size at once.
func TestDefaults(t *testing.T) {
	tests := []struct {
		name   string
		memory unit.Bytes
		bodies int // of 256 KiB at once, each with its connection
	}{
		{"smallest instance", 184 << 20, 100},
		{"largest instance", 536 << 20, 300},
		{"no memory limit", 0, 140},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := budget.New(Limits(tt.memory))
			now := time.Unix(1_700_000_000, 0)
			for i := range tt.bodies {
				id := budget.ConnectionID(i)
				revoked, opened := b.Open(id, budget.Source{}, connectionCost, now)
				b.SetPhase(id, budget.Receiving, now)
				more, reserved := b.Reserve(id, 256<<10+fieldCost*10, now)
				if !opened || !reserved || len(revoked)+len(more) > 0 {
					t.Fatalf("connection %d: opened %v, reserved %v, revoked %v", i, opened, reserved, append(revoked, more...))
				}
			}
		})
	}
}

// TestStop guards against a service that does not end with its kernel.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(logr.Discard(), Limits(0))
		if err := errors.Join(l.Start(t.Context(), nil), l.Stop(context.Background())); err != nil {
			t.Fatal(err)
		}
		<-l.Done()
	})
}
