// Package upstream holds the HTTP/1.1 connections of an entry to one worker.
//
// Each connection has one goroutine and carries one exchange at a time. The
// requests are written to the connection directly rather than through an
// http.Client, because the outcome of a failed exchange depends on whether any
// byte was written. Every request carries an id that the response must echo. A
// connection is closed after an exchange that did not end cleanly.
//
// A worker reports with the header Monsoonfold-Outcome: not-run, in a response with
// status 503, that it did not run the request, and with Monsoonfold-State: draining
// that it accepts no new requests. It must delimit its responses by Content-Length or
// chunked encoding, since the end of any other response looks like a truncation.
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

// Outcome states what is known for certain about a request.
type Outcome string

// Outcomes, as in the header Monsoonfold-Outcome.
const (
	// Done means that the complete response was written to the sink.
	Done Outcome = "done"
	// NotRun means that no byte of the request was written, or that the worker
	// reported that it did not run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
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
	maxHeader           = 64 << 10
	maxBody             = 64 << 20
	maxInterimResponses = 5 // responses with a status of 1xx
)

// Request is one request. Its body is in memory, so that it can be sent again.
type Request struct {
	ID     unit.RequestID
	Method string
	URL    *url.URL // only the path and the query are sent
	Host   string
	Header http.Header // without hop-by-hop fields
	Body   []byte
	// FirstByteDeadline and Deadline limit the wait for the first byte and for the end of
	// the response.
	FirstByteDeadline time.Time
	Deadline          time.Time
	// Allow is called immediately before the first byte is written. If it returns an
	// error, the request is not sent.
	Allow func(now time.Time) error
}

// Sink receives the response. The goroutine of the connection calls it while Exchange
// waits.
type Sink interface {
	// StartResponse is called once the header of a response with the id of the request
	// was read. The length is -1 if it is not known.
	StartResponse(status int, header http.Header, length int64)
	io.Writer
}

// Result describes how an exchange ended.
type Result struct {
	Outcome         Outcome
	Err             error // nil if Done
	ResponseStarted bool  // Sink.StartResponse was called; if not Done, the response must be aborted
	Draining        bool  // the worker reported that it accepts no new requests
	Status          int
	Latency         time.Duration // from the send to the first byte of the response
}

// wireRequest returns the request as it is written to the connection.
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
		wire.Body = &bodyReader{remaining: r.Body}
	}
	return wire
}

// bodyReader reads a request body from memory.
type bodyReader struct{ remaining []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

func (b *bodyReader) Close() error { return nil }
