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

// newServe builds the command that runs an entry on the users' platform.
func newServe() action {
	sub := newSubcommand("serve", "run an entry on the users' platform until SIGTERM", "monsoonfold serve --settings boot.toml")
	file := os.Getenv(platform.SettingsEnv)
	verbose, baseline := false, false
	sub.String(&file, "s", "settings", "settings file of the platform; default: the value of "+platform.SettingsEnv)
	sub.Bool(&baseline, "b", "baseline", "place tasks first fit in order of arrival, to measure the policy against")
	sub.Bool(&verbose, "v", "verbose", "also log what only developers need")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		if file == "" {
			return &failure{ExitUsage, errors.New("serve: name the settings file with --settings or " + platform.SettingsEnv)}
		}
		settings, err := platform.LoadSettings(file)
		if err != nil {
			return &failure{ExitInvalid, err}
		}
		least := slog.LevelInfo
		if verbose {
			least = slog.LevelDebug
		}
		out := output.New(s.Out)
		defer out.Close()
		log := out.Logger(least)
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		go reload(ctx, file, hangup, log)
		return site.Run(ctx, settings, baseline, log)
	}}
}

// reload reads the settings again at each SIGHUP and reports faults. Nothing that
// an entry uses of them changes while it runs.
func reload(ctx context.Context, file string, hangup <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		if _, err := platform.LoadSettings(file); err != nil {
			log.Error(err, "settings at fault; those in use stay", "file", file)
			continue
		}
		log.Info("settings read again", "file", file)
	}
}
