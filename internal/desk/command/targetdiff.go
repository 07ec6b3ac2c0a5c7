package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetDiff builds the command that compares a file with the document in
// effect.
func newTargetDiff() action {
	sub := newSubcommand("diff", "compare a file with the document in effect", "monsoonfold target diff targets.json")
	var c connection
	var file string
	c.attach(sub)
	sub.AddPositionalValue(&file, "file", 1, true, "target file")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		document, err := loadTarget(file)
		if err != nil {
			return invalid(err)
		}
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
			return printJSON(s.Out, spec.Diff(&r.Document, &document))
		}
		printDiff(s, &r.Document, &document)
		return nil
	}}
}
