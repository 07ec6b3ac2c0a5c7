// Package spec defines the target document, which is the whole configuration that
// operators state: classes of work with their targets, teams with quotas, and the
// state of each availability zone.
//
// The document contains no weights and names no instance. All functions are pure.
package spec

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Kind is the kind of work of a class.
type Kind string

// Kinds of work.
const (
	KindRequest  Kind = "request"  // requests of callers, which upstreams answer
	KindBatch    Kind = "batch"    // jobs whose tasks run to completion
	KindStanding Kind = "standing" // replicas that run until stopped
)

// Document is the target document.
type Document struct {
	Classes []Class `json:"classes"`
	Teams   []Team  `json:"teams,omitempty"`
	Zones   []Zone  `json:"zones"`
}

// Class is a class of work with its target.
type Class struct {
	Name    unit.ClassID   `json:"name"`
	Kind    Kind           `json:"kind"`
	Team    unit.TeamID    `json:"team,omitempty"`
	Service unit.ServiceID `json:"service,omitempty"` // request only: the service that answers
	Routes  []Route        `json:"routes,omitempty"`  // request only
	Target  Target         `json:"target"`
}

// Route selects the requests of a class. The longest matching prefix wins.
type Route struct {
	Prefix string `json:"prefix"`           // prefix of the URL path, starting with a slash
	Method string `json:"method,omitempty"` // empty matches every method
	Once   bool   `json:"once,omitempty"`   // the requests are not idempotent
}

// Target is the objective of a class. Which fields apply depends on the kind of the
// class; the others are zero.
type Target struct {
	// Request: Percentile percent of the requests complete within Bound.
	Percentile float64       `json:"percentile,omitempty"`
	Bound      unit.Duration `json:"bound,omitempty"`
	// Batch: a task starts within Start of its submission, and a job completes
	// within Finish of its submission. Zero means as capacity allows.
	Start  unit.Duration `json:"start,omitempty"`
	Finish unit.Duration `json:"finish,omitempty"`
	// Standing: at least Replicas replicas run in each zone that is in service.
	Replicas int `json:"replicas,omitempty"`
}

// Team is a team with the quota for all its running batch and standing tasks.
type Team struct {
	Name  unit.TeamID    `json:"name"`
	Quota unit.Resources `json:"quota"`
}

// Zone is an availability zone, which operators may take out of service.
type Zone struct {
	Name unit.ZoneID `json:"name"`
	Out  bool        `json:"out,omitempty"`
}

// Revision is one version of the document in the log of revisions.
type Revision struct {
	Number    unit.Revision    `json:"number"`
	Base      unit.Revision    `json:"base"` // revision that the author edited
	Author    unit.Operator    `json:"author"`
	Operation unit.OperationID `json:"operation"`
	Time      int64            `json:"time"` // Unix milliseconds, by the clock of the entry that wrote it
	Document  Document         `json:"document"`
}

// ZoneOut reports whether the zone is out of service or not in the document.
func (d *Document) ZoneOut(zone unit.ZoneID) bool {
	for _, z := range d.Zones {
		if z.Name == zone {
			return z.Out
		}
	}
	return true
}

// Class returns the class with the given name.
func (d *Document) Class(name unit.ClassID) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
