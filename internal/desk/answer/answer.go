// Package answer has the bodies of the operator API, shared by its server and
// its client.
package answer

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// OperationHeader has the operation id of a change. An operator who repeats a
// change whose answer was lost sends the same one.
const OperationHeader = "Monsoonfold-Operation"

// Fault tells what is wrong with a call. It is an error.
type Fault struct {
	Code     string           `json:"code"`
	Message  string           `json:"message"`
	NextStep string           `json:"next"` // what the operator can do
	Faults   []document.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (f *Fault) Error() string { return f.Code + ": " + f.Message }

// ErrorBody is the body of a call that is not a success.
type ErrorBody struct {
	Error *Fault `json:"error,omitempty"`
}

// Change is the body of the answer to a change. Its error is set unless the
// change was accepted.
type Change struct {
	change.Result
	Operation unit.OperationID `json:"operation"`
	Error     *Fault           `json:"error,omitempty"`
}

// History has revisions, newest first.
type History struct {
	Revisions []spec.Revision `json:"revisions"`
}

// Zones has the availability zones as of a revision.
type Zones struct {
	Revision unit.Revision `json:"revision"`
	Zones    []spec.Zone   `json:"zones"`
}

// Jobs has the records of all jobs.
type Jobs struct {
	Jobs []ledger.Record `json:"jobs"`
}

// CancelledJob names a job that was cancelled.
type CancelledJob struct {
	ID unit.JobID `json:"id"`
}

// ForgottenEntry names a lost entry whose lasting record was deleted.
type ForgottenEntry struct {
	ID unit.EntryID `json:"id"`
}

// Explanation is what the entries know about a subject.
type Explanation struct {
	Subject journal.Subject `json:"subject"`
	Entries []EntryEvents   `json:"entries"`
}

// EntryEvents is what one entry knows about a subject.
type EntryEvents struct {
	Entry  unit.EntryID    `json:"entry"`
	Since  time.Time       `json:"since"` // from when the entry has data
	Events []journal.Event `json:"events"`
	Error  string          `json:"error,omitempty"` // why nothing is known from this entry
}

// LostEntry is an entry whose registration ended without a graceful stop.
type LostEntry struct {
	Entry         unit.EntryID `json:"entry"`
	Since         time.Time    `json:"since"`   // when the answering entry first saw it lost
	BlocksChanges bool         `json:"changes"` // holds back changes that it does not have
	BlocksSlots   bool         `json:"slots"`   // delays the use of gained slots
}

// Status is the state of one entry.
type Status struct {
	Entry            unit.EntryID   `json:"entry"`
	View             []roster.Entry `json:"view"`
	Lost             []LostEntry    `json:"lost,omitempty"`
	Configuration    unit.Revision  `json:"configuration"`
	Author           unit.Operator  `json:"author"`
	Registered       bool           `json:"registered"`
	MayStartTasks    bool           `json:"starts"` // may start tasks
	MayServeRequests bool           `json:"serves"` // may serve requests
}
