// Package policy combines placement, interference and control into the decisions that
// the dispatcher of a shard needs. Core makes the decisions without I/O or a clock.
// Service passes reports and signals to the cores and carries out their actions.
//
// Package replay uses the rules of this file too, so that its measurements hold for
// the running scheduler.
package policy

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

const (
	// zoneOutDelay is the time after a zone goes out of service until reports show the
	// load that the other zones take over: a report interval, the lag of a report, and
	// a margin.
	zoneOutDelay = 12 * time.Second
	// maxTrialTasks is the number of tasks of a job that may run before its size is
	// known, while other tasks wait. It must exceed the number of tasks that make the
	// size known. The limit ends trialTimeout after the first start.
	maxTrialTasks = 8
	trialTimeout  = 45 * time.Second
	// minMeasureAge is the age from which the usage of a task counts as its size.
	minMeasureAge = 20 * time.Second
	// saturationFactor is the factor by which the cores of a task are raised in the
	// estimate if it uses all of them.
	saturationFactor = 1.25
)

// SizeTrial collects what the tasks of one job show about their size. Until the size is
// known, few tasks of the job run while other tasks wait.
type SizeTrial struct {
	Peak    interference.JobPeak
	Running int
	// firstStart is the start of the first task; zero before.
	firstStart time.Time
}

// RecordStart records the start of a task.
func (t *SizeTrial) RecordStart(now time.Time) {
	if t.firstStart.IsZero() {
		t.firstStart = now
	}
	t.Running++
}

// RecordUsage records the usage of a running task if the task is old enough, and returns
// whether the task is measured by now. A measured task counts only once in the peak.
func (t *SizeTrial) RecordUsage(used, size unit.Resources, age time.Duration, measured bool) bool {
	if age < minMeasureAge {
		return measured
	}
	t.RecordPeak(InferDemand(used, size), measured)
	return true
}

// InferDemand estimates what a task needs from what it used. The estimate has more cores
// if the task used all of its own.
func InferDemand(used, size unit.Resources) unit.Resources {
	if used.Cores >= size.Cores {
		used.Cores = unit.Millicores(saturationFactor * float64(used.Cores))
	}
	return used
}

// RecordPeak records the peak usage of a task; measured says whether the task has been
// counted before.
func (t *SizeTrial) RecordPeak(peak unit.Resources, measured bool) {
	if measured {
		t.Peak.Raise(peak)
	} else {
		t.Peak.Add(peak)
	}
}

// Admission decides whether batch tasks may be placed at the moment. The zero value
// admits all of them.
type Admission struct {
	batchDelayedUntil time.Time
	// contended is set if a task found no worker in the last round.
	contended bool
	// unplaced is set if a task found no worker in this round.
	unplaced bool
}

// RecordZoneOut records that a zone went out of service.
func (a *Admission) RecordZoneOut(now time.Time) { a.batchDelayedUntil = now.Add(zoneOutDelay) }

// StartRound starts a round of placement.
func (a *Admission) StartRound() { a.contended, a.unplaced = a.unplaced, false }

// RecordUnplaced records that a task found no worker in this round.
func (a *Admission) RecordUnplaced() { a.unplaced = true }

// DelayedByZoneOut reports whether batch tasks have to wait for reports that show the load
// after a zone went out of service. Tasks whose start target is shorter than that wait
// do not; start is the target of their class, or 0 if it has none.
func (a *Admission) DelayedByZoneOut(now time.Time, start time.Duration) bool {
	return now.Before(a.batchDelayedUntil) && (start == 0 || start >= zoneOutDelay)
}

// TrialLimited reports whether a job may start no further task, since its size is unknown,
// maxTrialTasks of its tasks run and other tasks wait.
func (a *Admission) TrialLimited(now time.Time, t *SizeTrial) bool {
	if !a.contended || t.Peak.Known() || t.Running < maxTrialTasks || now.Sub(t.firstStart) >= trialTimeout {
		return false
	}
	a.unplaced = true // the tasks of this job wait too
	return true
}

// TaskTiming has the times from which the remaining run time of a task and its deadline
// follow.
type TaskTiming struct {
	Started time.Time
	// DeclaredWork is the run time that the job declares.
	DeclaredWork time.Duration
	Submitted    time.Time
	// Finish is the time from submission to the deadline by the target of the class;
	// 0 if there is none.
	Finish time.Duration
}

// Estimate returns the task with its unsaved work, remaining run time and deadline.
func (timing TaskTiming) Estimate(now time.Time, t control.Task, sizes *interference.SizeEstimator) control.Task {
	t.UnsavedWork, t.Checkpointable = now.Sub(timing.Started), true
	if t.Standing {
		return t
	}
	_, bound, _ := sizes.Work(t.Class, timing.DeclaredWork)
	t.Remaining = max(bound-now.Sub(timing.Started), time.Second)
	if timing.Finish > 0 {
		t.Deadline = timing.Submitted.Add(timing.Finish)
	}
	return t
}

// Candidates groups tasks by worker for control.Preempt. The tasks of one worker must be
// adjacent.
func Candidates(tasks []control.Task, free func(unit.InstanceID) unit.Resources) []control.Candidate {
	var candidates []control.Candidate
	for _, t := range tasks {
		if n := len(candidates); n == 0 || candidates[n-1].ID != t.Worker {
			candidates = append(candidates, control.Candidate{ID: t.Worker, Free: free(t.Worker)})
		}
		last := &candidates[len(candidates)-1]
		last.Tasks = append(last.Tasks, t)
	}
	return candidates
}

// CoresDelta returns by how much the cores that a task may use change if its share
// changes.
func CoresDelta(cores unit.Millicores, from, to float64) unit.Millicores {
	return unit.Millicores(float64(cores)*to) - unit.Millicores(float64(cores)*from)
}
