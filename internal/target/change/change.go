// Package change has the data of a change to the target document: what an
// operator asks for, and what is known about it.
package change

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Errors of a change that was surely not written. Use errors.Is.
var (
	// ErrInvalid says that the change itself is at fault.
	ErrInvalid = errors.New("invalid change")
	// ErrUnknownZone says that the document does not have the zone.
	ErrUnknownZone = errors.New("no such zone")
)

// Change is a new document by an operator.
type Change struct {
	Base      unit.Revision // the revision that the operator had seen
	Author    unit.Operator
	Operation unit.OperationID // new for each change, the same when it is repeated
	Document  spec.Document
}

// Outcome is what is known about a change.
type Outcome string

// Outcomes of a change.
const (
	Accepted Outcome = "accepted" // in effect on every entry that may act
	Pending  Outcome = "pending"  // written; not yet known to be in effect everywhere
	Unknown  Outcome = "unknown"  // perhaps written; ask again with the operation id
	Conflict Outcome = "conflict" // not written; another change came first
)

// Result tells the outcome of a change.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the change as written, or with a conflict the current revision.
	Revision spec.Revision `json:"revision"`
	// Missing are the entries that a pending change waits for. It may be empty
	// while the entry does not know yet which entries there are.
	Missing []unit.EntryID `json:"missing,omitempty"`
}

// Query names a change by its revision, or by its operation and the base, which
// is cheaper than the operation alone.
type Query struct {
	Revision  unit.Revision
	Base      unit.Revision
	Operation unit.OperationID
}
