package overload

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// CoreSeconds is an amount of work.
type CoreSeconds float64

// Class says of what use waiting work still is. Lower classes are placed first.
type Class uint8

// Classes of work.
const (
	Timely  Class = iota // can still meet its objective
	Late                 // misses its objective and is still of use
	Useless              // completes after it has been of any use
)

var classNames = [...]string{Timely: "timely", Late: "late", Useless: "useless"}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// Work describes an occurrence of a job that has work to do.
type Work struct {
	Priority  graph.Priority
	Due       time.Time     // when it could start
	Objective time.Time     // by when it earns its full value
	Useful    time.Time     // by when it earns any value
	Chain     time.Duration // expected duration of the remaining chain of steps at full speed
	// Spread is the standard deviation of the logarithm of the actual over the expected
	// duration of the chain.
	Spread      float64
	Remaining   CoreSeconds // expected work that is left
	Done        CoreSeconds // work that is lost if it is never completed
	Value       float64     // what it earns within its objective; see Value
	LongRunning bool
	Class       Class // by the previous assessment
}

// Parameters of the value of a job.
const (
	baseValue     = 0.3 // of a job without any work
	valuePerWork  = 0.7 // for as much work as the mean of its class
	maxValue      = 4.0
	LateShare     = 0.15 // of the value, for work that is late and of use
	UsefulFactor  = 3    // how many times the objective a job may take and be of use
	spreadMargin  = 1.0  // standard deviations by which a chain may be shorter than expected before its work counts as late
	returnMargin  = 0.1  // share of the allowed time that work needs to spare before its class improves
	minReturnTime = 100 * time.Millisecond
)

// Value returns what a job earns that completes within its objective, by its work and the
// mean work of the jobs of its class.
func Value(work, mean CoreSeconds) float64 {
	if mean <= 0 {
		return 1
	}
	return min(maxValue, baseValue+valuePerWork*float64(work/mean))
}

// ValueAt returns what a job of the given full value earns that completes at a time.
func ValueAt(full float64, objective, useful, completed time.Time) float64 {
	switch {
	case !completed.After(objective):
		return full
	case !completed.After(useful):
		return LateShare * full
	}
	return 0
}
