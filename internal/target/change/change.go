// Package change defines an operator's change to the target document, its outcome,
// and the query for that outcome.
package change

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Errors of a change that was certainly not written, for use with errors.Is.
var (
	// ErrInvalid reports that the change itself is invalid.
	ErrInvalid = errors.New("invalid change")
	// ErrUnknownZone reports that the document does not contain the zone.
	ErrUnknownZone = errors.New("no such zone")
)

// Change replaces the target document with one submitted by an operator.
type Change struct {
	Base      unit.Revision // revision that the operator edited
	Author    unit.Operator
	Operation unit.OperationID // unique to each change; retries reuse it
	Document  spec.Document
}

// Outcome is the known state of a change.
type Outcome string

// Outcomes of a change.
const (
	Accepted Outcome = "accepted" // in effect on every entry that may act
	Pending  Outcome = "pending"  // written, but not yet known to be in effect everywhere
	Unknown  Outcome = "unknown"  // possibly written; query again with the operation id
	Conflict Outcome = "conflict" // not written, since another change was written first
)

// Result is the answer to a change or a query.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the change as written or, for a conflict, the current revision.
	Revision spec.Revision `json:"revision"`
	// Missing are the entries that a pending change waits for. It may be empty
	// while the answering entry does not yet know all entries.
	Missing []unit.EntryID `json:"missing,omitempty"`
}

// Query identifies a change by its revision or by its operation. The operation is
// cheaper to find if the base is given as well.
type Query struct {
	Revision  unit.Revision
	Base      unit.Revision
	Operation unit.OperationID
}
