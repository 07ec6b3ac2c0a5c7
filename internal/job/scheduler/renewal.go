package scheduler

import "github.com/monsoonfold/monsoonfold/internal/fleet/unit"

// Renewal is what a heartbeat tells one incarnation of a worker. It means something else to
// any other one, whose clock and numbers of ends begin anew.
type Renewal struct {
	Incarnation Incarnation     // the one that it is meant for; 0: none is known
	Until       unit.WorkerTime // reading of its clock until which its lease is extended; 0: it is not
	Acked       EndNumber       // the worker drops ends up to this number
}

// For returns the renewal as it may be sent to an incarnation: an empty one unless that is
// the one which it is meant for.
func (r Renewal) For(i Incarnation) Renewal {
	if r.Incarnation != i {
		return Renewal{Incarnation: i}
	}
	return r
}
