// Package burn tracks the error budget of each class: its burn rate over a short and
// a long window, when it will be exhausted, and what caused the misses. It does no
// I/O apart from writing reports, and reads no clock: the time is an argument.
package burn

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Sample is the outcome of one unit of work: a request, a task, or a check of
// whether a standing class has its replicas.
type Sample struct {
	Time       time.Time
	Class      unit.ClassID
	Good       bool            // whether it met the target of the class
	Zone       unit.ZoneID     // zone in which it ran, if it ran
	Worker     unit.InstanceID // worker that ran it, if any
	Antagonist unit.ClassID    // class that caused interference, if any
}
