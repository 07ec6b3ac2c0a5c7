package command

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
)

// query returns a command that makes one call to an entry and prints the answer,
// as JSON or with show.
func query[T any](
	sub *flaggy.Subcommand,
	call func(ctx context.Context, c *client.Client) (T, error),
	show func(s Streams, answer T) error,
) action {
	var c connection
	c.attach(sub)
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		answer, err := call(ctx, dialed)
		if err != nil {
			return called(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, answer)
		}
		return show(s, answer)
	}}
}
