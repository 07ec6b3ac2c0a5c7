package command

import (
	"context"
	"io"

	"github.com/monsoonfold/monsoonfold/internal/bench/capacity"
)

// newCapacityCommand measures the slopes behind docs/CAPACITY.md.
func newCapacityCommand() *command {
	c := capacity.NewCommand()
	return &command{name: "capacity", sub: c.Subcommand, run: func(_ context.Context, stdout io.Writer) error {
		return c.Run(stdout)
	}}
}
