// Package output writes log lines without ever blocking the caller: a full pipe
// or too many lines cost lines, not time.
package output

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Bounds of the volume.
const (
	linesPerSecond = 600
	lineBurst      = 1200
	queueLines     = 1024
	reportInterval = 5 * time.Second
)

// Writer is an io.Writer that takes one line a call. Lines over the rate, or that
// the destination takes too slowly, are left out and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	left    atomic.Int64 // lines left out
	stop    chan struct{}
	stopped chan struct{}
}

// New returns a writer to the destination, which only its goroutine uses.
func New(to io.Writer) *Writer {
	w := &Writer{
		to: to, lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, lineBurst),
		stop:  make(chan struct{}), stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.left.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines that were left out.
func (w *Writer) LeftOut() int64 { return w.left.Load() }

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
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.to.Write(line) // there is nowhere to report a failure
		case <-tick.C:
			if left := w.left.Load(); left > reported {
				fmt.Fprintf(w.to, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"log lines left out\",\"count\":%d}\n",
					time.Now().Format(time.RFC3339Nano), left-reported)
				reported = left
			}
		case <-w.stop:
			for len(w.lines) > 0 {
				_, _ = w.to.Write(<-w.lines) // as above
			}
			return
		}
	}
}

// Logger returns a logger that writes one JSON object for each line.
func (w *Writer) Logger(least slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: least}))
}
