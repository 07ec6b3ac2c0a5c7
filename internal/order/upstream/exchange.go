// Package upstream holds the HTTP/1.1 connections of an entry to one worker.
//
// Each connection has one goroutine and carries one exchange at a time. The
// requests are written to the connection directly rather than through an
// http.Client, because the outcome of a failed exchange depends on whether any
// byte was written. Every request carries an id that the response must echo. A
// connection whose exchange did not end cleanly is closed.
//
// A worker says by the header Monsoonfold-Outcome: not-run, in a response with
// status 503, that it did not run the request, and by Monsoonfold-State: draining
// that it wants no new work. It must frame its responses by Content-Length or by
// chunks, since the end of any other response cannot be told from a truncation.
package upstream

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Headers of the protocol between entries and workers.
const (
	HeaderRequest = "Monsoonfold-Request"
	HeaderOutcome = "Monsoonfold-Outcome"
	HeaderState   = "Monsoonfold-State"
)

// Outcome says what is certain about a request.
type Outcome string

// Outcomes in the form of the header Monsoonfold-Outcome.
const (
	// Done says that the complete response was passed on.
	Done Outcome = "done"
	// NotRun says that no byte of the request was written, or that the worker
	// itself reported that it did not run it.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)

// Reasons for an exchange that did not end with a complete response. Use
// errors.Is.
var (
	ErrConnect    = errors.New("no connection to the worker")
	ErrLimit      = errors.New("all connections to the worker are in use")
	ErrClosed     = errors.New("connections to the worker are closed")
	ErrNotAllowed = errors.New("send no longer allowed")
	ErrRejected   = errors.New("rejected by the worker")
	ErrWrite      = errors.New("request not written completely")
	ErrHung       = errors.New("no byte of a response within the idle timeout")
	ErrResponse   = errors.New("invalid response")
	ErrMismatch   = errors.New("response to another request")
	ErrOversized  = errors.New("response exceeds its limit")
	ErrTruncated  = errors.New("response truncated")
	ErrAbandoned  = errors.New("abandoned by the caller")
)

// Limits of a response.
const (
	maxHeader  = 64 << 10
	maxBody    = 64 << 20
	maxInterim = 5 // responses with a status of 1xx
)

// Request is one request, with its body in memory so that it can be sent again.
type Request struct {
	ID     unit.RequestID
	Method string
	URL    *url.URL // only the path and the query are sent
	Host   string
	Header http.Header // without hop-by-hop fields
	Body   []byte
	// FirstByteDeadline and Deadline bound the time to the first byte of the response and
	// to its end.
	FirstByteDeadline time.Time
	Deadline          time.Time
	// Allow is called immediately before the first byte is written and prevents
	// the send by an error.
	Allow func(now time.Time) error
}

// Sink takes the response. The goroutine of the connection calls it while
// Exchange waits.
type Sink interface {
	// StartResponse is called once a response to the right request has begun. A length
	// of -1 says that it is not known.
	StartResponse(status int, header http.Header, length int64)
	io.Writer
}

// Result is the end of an exchange.
type Result struct {
	Outcome         Outcome
	Err             error // nil if Done
	ResponseStarted bool  // Sink.Begin was called; if not Done, the caller's response must be aborted
	Draining        bool  // by the worker's own word
	Status          int
	Latency         time.Duration // from the send to the first byte, if one came
}

// wireRequest returns the form that is written to the connection.
func (r *Request) wireRequest() *http.Request {
	header := make(http.Header, len(r.Header)+2)
	for k, v := range r.Header {
		header[k] = v
	}
	header.Set(HeaderRequest, string(r.ID))
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	wire := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        header,
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Body) > 0 {
		wire.Body = &body{rest: r.Body}
	}
	return wire
}

// body reads from memory.
type body struct{ rest []byte }

func (b *body) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *body) Close() error { return nil }
