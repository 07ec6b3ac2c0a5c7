package command

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
)

// newQuery returns a command that makes one call to an entry and prints the answer,
// as JSON or by means of printText.
func newQuery[T any](
	sub *flaggy.Subcommand,
	call func(ctx context.Context, c *client.Client) (T, error),
	printText func(s Streams, answer T) error,
) command {
	var c clientFlags
	c.register(sub)
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		answer, err := call(ctx, apiClient)
		if err != nil {
			return callError(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, answer)
		}
		return printText(s, answer)
	}}
}
