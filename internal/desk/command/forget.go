package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newForget builds the command that declares that the instance of a lost entry is
// gone for good.
func newForget() command {
	sub := newSubcommand("forget",
		"state that the instance of a lost entry is gone; safe only if it is surely gone: an entry that still runs may serve an old configuration",
		"monsoonfold forget entry-2-5f0c91aa")
	var c clientFlags
	var id string
	c.register(sub)
	sub.AddPositionalValue(&id, "entry", 1, true, "id of the lost entry, as status shows it")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		if err := apiClient.Forget(ctx, unit.EntryID(id)); err != nil {
			return callError(err)
		}
		fmt.Fprintln(s.Out, id)
		return nil
	}}
}
