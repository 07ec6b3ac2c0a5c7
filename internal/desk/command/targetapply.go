package command

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// newTargetApply builds the command that puts a target file into effect.
func newTargetApply() command {
	sub := newSubcommand("apply", "put a target file into effect", "monsoonfold target apply targets.json --base 7")
	var c clientFlags
	var file, operation string
	var base uint64
	c.register(sub)
	sub.AddPositionalValue(&file, "file", 1, true, "target file")
	sub.UInt64(&base, "b", "base", "revision that the file was edited from; default the one in effect")
	sub.String(&operation, "", "operation", "operation id of an earlier try whose outcome is unknown")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		document, err := loadTarget(file)
		if err != nil {
			return documentError(err)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Errorf("read target file: %w", err)
		}
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		if base == 0 {
			r, err := apiClient.Target(ctx)
			if err != nil {
				return callError(err)
			}
			base = uint64(r.Number)
		}
		result, err := apiClient.Apply(ctx, unit.Revision(base), unit.OperationID(operation), text)
		if err != nil {
			return callError(err)
		}
		if result.Outcome == change.Conflict && c.output != "json" {
			printConflict(s, &result.Revision, &document)
		}
		return printChange(s, c.output, result)
	}}
}

// printConflict prints how the file differs from the revision that came first.
func printConflict(s Streams, current *spec.Revision, document *spec.Document) {
	fmt.Fprintf(s.Out, "from revision %d by %s to your file:\n", current.Number, current.Author)
	printDiff(s, &current.Document, document)
}
