package command

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetShow builds the command that prints the document in effect, in the
// form that apply takes.
func newTargetShow() action {
	sub := newSubcommand("show", "print the target document in effect", "monsoonfold target show > targets.json")
	var c connection
	c.attach(sub)
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		r, err := dialed.Target(ctx)
		if err != nil {
			return called(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, r)
		}
		text, err := spec.Format(&r.Document)
		if err != nil {
			return errors.Errorf("format document: %w", err)
		}
		fmt.Fprintf(s.Err, "revision %d by %s\n", r.Number, r.Author)
		fmt.Fprintf(s.Out, "%s", text)
		return nil
	}}
}
