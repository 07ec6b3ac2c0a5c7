package output

import (
	"context"
	"log/slog"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

// timedHandler counts the lines that a handler formats, and the time that takes.
type timedHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h timedHandler) Handle(ctx context.Context, r slog.Record) error {
	defer metric.LogTimer.Since(time.Now())
	metric.LogLines.Add(1)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h timedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return timedHandler{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h timedHandler) WithGroup(name string) slog.Handler {
	return timedHandler{h.Handler.WithGroup(name)}
}
