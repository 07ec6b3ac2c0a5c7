package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/site"
	"github.com/monsoonfold/monsoonfold/internal/report/output"
	"github.com/monsoonfold/monsoonfold/platform"
)

// orderLines are limits of their own for the lines about orders that a trace of a task
// needs. An owner of a large fleet orders 1,000 starts a second at peak.
var orderLines = []output.Reservation{
	{Kind: "order start done", PerSecond: 1200, Burst: 2400},
	{Kind: "order start unknown", PerSecond: 600, Burst: 1200},
	{Kind: "order stop done", PerSecond: 300, Burst: 600},
	{Kind: "order stop unknown", PerSecond: 300, Burst: 600},
}

// newServe builds the command that runs an entry on the users' platform.
func newServe() command {
	sub := newSubcommand("serve", "run an entry on the users' platform until SIGTERM", "monsoonfold serve --settings boot.toml")
	file := os.Getenv(platform.SettingsEnv)
	verbose, baseline := false, false
	sub.String(&file, "s", "settings", "settings file of the platform; default: the value of "+platform.SettingsEnv)
	sub.Bool(&baseline, "b", "baseline", "place tasks first fit in order of arrival, to measure the policy against")
	sub.Bool(&verbose, "v", "verbose", "also log what only developers need")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		if file == "" {
			return &exitError{ExitUsage, errors.New("serve: name the settings file with --settings or " + platform.SettingsEnv)}
		}
		settings, err := platform.LoadSettings(file)
		if err != nil {
			return &exitError{ExitInvalid, err}
		}
		minLevel := slog.LevelInfo
		if verbose {
			minLevel = slog.LevelDebug
		}
		out := output.New(s.Out, orderLines...)
		defer out.Close()
		log := out.Logger(minLevel)
		sighup := make(chan os.Signal, 1)
		signal.Notify(sighup, syscall.SIGHUP)
		defer signal.Stop(sighup)
		go checkOnHangup(ctx, file, sighup, log)
		return site.Run(ctx, settings, baseline, log)
	}}
}

// checkOnHangup reads the settings again at each SIGHUP and logs their faults. The
// running entry keeps its settings, since none of them can change while it runs.
func checkOnHangup(ctx context.Context, file string, sighup <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		if _, err := platform.LoadSettings(file); err != nil {
			log.Error(err, "invalid settings; the previous ones stay in use", "file", file)
			continue
		}
		log.Info("settings read again", "file", file)
	}
}
