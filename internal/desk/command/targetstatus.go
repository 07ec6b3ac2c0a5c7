package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// newTargetStatus builds the command that shows the outcome of an earlier change.
func newTargetStatus() command {
	sub := newSubcommand("status", "ask whether an earlier change is in effect", "monsoonfold target status --revision 8")
	var c clientFlags
	var operation string
	var revision, base uint64
	c.register(sub)
	sub.UInt64(&revision, "r", "revision", "revision of the change")
	sub.String(&operation, "", "operation", "operation id of the change, if its revision is not known")
	sub.UInt64(&base, "b", "base", "base of the change, with --operation")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		if revision == 0 && operation == "" {
			return usageError("target status: name the change with --revision or --operation")
		}
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		result, err := apiClient.ChangeStatus(ctx, change.Query{
			Revision: unit.Revision(revision), Base: unit.Revision(base), Operation: unit.OperationID(operation),
		})
		if err != nil {
			return callError(err)
		}
		return printChange(s, c.output, answer.Change{Result: result, Operation: unit.OperationID(operation)})
	}}
}
