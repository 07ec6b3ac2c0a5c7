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

// whole is a complete response with room for the request id.
const whole = "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nContent-Length: 5\r\n\r\nhello"

// TestExchange guards against an outcome that says more than is certain, and
// against the reuse of a connection after an exchange that did not end cleanly.
func TestExchange(t *testing.T) {
	refused := errors.New("deadline passed")
	tests := []struct {
		name    string
		respond string // %s stands for the request id; empty never responds
		cut     bool   // the worker closes the connection after responding
		stays   bool   // the result does not depend on the deadline for the end
		allow   error
		want    upstream.Outcome
		err     error
		body    string
		dials   int32 // connections after a second, good exchange; -1: the second races with a replacement
	}{
		{name: "complete", respond: whole, want: upstream.Done, body: "200 hello", dials: 1},
		{name: "chunked", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", want: upstream.Done, body: "200 hello", dials: 1},
		{name: "interim response first", respond: "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, want: upstream.Done, body: "200 hello", dials: 1},
		{name: "worker asks to close", respond: strings.Replace(whole, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), want: upstream.Done, body: "200 hello", dials: 2},
		{name: "extra bytes", respond: whole + "HTTP/1.1 200 OK\r\n", want: upstream.Done, body: "200 hello", dials: 2},
		{name: "mismatched id", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: other%.0s\r\nContent-Length: 50\r\n\r\nhello", stays: true, want: upstream.Unknown, err: upstream.ErrMismatch, dials: 2},
		{name: "no id", respond: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello%.0s", want: upstream.Unknown, err: upstream.ErrMismatch, dials: 2},
		{name: "truncated body", respond: strings.Replace(whole, "5", "50", 1), cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "truncated chunks", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "stalled body", respond: strings.Replace(whole, "5", "50", 1), want: upstream.Unknown, err: upstream.ErrTruncated, body: "200 hello", dials: 2},
		{name: "unframed body", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\n\r\nhello", cut: true, want: upstream.Unknown, err: upstream.ErrResponse, dials: 2},
		{name: "oversized body", respond: strings.Replace(whole, "5", "99999999999", 1), stays: true, want: upstream.Unknown, err: upstream.ErrOversized, dials: 2},
		{name: "oversized header", respond: "HTTP/1.1 200 OK\r\nMonsoonfold-Request: %s\r\nX: " + strings.Repeat("x", 70<<10), want: upstream.Unknown, err: upstream.ErrOversized, dials: 2},
		{name: "no HTTP", respond: "hello%.0s\r\n\r\n", want: upstream.Unknown, err: upstream.ErrResponse, dials: 2},
		{name: "closed without response", respond: "%.0s", cut: true, want: upstream.Unknown, err: upstream.ErrTruncated, dials: 2},
		{name: "hung", want: upstream.Unknown, err: upstream.ErrHung, dials: -1},
		{name: "not run by the worker's word", respond: "HTTP/1.1 503 Busy\r\nMonsoonfold-Request: %s\r\nMonsoonfold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", want: upstream.NotRun, err: upstream.ErrRejected, dials: 1},
		{name: "not allowed any more", respond: whole, allow: refused, want: upstream.NotRun, err: refused, dials: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			w := listen(t, func(n net.Conn, id string) bool {
				if calls.Add(1) > 1 || tt.allow != nil {
					fmt.Fprintf(n, whole, id)
					return true
				}
				if tt.respond != "" {
					fmt.Fprintf(n, tt.respond, id)
				}
				return !tt.cut
			})
			p := pool(t, w.address(), 2)
			var s sink
			r := request("r1", 300*time.Millisecond)
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
			if again := p.Exchange(context.Background(), request("r2", 5*time.Second), &sink{}); again.Outcome != upstream.Done {
				t.Errorf("second exchange: %v, %v", again.Outcome, again.Err)
			}
			if n := w.dials.Load(); tt.dials >= 0 && n != tt.dials {
				t.Errorf("%d connections, want %d", n, tt.dials)
			}
		})
	}
}

// TestIdleClosed guards against a request that is lost on a connection which the
// worker closed while it was idle.
func TestIdleClosed(t *testing.T) {
	w := listen(t, func(n net.Conn, id string) bool {
		fmt.Fprintf(n, whole, id)
		return false
	})
	p := pool(t, w.address(), 1)
	for i := range 20 {
		if got := p.Exchange(context.Background(), request("r", 5*time.Second), &sink{}); got.Outcome != upstream.Done {
			t.Fatalf("exchange %d: %v, %v", i, got.Outcome, got.Err)
		}
		w.waitClosed(t, int32(i+1))
	}
}

// TestAbandoned guards against a connection that serves another caller after its
// request was abandoned, whose late response would then be mismatched.
func TestAbandoned(t *testing.T) {
	reached := make(chan struct{}, 2)
	w := listen(t, func(net.Conn, string) bool {
		reached <- struct{}{}
		return true
	})
	p := pool(t, w.address(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reached
		cancel()
	}()
	got := p.Exchange(ctx, request("r", 20*time.Second), &sink{})
	if got.Outcome != upstream.Unknown || !errors.Is(got.Err, upstream.ErrAbandoned) {
		t.Errorf("got %v, %v", got.Outcome, got.Err)
	}
	w.waitClosed(t, 1)
	got = p.Exchange(ctx, request("r", 20*time.Second), &sink{})
	if got.Outcome != upstream.NotRun {
		t.Errorf("request abandoned before the send: got %v, %v", got.Outcome, got.Err)
	}
}

// TestPartlyWritten guards against a request that is reported as not run although
// the worker received the first part of it.
func TestPartlyWritten(t *testing.T) {
	tests := []struct {
		name  string
		reads int64 // bytes that the worker takes before it stops
		cut   bool  // the worker closes the connection then
	}{
		{"worker stops reading", 100, false},
		{"worker closes in mid request", 100, true},
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
			p := pool(t, l.Addr().String(), 1)
			r := request("r", 150*time.Millisecond)
			r.Body = make([]byte, 32<<20) // more than the buffers of both sockets hold
			got := p.Exchange(context.Background(), r, &sink{})
			if got.Outcome != upstream.Unknown || !errors.Is(got.Err, upstream.ErrWrite) {
				t.Errorf("got %v, %v", got.Outcome, got.Err)
			}
			close(release)
			l.Close()
			<-ended
		})
	}
}

// TestHang guards against a worker that is taken for dead, or for alive, after
// one of its connections hung.
func TestHang(t *testing.T) {
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
			var w *fake
			w = listen(t, func(net.Conn, string) bool {
				if tt.dies {
					w.listener.Close()
				}
				return true
			})
			seen := make(probes, 1)
			p := upstream.NewPool("w1", w.address(), seen)
			p.SetLimit(1)
			defer shut(p)
			if got := p.Exchange(context.Background(), request("r", 200*time.Millisecond), &sink{}); !errors.Is(got.Err, upstream.ErrHung) {
				t.Fatalf("got %v, %v", got.Outcome, got.Err)
			}
			if err := <-seen; (err == nil) != tt.alive {
				t.Errorf("probe: %v", err)
			}
		})
	}
}

