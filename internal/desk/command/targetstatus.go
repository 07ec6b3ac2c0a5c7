package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// newTargetStatus builds the command that asks about an earlier change.
func newTargetStatus() action {
	sub := newSubcommand("status", "ask whether an earlier change is in effect", "monsoonfold target status --revision 8")
	var c connection
	var operation string
	var revision, base uint64
	c.attach(sub)
	sub.UInt64(&revision, "r", "revision", "revision of the change")
	sub.String(&operation, "", "operation", "operation id of the change, if its revision is not known")
	sub.UInt64(&base, "b", "base", "base of the change, with --operation")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		if revision == 0 && operation == "" {
			return usage("target status: name the change with --revision or --operation")
		}
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		result, err := dialed.ChangeStatus(ctx, change.Query{
			Revision: unit.Revision(revision), Base: unit.Revision(base), Operation: unit.OperationID(operation),
		})
		if err != nil {
			return called(err)
		}
		return printChange(s, c.output, answer.Change{Result: result, Operation: unit.OperationID(operation)})
	}}
}
