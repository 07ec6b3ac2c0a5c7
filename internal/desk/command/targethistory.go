package command

import (
	"context"
	"fmt"
	"time"
)

// newTargetHistory builds the command that tells who changed what and when.
func newTargetHistory() action {
	sub := newSubcommand("history", "who changed what and when", "monsoonfold target history --limit 5")
	var c connection
	limit := 20
	c.attach(sub)
	sub.Int(&limit, "n", "limit", "number of revisions, newest first; at most 200 are kept")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		revisions, err := dialed.History(ctx, limit)
		if err != nil {
			return called(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, revisions)
		}
		for i, r := range revisions {
			at := time.UnixMilli(r.Time).UTC().Format(time.RFC3339)
			fmt.Fprintf(s.Out, "revision %d by %s at %s\n", r.Number, r.Author, at)
			if i+1 < len(revisions) {
				printDiff(s, &revisions[i+1].Document, &r.Document)
			}
		}
		return nil
	}}
}
