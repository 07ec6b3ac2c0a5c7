package command

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
)

// newLogger returns a logger that writes one JSON object per line.
func newLogger(w io.Writer, level settings.Level) logr.Logger {
	minLevel := slog.LevelInfo
	if level == settings.LevelDebug {
		minLevel = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel}))
}
