// Package output writes log lines without ever blocking the caller: a full pipe
// or too many lines cost lines, not time.
package output

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Bounds of the volume.
const (
	linesPerSecond = 600
	lineBurst      = 1200
	queueLines     = 1024
	// kindPerSecond and kindBurst bound the lines with one text, so that many of
	// one kind do not hide the others.
	kindPerSecond = 300
	kindBurst     = 600
	// mostKinds bounds the texts that are told apart.
	mostKinds      = 256
	reportInterval = 5 * time.Second
)

// Kind is the text of a line without its fields.
type Kind string

// otherKind stands for lines without a text, and for those of too many kinds.
const otherKind Kind = "other"

// Writer is an io.Writer that takes one line a call. Lines over the rate, or that
// the destination takes too slowly, are left out and counted by kind.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	stop    chan struct{}
	stopped chan struct{}

	mu    sync.Mutex
	kinds map[Kind]*rate.Limiter
	left  map[Kind]int // lines left out since the last report of them
}

// New returns a writer to the destination, which only its goroutine uses.
func New(to io.Writer) *Writer {
	w := &Writer{
		to: to, lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, lineBurst),
		stop:  make(chan struct{}), stopped: make(chan struct{}),
		kinds: map[Kind]*rate.Limiter{}, left: map[Kind]int{},
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := kindOf(line)
	if !w.allow(kind) {
		w.left[kind]++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.left[kind]++
	}
	return len(line), nil
}

// allow is called with the lock held.
func (w *Writer) allow(kind Kind) bool {
	limit := w.kinds[kind]
	if limit == nil {
		limit = rate.NewLimiter(kindPerSecond, kindBurst)
		if len(w.kinds) < mostKinds {
			w.kinds[kind] = limit
		}
	}
	return limit.Allow() && w.limit.Allow()
}

// Marks of the text in a line.
var (
	textBegin = []byte(`"msg":"`)
	textEnd   = []byte(`"`)
)

// kindOf returns the kind of a line.
func kindOf(line []byte) Kind {
	_, rest, found := bytes.Cut(line, textBegin)
	if !found {
		return otherKind
	}
	text, _, _ := bytes.Cut(rest, textEnd)
	return Kind(text)
}

// takeLeft returns the lines that were left out since the last call.
func (w *Writer) takeLeft() map[Kind]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := maps.Clone(w.left)
	clear(w.left)
	return left
}

// report writes how many lines were left out, if any were.
func (w *Writer) report() {
	left := w.takeLeft()
	if len(left) == 0 {
		return
	}
	sum := 0
	for _, n := range left {
		sum += n
	}
	line, err := json.Marshal(struct {
		Time  time.Time    `json:"time"`
		Level string       `json:"level"`
		Text  string       `json:"msg"`
		Count int          `json:"count"`
		Kinds map[Kind]int `json:"kinds"`
	}{time.Now(), slog.LevelInfo.String(), "log lines left out", sum, left})
	if err != nil {
		return // there is nowhere to report a failure
	}
	_, _ = w.to.Write(append(line, '\n')) // as above
}

// Close writes what is queued and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

// Done is closed once the goroutine has ended.
func (w *Writer) Done() <-chan struct{} { return w.stopped }

func (w *Writer) run() {
	defer close(w.stopped)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = w.to.Write(line) // there is nowhere to report a failure
		case <-tick.C:
			w.report()
		case <-w.stop:
			for len(w.lines) > 0 {
				_, _ = w.to.Write(<-w.lines) // as above
			}
			w.report()
			return
		}
	}
}

// Logger returns a logger that writes one JSON object for each line.
func (w *Writer) Logger(least slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: least}))
}
