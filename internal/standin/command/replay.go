package command

import (
	"context"
	"io"

	"github.com/monsoonfold/monsoonfold/internal/bench/replay"
)

// newReplayCommand measures the policy against plain baselines; see docs/policy.md.
func newReplayCommand() *command {
	c := replay.NewCommand()
	return &command{name: "replay", sub: c.Subcommand, run: func(_ context.Context, stdout io.Writer) error {
		return c.Run(stdout)
	}}
}
