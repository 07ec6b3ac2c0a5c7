package command

import (
	"context"
	"io"

	"github.com/monsoonfold/monsoonfold/internal/bench/backlog"
)

// newBacklogCommand compares orders of waiting work; see docs/design/overload.md.
func newBacklogCommand() *command {
	c := backlog.NewCommand()
	return &command{name: "backlog", sub: c.Subcommand, run: func(ctx context.Context, stdout io.Writer) error {
		return c.Run(ctx, stdout)
	}}
}
