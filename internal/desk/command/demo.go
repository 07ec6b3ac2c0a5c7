package command

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/bench/demo"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
)

// newDemo builds the command that runs a whole system in one process, with
// stand-ins for the platform, workers and callers.
func newDemo() command {
	sub := newSubcommand("demo", "run stand-ins and three entries on loopback for about a minute and report", "monsoonfold demo")
	var verbose bool
	sub.Bool(&verbose, "", "verbose", "also print the logs of the entries")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		log := newLogger(s.Err, settings.LevelInfo)
		if !verbose {
			log = log.V(hiddenVerbosity)
		}
		if err := demo.Run(ctx, s.Out, log); err != nil {
			return errors.Errorf("demo: %w", err)
		}
		return nil
	}}
}

// hiddenVerbosity is a verbosity above the level of the logger, which discards
// such messages.
const hiddenVerbosity = 9
