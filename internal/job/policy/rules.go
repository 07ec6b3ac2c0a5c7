// Package policy joins placement, interference and control for the dispatcher of
// a shard: Core decides and is pure; Service is the shell that feeds the cores and
// carries out what they ask for.
//
// The rules of this file are used by the replay of package replay as well, so that
// its measurements hold for what runs.
package policy

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

const (
	// shiftHold is the time until reports show the load that the other zones take
	// over: a report interval, the lag, and a margin.
	shiftHold = 12 * time.Second
	// scouts is the number of tasks of a job that may run before its size is
	// known, if others wait. It has to be more than the tasks that make it known.
	scouts    = 8
	scoutTime = 45 * time.Second
	// measureAge is the age at which a task counts as showing its size.
	measureAge = 20 * time.Second
	// heldFactor is the growth of the cores of a task that uses all it has.
	heldFactor = 1.25
)

// SizeTrial is what the tasks of one job have shown of its size.
type SizeTrial struct {
	Peak    interference.JobPeak
	Running int
	first   time.Time // start of the first task; zero before
}

// RecordStart counts a task that starts.
func (t *SizeTrial) RecordStart(now time.Time) {
	if t.first.IsZero() {
		t.first = now
	}
	t.Running++
}

// RecordUsage takes what a running task uses, and reports whether that counts. A task
// that was measured before is counted once.
func (t *SizeTrial) RecordUsage(used, size unit.Resources, age time.Duration, measured bool) bool {
	if age < measureAge {
		return measured
	}
	t.RecordPeak(InferDemand(used, size), measured)
	return true
}

// InferDemand returns what a task is taken to need by what it used: more, if it used all
// of its cores.
func InferDemand(used, size unit.Resources) unit.Resources {
	if used.Cores >= size.Cores {
		used.Cores = unit.Millicores(heldFactor * float64(used.Cores))
	}
	return used
}

// RecordPeak takes the peak of a task that was done.
func (t *SizeTrial) RecordPeak(peak unit.Resources, measured bool) {
	if measured {
		t.Peak.Raise(peak)
	} else {
		t.Peak.Add(peak)
	}
}

// Admission decides whether batch tasks may be placed at all at a moment. The zero
// value lets all of them through.
type Admission struct {
	until     time.Time // no batch starts before
	contended bool      // a task found no worker in the last round
	waiting   bool      // one did in this round
}

// RecordZoneOut notes that a zone went out of service.
func (g *Admission) RecordZoneOut(now time.Time) { g.until = now.Add(shiftHold) }

// StartRound begins a round of placement.
func (g *Admission) StartRound() { g.contended, g.waiting = g.waiting, false }

// RecordUnplaced notes that a task found no worker.
func (g *Admission) RecordUnplaced() { g.waiting = true }

// DelayedByZoneOut reports whether batch tasks wait for reports that show the load after a
// zone went out. Tasks that have to start sooner than that do not wait; start is
// the target of their class, or 0.
func (g *Admission) DelayedByZoneOut(now time.Time, start time.Duration) bool {
	return now.Before(g.until) && (start == 0 || start >= shiftHold)
}

// TrialLimited reports whether a job of unknown size has enough tasks running while
// other tasks wait.
func (g *Admission) TrialLimited(now time.Time, t *SizeTrial) bool {
	if !g.contended || t.Peak.Known() || t.Running < scouts || now.Sub(t.first) >= scoutTime {
		return false
	}
	g.waiting = true // its own tasks wait
	return true
}

// TaskTiming is what is known of the run of a task.
type TaskTiming struct {
	Started      time.Time
	DeclaredWork time.Duration // run time
	Submitted    time.Time
	Finish       time.Duration // by the target of its class; 0 if none
}

// Estimate completes a running task with its time left and its deadline.
func (p TaskTiming) Estimate(now time.Time, t control.Task, sizes *interference.SizeEstimator) control.Task {
	t.UnsavedWork, t.Checkpointable = now.Sub(p.Started), true
	if t.Standing {
		return t
	}
	_, bound, _ := sizes.Work(t.Class, p.DeclaredWork)
	t.Remaining = max(bound-now.Sub(p.Started), time.Second)
	if p.Finish > 0 {
		t.Deadline = p.Submitted.Add(p.Finish)
	}
	return t
}

// Candidates groups tasks by worker for control.Room. The tasks of one worker must be
// adjacent.
func Candidates(tasks []control.Task, free func(unit.InstanceID) unit.Resources) []control.Candidate {
	var hosts []control.Candidate
	for _, t := range tasks {
		if n := len(hosts); n == 0 || hosts[n-1].ID != t.Worker {
			hosts = append(hosts, control.Candidate{ID: t.Worker, Free: free(t.Worker)})
		}
		h := &hosts[len(hosts)-1]
		h.Tasks = append(h.Tasks, t)
	}
	return hosts
}

// CoresDelta returns the change of the cores that a task may use if its share
// changes.
func CoresDelta(cores unit.Millicores, from, to float64) unit.Millicores {
	return unit.Millicores(float64(cores)*to) - unit.Millicores(float64(cores)*from)
}
