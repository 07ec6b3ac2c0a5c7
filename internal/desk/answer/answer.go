// Package answer defines the response bodies of the operator API, which its
// server and its client share.
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

// OperationHeader is the header with the operation id of a change. An operator
// who repeats a change after a lost answer sends the same id, so that the change
// takes effect once.
const OperationHeader = "Monsoonfold-Operation"

// Fault describes why a call failed. It implements error.
type Fault struct {
	Code     string           `json:"code"`
	Message  string           `json:"message"`
	NextStep string           `json:"next"` // what the operator can do about it
	Faults   []document.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (f *Fault) Error() string { return f.Code + ": " + f.Message }

// ErrorBody is the response body of a call that failed.
type ErrorBody struct {
	Error *Fault `json:"error,omitempty"`
}

// Change is the response body of a change. Error is set unless the change was
// accepted.
type Change struct {
	change.Result
	Operation unit.OperationID `json:"operation"`
	Error     *Fault           `json:"error,omitempty"`
}

// History lists revisions, newest first.
type History struct {
	Revisions []spec.Revision `json:"revisions"`
}

// Zones lists the availability zones as of a revision.
type Zones struct {
	Revision unit.Revision `json:"revision"`
	Zones    []spec.Zone   `json:"zones"`
}

// Jobs lists the records of all jobs.
type Jobs struct {
	Jobs []ledger.Record `json:"jobs"`
}

// CancelledJob identifies a job that was cancelled.
type CancelledJob struct {
	ID unit.JobID `json:"id"`
}

// ForgottenEntry identifies a lost entry whose lasting record was deleted.
type ForgottenEntry struct {
	ID unit.EntryID `json:"id"`
}

// Explanation holds the events that the entries recorded about a subject.
type Explanation struct {
	Subject journal.Subject `json:"subject"`
	Entries []EntryEvents   `json:"entries"`
}

// EntryEvents holds the events that one entry recorded about a subject.
type EntryEvents struct {
	Entry  unit.EntryID    `json:"entry"`
	Since  time.Time       `json:"since"` // when the entry began to record events
	Events []journal.Event `json:"events"`
	Error  string          `json:"error,omitempty"` // why the entry gave no events
}

// LostEntry is an entry whose registration ended without a graceful stop.
type LostEntry struct {
	Entry         unit.EntryID `json:"entry"`
	Since         time.Time    `json:"since"`   // when the answering entry first found it lost
	BlocksChanges bool         `json:"changes"` // delays changes that the lost entry does not have
	BlocksSlots   bool         `json:"slots"`   // delays the use of gained slots
}

// Status is the state of one entry as it reports it.
type Status struct {
	Entry            unit.EntryID   `json:"entry"`
	View             []roster.Entry `json:"view"`
	Lost             []LostEntry    `json:"lost,omitempty"`
	Configuration    unit.Revision  `json:"configuration"`
	Author           unit.Operator  `json:"author"`
	Registered       bool           `json:"registered"`
	MayStartTasks    bool           `json:"starts"` // whether the entry may start tasks now
	MayServeRequests bool           `json:"serves"` // whether the entry may serve requests now
}
