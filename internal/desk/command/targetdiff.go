package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetDiff builds the command that compares a file with the document in
// effect.
func newTargetDiff() command {
	sub := newSubcommand("diff", "compare a file with the document in effect", "monsoonfold target diff targets.json")
	var c clientFlags
	var file string
	c.register(sub)
	sub.AddPositionalValue(&file, "file", 1, true, "target file")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		document, err := loadTarget(file)
		if err != nil {
			return documentError(err)
		}
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		r, err := apiClient.Target(ctx)
		if err != nil {
			return callError(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, spec.Diff(&r.Document, &document))
		}
		printDiff(s, &r.Document, &document)
		return nil
	}}
}
