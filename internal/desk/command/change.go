package command

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// printChange prints the outcome of a change. Unless the change was accepted, it
// returns an error with the exit code of the outcome.
func printChange(s Streams, output string, c answer.Change) error {
	if output == "json" {
		if err := printJSON(s.Out, c); err != nil {
			return err
		}
	}
	r := c.Revision
	switch c.Outcome {
	case change.Accepted:
		if output != "json" {
			fmt.Fprintf(s.Out, "accepted: revision %d is in effect everywhere\n", r.Number)
		}
		return nil
	case change.Pending:
		return &exitError{ExitPending, errors.Errorf("revision %d is written but not yet known to be in effect at %s; ask again with: monsoonfold target status --revision %d",
			r.Number, missingEntries(c), r.Number)}
	case change.Unknown:
		return &exitError{ExitPending, errors.Errorf("the store's answer was lost; ask again with: monsoonfold target status --operation %s --base %d",
			c.Operation, r.Base)}
	case change.Conflict:
		return &exitError{ExitConflict, errors.Errorf("revision %d by %s came first; see monsoonfold target diff, then apply with --base %d",
			r.Number, r.Author, r.Number)}
	}
	return errors.Errorf("unknown outcome %q", c.Outcome)
}

func missingEntries(c answer.Change) string {
	if len(c.Missing) == 0 {
		return "entries that are not known yet"
	}
	var ids []string
	for _, id := range c.Missing {
		ids = append(ids, string(id))
	}
	return strings.Join(ids, ", ")
}

// printDiff prints the differences between two documents, one on each line.
func printDiff(s Streams, from, to *spec.Document) {
	changes := spec.Diff(from, to)
	if len(changes) == 0 {
		fmt.Fprintln(s.Out, "no difference")
	}
	for _, c := range changes {
		fmt.Fprintln(s.Out, c)
	}
}
