package command

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetShow builds the command that prints the document in effect, in the
// format that target apply reads.
func newTargetShow() command {
	sub := newSubcommand("show", "print the target document in effect", "monsoonfold target show > targets.json")
	return newQuery(sub, func(ctx context.Context, c *client.Client) (spec.Revision, error) {
		return c.Target(ctx)
	}, func(s Streams, r spec.Revision) error {
		text, err := spec.Format(&r.Document)
		if err != nil {
			return errors.Errorf("format document: %w", err)
		}
		fmt.Fprintf(s.Err, "revision %d by %s\n", r.Number, r.Author)
		fmt.Fprintf(s.Out, "%s", text)
		return nil
	})
}
