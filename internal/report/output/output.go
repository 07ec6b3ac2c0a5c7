// Package output writes log lines without blocking the caller. If the destination
// is slow or there are too many lines, it drops lines and reports how many.
package output

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limits of the volume.
const (
	linesPerSecond = 600
	lineBurst      = 1200
	queueLines     = 4096
	// maxWrite is the maximum number of bytes of a write of several lines. A reader with a
	// buffer of that size loses the end of a longer one.
	maxWrite = 8 << 10
	// kindPerSecond and kindBurst limit the lines of one kind, so that a flood of one
	// kind does not displace the others.
	kindPerSecond = 300
	kindBurst     = 600
	// maxKinds is the maximum number of kinds with a limiter that is kept. Further
	// kinds are subject to the common limit only.
	maxKinds       = 256
	reportInterval = 5 * time.Second
)

// Kind is the message of a line with the values of its fields "kind" and "outcome", if
// it has them, separated by spaces.
type Kind string

// Reservation is a limit of its own for the lines of one kind, which then neither count
// for the common limit nor are subject to it.
type Reservation struct {
	Kind      Kind
	PerSecond rate.Limit
	Burst     int
}

// otherKind is the kind of lines without a message.
const otherKind Kind = "other"

// Writer is an io.Writer that takes one line per call. It drops lines above the rate
// limits, or that the destination does not take in time, and counts them by kind.
type Writer struct {
	destination io.Writer
	lines       chan []byte
	totalLimit  *rate.Limiter
	stop        chan struct{}
	stopped     chan struct{}
	joined      []byte // the lines of one write; only the goroutine uses it

	mu       sync.Mutex
	kinds    map[Kind]*rate.Limiter
	reserved map[Kind]*rate.Limiter
	dropped  map[Kind]int // lines dropped since the last report of them
}

// New returns a writer to the destination and starts its goroutine, which alone
// writes to the destination.
func New(destination io.Writer, reservations ...Reservation) *Writer {
	w := &Writer{
		destination: destination, lines: make(chan []byte, queueLines),
		totalLimit: rate.NewLimiter(linesPerSecond, lineBurst),
		stop:       make(chan struct{}), stopped: make(chan struct{}),
		kinds: map[Kind]*rate.Limiter{}, reserved: map[Kind]*rate.Limiter{}, dropped: map[Kind]int{},
	}
	for _, r := range reservations {
		w.reserved[r.Kind] = rate.NewLimiter(r.PerSecond, r.Burst)
	}
	go w.run()
	return w
}

// Write implements io.Writer. It does not fail or block on the destination.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := kindOf(line)
	if !w.allow(kind) {
		w.dropped[kind]++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped[kind]++
	}
	return len(line), nil
}

// allow reports whether the rate limits permit a line of the kind. The caller must
// hold w.mu.
func (w *Writer) allow(kind Kind) bool {
	if limit := w.reserved[kind]; limit != nil {
		return limit.Allow()
	}
	limit := w.kinds[kind]
	if limit == nil {
		limit = rate.NewLimiter(kindPerSecond, kindBurst)
		if len(w.kinds) < maxKinds {
			w.kinds[kind] = limit
		}
	}
	return limit.Allow() && w.totalLimit.Allow()
}

// Delimiters of the values in a line that make up its kind, in the order in which they
// are logged.
var (
	messageBegin = []byte(`"msg":"`)
	kindBegin    = []byte(`,"kind":"`)
	outcomeBegin = []byte(`,"outcome":"`)
	valueEnd     = []byte(`"`)
)

// kindOf returns the kind of a JSON log line.
func kindOf(line []byte) Kind {
	text, rest, found := cutValue(line, messageBegin)
	if !found {
		return otherKind
	}
	kind := text
	for _, begin := range [][]byte{kindBegin, outcomeBegin} {
		if text, rest, found = cutValue(rest, begin); found {
			kind = slices.Concat(kind, []byte(" "), text)
		}
	}
	return Kind(kind)
}

// cutValue returns the value that follows a delimiter, and the rest of the line after
// it. Without the delimiter the rest is the whole line.
func cutValue(line, begin []byte) (value, rest []byte, found bool) {
	_, after, found := bytes.Cut(line, begin)
	if !found {
		return nil, line, false
	}
	value, rest, _ = bytes.Cut(after, valueEnd)
	return value, rest, true
}

// takeDropped returns the number of dropped lines by kind and resets it.
func (w *Writer) takeDropped() map[Kind]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := maps.Clone(w.dropped)
	clear(w.dropped)
	return dropped
}

// report writes a line with the number of dropped lines, if there are any.
func (w *Writer) report() {
	dropped := w.takeDropped()
	if len(dropped) == 0 {
		return
	}
	sum := 0
	for _, n := range dropped {
		sum += n
	}
	line, err := json.Marshal(struct {
		Time  time.Time    `json:"time"`
		Level string       `json:"level"`
		Text  string       `json:"msg"`
		Count int          `json:"count"`
		Kinds map[Kind]int `json:"kinds"`
	}{time.Now(), slog.LevelInfo.String(), "log lines left out", sum, dropped})
	if err != nil {
		return // a failure to log cannot be logged
	}
	_, _ = w.destination.Write(append(line, '\n')) // a failure to log cannot be logged
}

// Close writes the queued lines and a last report, and stops the goroutine. It must
// not be called more than once.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

// Done returns a channel that is closed when the goroutine has ended.
func (w *Writer) Done() <-chan struct{} { return w.stopped }

func (w *Writer) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeQueued(line)
		case <-ticker.C:
			w.report()
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeQueued(<-w.lines)
			}
			w.report()
			return
		}
	}
}

// writeQueued writes a line and those that are queued after it. It joins them into writes
// of up to maxWrite bytes, since each write is a system call.
func (w *Writer) writeQueued(line []byte) {
	for line != nil {
		w.joined = append(w.joined[:0], line...)
		line = w.join()
		_, _ = w.destination.Write(w.joined) // a failure to log cannot be logged
	}
}

// join appends queued lines to the next write and returns the first one for which it has
// no room, or nil if none is queued any more.
func (w *Writer) join() (rest []byte) {
	for {
		select {
		case line := <-w.lines:
			if len(w.joined)+len(line) > maxWrite {
				return line
			}
			w.joined = append(w.joined, line...)
		default:
			return nil
		}
	}
}

// Logger returns a logger that writes one JSON object per line, for lines of at
// least a level.
func (w *Writer) Logger(minLevel slog.Level) logr.Logger {
	return logr.FromSlogHandler(timedHandler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})})
}
