// Package store is the client of the platform's key-value service and instance
// list. The protocol is described in docs/platform.md.
//
// Each method is one call to the service. A write has one of three outcomes: it
// succeeded, it certainly had no effect (ErrConflict, ErrUnavailable, ErrNotFound), or
// the outcome is unknown (ErrUnknown) and the caller must read the record back before
// it reports a result.
package store

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Errors of the service; compare with errors.Is.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the condition of a write did not hold.
	ErrConflict = errors.New("condition does not hold")
	// ErrGone means that the service no longer has the changes that a watch needs. The
	// caller must list again.
	ErrGone = errors.New("history is gone")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that the call was sent and no complete answer came.
	ErrUnknown = errors.New("outcome of the store call unknown")
)

// Key is the name of a record; slashes separate its parts.
type Key string

// LeaseID identifies a lease granted by the service.
type LeaseID string

// Record is a value with the store revision at which it was written.
type Record struct {
	Key      Key           `json:"key"`
	Value    []byte        `json:"value"` // at most 1 MB
	Revision unit.Revision `json:"revision"`
	Lease    LeaseID       `json:"lease,omitempty"` // the record is deleted when this lease ends
}

// Snapshot is a consistent set of records and the store revision of the read.
type Snapshot struct {
	Records  []Record      `json:"records"`
	Revision unit.Revision `json:"revision"`
}

// Event is one change that a watch reports.
type Event struct {
	Record  Record `json:"record"`
	Deleted bool   `json:"deleted,omitempty"` // only Key and Revision of the record are set
}

// Changes holds the events of a watch in order, and the revision to continue from.
type Changes struct {
	Events   []Event       `json:"events"`
	Revision unit.Revision `json:"revision"`
}

// Lease is a lease of the service. The records written with it are deleted when it
// ends.
type Lease struct {
	ID  LeaseID       `json:"id"`
	TTL unit.Duration `json:"ttl"`
}

// Condition is the condition under which a write takes effect.
type Condition struct {
	kind     conditionKind
	revision unit.Revision
}

type conditionKind uint8

const (
	conditionAlways conditionKind = iota
	conditionAbsent
	conditionRevision
)

// Always lets a write take effect unconditionally.
func Always() Condition { return Condition{} }

// IfAbsent lets a write take effect only if the key does not exist.
func IfAbsent() Condition { return Condition{kind: conditionAbsent} }

// IfRevision lets a write take effect only if the key was last written at r.
func IfRevision(r unit.Revision) Condition {
	return Condition{kind: conditionRevision, revision: r}
}

// Holds reports whether the condition holds for a key that has the record r, or that
// does not exist.
func (c Condition) Holds(r Record, exists bool) bool {
	switch c.kind {
	case conditionAbsent:
		return !exists
	case conditionRevision:
		return exists && r.Revision == c.revision
	}
	return true
}

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// States in the list, which lags behind the actual state of the instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID          unit.InstanceID `json:"id"`
	Zone        unit.ZoneID     `json:"zone"`
	Rack        unit.RackID     `json:"rack"`
	Service     unit.ServiceID  `json:"service"`
	State       InstanceState   `json:"state"`
	Upstream    string          `json:"upstream"` // IP and port for requests
	Control     string          `json:"control"`  // IP and port for task orders
	Capacity    unit.Resources  `json:"capacity"`
	Slots       int             `json:"slots"`       // concurrent requests of all entries together
	Connections int             `json:"connections"` // open connections of all entries together
}

// Listing is the instance list at a revision, or the difference from an earlier
// revision. The list has its own revisions, apart from those of the records.
type Listing struct {
	Instances []Instance        `json:"instances"`         // all of them, or in a difference the new and changed ones
	Removed   []unit.InstanceID `json:"removed,omitempty"` // only in a difference
	After     unit.Revision     `json:"after,omitempty"`   // the earlier revision of a difference; 0 for the whole list
	Revision  unit.Revision     `json:"revision"`
}

// Timeout limits each call other than a watch. The service answers in milliseconds; a
// call that takes longer than Timeout is treated as lost.
const Timeout = 2 * time.Second
