package command

import (
	"context"
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newForget builds the command that states that the instance of a lost entry is
// gone.
func newForget() action {
	sub := newSubcommand("forget",
		"state that the instance of a lost entry is gone; safe only if it is surely gone: an entry that still runs may serve an old configuration",
		"monsoonfold forget entry-2-5f0c91aa")
	var c connection
	var id string
	c.attach(sub)
	sub.AddPositionalValue(&id, "entry", 1, true, "id of the lost entry, as status shows it")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		if err := dialed.Forget(ctx, unit.EntryID(id)); err != nil {
			return called(err)
		}
		fmt.Fprintln(s.Out, id)
		return nil
	}}
}
