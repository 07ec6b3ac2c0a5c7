package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/desk/client"
)

// newStatus builds the command that shows the state of an entry, the entries in its
// view and the lost entries.
func newStatus() command {
	sub := newSubcommand("status", "show the state of an entry and which others it sees", "monsoonfold status")
	return newQuery(sub, func(ctx context.Context, c *client.Client) (answer.Status, error) {
		return c.Status(ctx)
	}, func(s Streams, status answer.Status) error {
		fmt.Fprintf(s.Out, "entry %s: configuration %d by %s, registered %t, starts tasks %t, serves requests %t\n",
			status.Entry, status.Configuration, status.Author, status.Registered, status.MayStartTasks, status.MayServeRequests)
		var rows []string
		for _, e := range status.View {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", e.ID, e.Zone, e.Address))
		}
		if err := printTable(s.Out, "ENTRY\tZONE\tADDRESS", rows); err != nil || len(status.Lost) == 0 {
			return err
		}
		rows = nil
		for _, l := range status.Lost {
			var blocks []string
			if l.BlocksChanges {
				blocks = append(blocks, "changes")
			}
			if l.BlocksSlots {
				blocks = append(blocks, "slots")
			}
			rows = append(rows, fmt.Sprintf("%s\t%v\t%s", l.Entry, time.Since(l.Since).Truncate(time.Second), strings.Join(blocks, ", ")))
		}
		return printTable(s.Out, "LOST\tFOR\tBLOCKS", rows)
	})
}
