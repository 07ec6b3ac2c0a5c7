// Package burn accounts for the error budget of each class: how fast it burns
// over a short and a long window, when it will be exhausted, and what caused it.
// It is pure: the time comes with each sample.
package burn

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Sample is one ended piece of work: a request, a task, or a check of whether a
// standing class has its replicas.
type Sample struct {
	Time       time.Time
	Class      unit.ClassID
	Good       bool            // it met the target of the class
	Zone       unit.ZoneID     // where it ran, if it ran
	Worker     unit.InstanceID // that ran it, if any
	Antagonist unit.ClassID    // the class blamed for interference, if any
}
