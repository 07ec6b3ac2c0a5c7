package limiter

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/entry/budget"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Errors of ReadBody. Use errors.Is.
var (
	ErrTooLarge = errors.New("body too large")
	// ErrShort means that the entry has no memory left for the body.
	ErrShort = errors.New("too many bodies")
	ErrSlow  = errors.New("body too slow")
)

// Minimum pace of a body. A client has bodyGrace in any case, which is longer than callers
// wait for a response.
const (
	bodyGrace             = 10 * time.Second
	minBodyBytesPerSecond = 4 << 10
)

// firstBuffer is what is reserved for a body of unknown length before it grows.
const firstBuffer = 4 << 10

// handler begins the account of each request.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
			phase := budget.Deciding
			if r.ContentLength != 0 {
				phase = budget.Receiving
				c.setBodyDeadline(time.Now().Add(bodyGrace))
			}
			if !c.beginRequest(headerSize(r.Header), phase) {
				w.Header().Set("Connection", "close")
				w.Header().Set("Retry-After", "1") // seconds
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// headerSize returns the memory that a received header takes.
func headerSize(h http.Header) unit.Bytes {
	var size unit.Bytes
	for name, values := range h {
		size += fieldCost + unit.Bytes(len(name))
		for _, value := range values {
			size += unit.Bytes(len(value))
		}
	}
	return size
}

// ReadBody reads the body of a request, of at most limit bytes, within the budget and at
// the minimum pace. The caller calls release when it needs the body no more. After an error
// the connection is closed with the response.
func (l *Limiter) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	reader := &bodyReader{limiter: l, conn: c, source: r.Body, startedAt: time.Now(), limit: limit}
	err = reader.read(r.ContentLength)
	if err == nil && c != nil && !c.endBody() {
		err = ErrShort
	}
	if err != nil {
		returnBuffer(reader.text)
		reader.text = nil
		reader.release()
		reader.reject(w, err)
		return nil, func() {}, err
	}
	return reader.text, reader.release, nil
}

// bodyReader reads one body.
type bodyReader struct {
	limiter   *Limiter
	conn      *conn // nil if the server is not limited, as in tests of handlers
	source    io.Reader
	startedAt time.Time
	limit     int64
	text      []byte
	reserved  unit.Bytes
}

// read reads a body with a declared length, or until its end if that is negative.
func (b *bodyReader) read(declared int64) error {
	if declared > b.limit {
		return ErrTooLarge
	}
	size := declared
	if declared < 0 {
		size = min(firstBuffer, b.limit)
	}
	if err := b.grow(size); err != nil {
		return err
	}
	for ended := false; !ended && int64(len(b.text)) != declared; {
		if int64(len(b.text)) == b.limit {
			return b.expectEnd()
		}
		if len(b.text) == cap(b.text) {
			if err := b.grow(min(2*int64(cap(b.text)), b.limit)); err != nil {
				return err
			}
		}
		free := b.text[len(b.text):min(int64(cap(b.text)), b.limit)]
		n, err := b.readSome(free)
		b.text = b.text[:len(b.text)+n]
		if ended = errors.Is(err, io.EOF); !ended && err != nil {
			return err
		}
	}
	return nil
}

// expectEnd reads the end of a body that has reached the limit.
func (b *bodyReader) expectEnd() error {
	for {
		n, err := b.readSome(make([]byte, 1))
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow reserves and takes a larger buffer.
func (b *bodyReader) grow(size int64) error {
	more := unit.Bytes(bufferSize(size)) - b.reserved
	if b.conn != nil && !b.limiter.reserve(b.conn, more) {
		return ErrShort
	}
	b.reserved += more
	grown := append(takeBuffer(size), b.text...)
	returnBuffer(b.text)
	b.text = grown
	return nil
}

// readSome reads what has arrived. The error is io.EOF at the end of the body.
func (b *bodyReader) readSome(free []byte) (int, error) {
	if b.conn != nil {
		pace := time.Duration(len(b.text)) * time.Second / minBodyBytesPerSecond
		b.conn.setBodyDeadline(b.startedAt.Add(bodyGrace + pace))
	}
	n, err := b.source.Read(free)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	case b.conn != nil && b.conn.isInterrupted():
		return n, ErrShort
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ErrSlow
	}
	return n, errors.Errorf("read body: %w", err)
}

func (b *bodyReader) release() {
	if b.conn != nil {
		b.limiter.release(b.conn, b.reserved)
	}
	b.reserved = 0
}

// reject counts a rejection, and has the server close the connection after the response.
func (b *bodyReader) reject(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	closeAfterResponse(w)
	if b.conn == nil {
		return
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		b.limiter.rejections.add(causeTooLarge, b.conn)
	case errors.Is(err, ErrSlow):
		b.limiter.rejections.add(causeSlow, b.conn)
	case errors.Is(err, ErrShort) && !b.conn.isInterrupted(): // else it was counted as it was interrupted
		b.limiter.rejections.add(causeNoRoom, b.conn)
	}
	b.conn.interrupt()
}

// closeAfterResponse makes the server leave the rest of the body unread and leave the client
// time to read the response before it closes the connection. It does so only when a
// MaxBytesReader is exceeded.
func closeAfterResponse(w http.ResponseWriter) {
	exceeded := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = exceeded.Read(make([]byte, 1)) // it returns a MaxBytesError
}
