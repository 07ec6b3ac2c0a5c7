package command

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetHistory builds the command that lists the revisions of the target
// document with their authors, times and differences.
func newTargetHistory() command {
	sub := newSubcommand("history", "who changed what and when", "monsoonfold target history --limit 5")
	limit := 20
	sub.Int(&limit, "n", "limit", "number of revisions, newest first; at most 200 are kept")
	return newQuery(sub, func(ctx context.Context, c *client.Client) ([]spec.Revision, error) {
		return c.History(ctx, limit)
	}, func(s Streams, revisions []spec.Revision) error {
		for i, r := range revisions {
			at := time.UnixMilli(r.Time).UTC().Format(time.RFC3339)
			fmt.Fprintf(s.Out, "revision %d by %s at %s\n", r.Number, r.Author, at)
			if i+1 < len(revisions) {
				printDiff(s, &revisions[i+1].Document, &r.Document)
			}
		}
		return nil
	})
}