// TestLimit guards against more connections than the entry's share.
func TestLimit(t *testing.T) {
	reached := make(chan struct{}, 1)
	w := listen(t, func(net.Conn, string) bool {
		reached <- struct{}{}
		return true
	})
	p := pool(t, w.address(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Exchange(ctx, request("r1", 20*time.Second), &sink{})
	}()
	<-reached
	got := p.Exchange(context.Background(), request("r2", time.Second), &sink{})
	if got.Outcome != upstream.NotRun || !errors.Is(got.Err, upstream.ErrLimit) {
		t.Errorf("got %v, %v", got.Outcome, got.Err)
	}
	cancel()
	<-ended
}

// BenchmarkExchange measures one exchange over a kept connection on loopback.
func BenchmarkExchange(b *testing.B) {
	w := listen(b, func(n net.Conn, id string) bool {
		fmt.Fprintf(n, whole, id)
		return true
	})
	p := pool(b, w.address(), 1)
	b.ReportAllocs()
	for b.Loop() {
		if got := p.Exchange(context.Background(), request("r", time.Second), &sink{}); got.Outcome != upstream.Done {
			b.Fatal(got.Err)
		}
	}
}

type probes chan error

func (p probes) ObserveRedial(_ unit.InstanceID, err error) { p <- err }

type sink struct{ bytes.Buffer }

func (s *sink) StartResponse(status int, _ http.Header, _ int64) { fmt.Fprintf(s, "%d ", status) }

func request(id unit.RequestID, idle time.Duration) *upstream.Request {
	return &upstream.Request{
		ID: id, Method: "POST", URL: &url.URL{Path: "/quote"}, Host: "order-desk",
		Header: http.Header{}, Body: []byte("body"),
		FirstByteDeadline: time.Now().Add(idle), Deadline: time.Now().Add(2 * idle),
	}
}

func pool(t testing.TB, address string, limit int) *upstream.Pool {
	p := upstream.NewPool("w1", address, nil)
	p.SetLimit(limit)
	t.Cleanup(func() { shut(p) })
	return p
}

func shut(p *upstream.Pool) {
	p.Close()
	<-p.Done()
}

// fake is a worker whose handler gets each request's id and writes raw bytes. A
// handler that returns false has the connection closed.
type fake struct {
	listener net.Listener
	dials    atomic.Int32
	closed   atomic.Int32
}

func listen(t testing.TB, handle func(n net.Conn, id string) bool) *fake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{listener: l}
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

func (f *fake) serve(n net.Conn, handle func(net.Conn, string) bool) {
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

func (f *fake) address() string { return f.listener.Addr().String() }

func (f *fake) waitClosed(t *testing.T, want int32) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); f.closed.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("connection not closed by the worker")
		}
	}
}
