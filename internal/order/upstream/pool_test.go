package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/order/upstream"
)

// TestMain guards against goroutines of connections that outlive their pool.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// okResponse is a complete response with a format verb for the request id.
const okResponse = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nContent-Length: 5\r\n\r\nhello"

// TestExchange guards against an outcome that claims more than is certain, and
// against the reuse of a connection after an exchange that did not end cleanly.
func TestExchange(t *testing.T) {
	refused := errors.New("deadline passed")
	tests := []struct {
		name    string
		respond string // %s stands for the request id; empty never responds
		cut     bool   // the worker closes the connection after responding
		stays   bool   // the result must not depend on the deadline, which is a minute away
		allow   error
		want    upstream.Outcome
		err     error
		body    string
		dials   int32 // connections after a second exchange; -1: that one races with a redial
	}{
		{name: "complete", respond: okResponse, want: upstream.Done, body: "200 hello", dials: 1},
		{name: "chunked", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", want: upstream.Done, body: "200 hello", dials: 1},
		{name: "interim response first", respond: "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, want: upstream.Done, body: "200 hello", dials: 1},
		{name: "worker asks to close", respond: strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), want: upstream.Done, body: "200 hello", dials: 2},
		{name: "extra bytes", respond: okResponse + "HTTP/1.1 200 OK\r\n", want: upstream.Done, body: "200 hello", dials: 2},
		{name: "mismatched id", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: other%.0s\r\nContent-Length: 50\r\n\r\nhello", stays: true, want: upstream.Unknown, err: upstream.ErrMismatch, dials: 2},
		{name: "no id", respond: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello%.0s", want: upstream.Unknown, err: upstream.ErrMismatch, dials: 2},
		{name: "truncated body", respond: strings.Replace(okResponse, "5", "50", 1), cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "truncated chunks", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "stalled body", respond: strings.Replace(okResponse, "5", "50", 1), want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "unframed body", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\n\r\nhello", cut: true, want: upstream.Unknown, err: upstream.ErrResponse, dials: 2},
		{name: "oversized body", respond: strings.Replace(okResponse, "5", "99999999999", 1), stays: true, want: upstream.Unknown, err: upstream.ErrOversized, dials: 2},
		{name: "oversized header", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nX: " + strings.Repeat("x", 70<<10), want: upstream.Unknown, err: upstream.ErrOversized, dials: 2},
		{name: "no HTTP", respond: "hello%.0s\r\n\r\n", want: upstream.Unknown, err: upstream.ErrResponse, dials: 2},
		{name: "closed without response", respond: "%.0s", cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, dials: 2},
		{name: "hung", want: upstream.Unknown, err: upstream.ErrHung, dials: -1},
		{name: "worker reports that it did not run", respond: "HTTP/1.1 503 Busy\r\nMonsoonfold-Request: %s\r\nMonsoonfold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", want: upstream.NotRun, err: upstream.ErrRejected, dials: 1},
		{name: "send refused by Allow", respond: okResponse, allow: refused, want: upstream.NotRun, err: refused, dials: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			w := startWorker(t, func(n net.Conn, id string) bool {
				if calls.Add(1) > 1 || tt.allow != nil {
					fmt.Fprintf(n, okResponse, id)
					return true
				}
				if tt.respond != "" {
					fmt.Fprintf(n, tt.respond, id)
				}
				return !tt.cut
			})
			p := newPool(t, w.address(), 2)
			var s recordingSink
			r := newRequest("r1", 300*time.Millisecond)
			r.Allow = func(time.Time) error { return tt.allow }
			began := time.Now()
			if tt.stays {
				r.Deadline = began.Add(time.Minute)
			}
			got := p.Exchange(context.Background(), r, &s)
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("took %v", took)
			}
			if got.Outcome != tt.want || !errors.Is(got.Err, tt.err) {
				t.Errorf("outcome %v, error %v; want %v, %v", got.Outcome, got.Err, tt.want, tt.err)
			}
			if diff := cmp.Diff(tt.body, s.String()); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if got.ResponseStarted != (tt.body != "") {
				t.Errorf("begun %v", got.ResponseStarted)
			}
			if again := p.Exchange(context.Background(), newRequest("r2", 5*time.Second), &recordingSink{}); again.Outcome != upstream.Done {
				t.Errorf("second exchange: %v, %v", again.Outcome, again.Err)
			}
			if n := w.dials.Load(); tt.dials >= 0 && n != tt.dials {
				t.Errorf("%d connections, want %d", n, tt.dials)
			}
		})
	}
}

// TestConnectionClosedWhileIdle guards against a request that is lost on a connection
// which the worker closed while it was idle.
func TestConnectionClosedWhileIdle(t *testing.T) {
	w := startWorker(t, func(n net.Conn, id string) bool {
		fmt.Fprintf(n, okResponse, id)
		return false
	})
	p := newPool(t, w.address(), 1)
	for i := range 20 {
		if got := p.Exchange(context.Background(), newRequest("r", 5*time.Second), &recordingSink{}); got.Outcome != upstream.Done {
			t.Fatalf("exchange %d: %v, %v", i, got.Outcome, got.Err)
		}
		w.waitClosed(t, int32(i+1))
	}
}

// TestAbandonedExchange guards against a connection that is reused after its request
// was abandoned, so that the late response goes to another request.
func TestAbandonedExchange(t *testing.T) {
	reached := make(chan struct{}, 2)
	w := startWorker(t, func(net.Conn, string) bool {
		reached <- struct{}{}
		return true
	})
	p := newPool(t, w.address(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reached
		cancel()
	}()
	got := p.Exchange(ctx, newRequest("r", 20*time.Second), &recordingSink{})
	if got.Outcome != upstream.Unknown || !errors.Is(got.Err, upstream.ErrAbandoned) {
		t.Errorf("got %v, %v", got.Outcome, got.Err)
	}
	w.waitClosed(t, 1)
	got = p.Exchange(ctx, newRequest("r", 20*time.Second), &recordingSink{})
	if got.Outcome != upstream.NotRun {
		t.Errorf("request abandoned before the send: got %v, %v", got.Outcome, got.Err)
	}
}

// TestPartlyWrittenRequest guards against a request that is reported as not run
// although the worker received a part of it.
func TestPartlyWrittenRequest(t *testing.T) {
	tests := []struct {
		name  string
		reads int64 // bytes that the worker reads before it stops
		cut   bool  // the worker then closes the connection
	}{
		{"worker stops reading", 100, false},
		{"worker closes in the middle of the request", 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				n, err := l.Accept()
				if err != nil {
					return
				}
				defer n.Close()
				_, _ = io.CopyN(io.Discard, n, tt.reads)
				if !tt.cut {
					<-release
				}
			}()
			p := newPool(t, l.Addr().String(), 1)
			r := newRequest("r", 150*time.Millisecond)
			r.Body = make([]byte, 32<<20) // more than the buffers of both sockets hold
			got := p.Exchange(context.Background(), r, &recordingSink{})
			if got.Outcome != upstream.Unknown || !errors.Is(got.Err, upstream.ErrWrite) {
				t.Errorf("got %v, %v", got.Outcome, got.Err)
			}
			close(release)
			l.Close()
			<-ended
		})
	}
}

// TestRedialAfterHang guards against a failed worker that is reported as reachable, or
// the other way around, after one of its connections hung.
func TestRedialAfterHang(t *testing.T) {
	tests := []struct {
		name  string
		dies  bool
		alive bool
	}{
		{"connection only", false, true},
		{"whole worker", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w *fakeWorker
			w = startWorker(t, func(net.Conn, string) bool {
				if tt.dies {
					w.listener.Close()
				}
				return true
			})
			seen := make(redialResults, 1)
			p := upstream.NewPool("w1", w.address(), seen)
			p.SetLimit(1)
			defer closePool(p)
			if got := p.Exchange(context.Background(), newRequest("r", 200*time.Millisecond), &recordingSink{}); !errors.Is(got.Err, upstream.ErrHung) {
				t.Fatalf("got %v, %v", got.Outcome, got.Err)
			}
			if err := <-seen; (err == nil) != tt.alive {
				t.Errorf("redial: %v", err)
			}
		})
	}
}

// TestConnectionLimit guards against more connections than the limit of the pool.
func TestConnectionLimit(t *testing.T) {
	reached := make(chan struct{}, 1)
	w := startWorker(t, func(net.Conn, string) bool {
		reached <- struct{}{}
		return true
	})
	p := newPool(t, w.address(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Exchange(ctx, newRequest("r1", 20*time.Second), &recordingSink{})
	}()
	<-reached
	got := p.Exchange(context.Background(), newRequest("r2", time.Second), &recordingSink{})
	if got.Outcome != upstream.NotRun || !errors.Is(got.Err, upstream.ErrLimit) {
		t.Errorf("got %v, %v", got.Outcome, got.Err)
	}
	cancel()
	<-ended
}

// BenchmarkExchange measures one exchange over a reused connection on loopback.
func BenchmarkExchange(b *testing.B) {
	w := startWorker(b, func(n net.Conn, id string) bool {
		fmt.Fprintf(n, okResponse, id)
		return true
	})
	p := newPool(b, w.address(), 1)
	b.ReportAllocs()
	for b.Loop() {
		if got := p.Exchange(context.Background(), newRequest("r", time.Second), &recordingSink{}); got.Outcome != upstream.Done {
			b.Fatal(got.Err)
		}
	}
}

type redialResults chan error

func (p redialResults) ObserveRedial(_ unit.InstanceID, err error) { p <- err }

type recordingSink struct{ bytes.Buffer }

func (s *recordingSink) StartResponse(status int, _ http.Header, _ int64) {
	fmt.Fprintf(s, "%d ", status)
}

func newRequest(id unit.RequestID, idle time.Duration) *upstream.Request {
	return &upstream.Request{
		ID: id, Method: "POST", URL: &url.URL{Path: "/quote"}, Host: "order-desk",
		Header: http.Header{}, Body: []byte("body"),
		FirstByteDeadline: time.Now().Add(idle), Deadline: time.Now().Add(2 * idle),
	}
}

func newPool(t testing.TB, address string, limit int) *upstream.Pool {
	p := upstream.NewPool("w1", address, nil)
	p.SetLimit(limit)
	t.Cleanup(func() { closePool(p) })
	return p
}

func closePool(p *upstream.Pool) {
	p.Close()
	<-p.Done()
}

// fakeWorker is a worker whose handler gets the id of each request and writes raw
// bytes. The connection is closed after a handler that returns false.
type fakeWorker struct {
	listener net.Listener
	dials    atomic.Int32
	closed   atomic.Int32
}

func startWorker(t testing.TB, handle func(n net.Conn, id string) bool) *fakeWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeWorker{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			f.dials.Add(1)
			go f.serve(n, handle)
		}
	}()
	return f
}

func (f *fakeWorker) serve(n net.Conn, handle func(net.Conn, string) bool) {
	defer f.closed.Add(1)
	defer n.Close()
	in := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !handle(n, r.Header.Get(upstream.HeaderRequest)) {
			return
		}
	}
}

func (f *fakeWorker) address() string { return f.listener.Addr().String() }

func (f *fakeWorker) waitClosed(t *testing.T, want int32) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); f.closed.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("connection not closed by the worker")
		}
	}
}
