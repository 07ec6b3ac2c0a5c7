package command

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/bench/demo"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
)

// newDemo builds the command that shows the main job in one process.
func newDemo() action {
	sub := newSubcommand("demo", "run stand-ins and three entries on loopback for about a minute and report", "monsoonfold demo")
	var verbose bool
	sub.Bool(&verbose, "", "verbose", "also print the logs of the entries")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		log := newLogger(s.Err, settings.LevelInfo)
		if !verbose {
			log = log.V(quiet)
		}
		if err := demo.Run(ctx, s.Out, log); err != nil {
			return errors.Errorf("demo: %w", err)
		}
		return nil
	}}
}

// quiet is a verbosity that the logger does not print.
const quiet = 9
