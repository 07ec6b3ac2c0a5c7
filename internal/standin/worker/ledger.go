package worker

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// ledgerLength bounds each list and map of the audit. What does not fit is
// counted in Audit.Dropped, so that a test can tell that it saw everything.
const ledgerLength = 1 << 18

// Run is one attempt that was started, in the wall time of the worker.
type Run struct {
	protocol.Ref
	Class unit.ClassID   `json:"class"`
	Size  unit.Resources `json:"size"`
	Start time.Time      `json:"start"`
	End   time.Time      `json:"end,omitzero"` // zero while it runs
	Phase protocol.Phase `json:"phase"`
}

// Audit is what a test needs to check the invariants that workers can see.
type Audit struct {
	Worker    unit.InstanceID `json:"worker"`
	Runs      []Run           `json:"runs"`
	Capacity  unit.Resources  `json:"capacity"`
	Committed unit.Resources  `json:"committed"` // highest in each component, with the reservation
	Full      int             `json:"full"`      // starts refused for lack of resources
	Late      int             `json:"late"`      // starts refused because NotAfter had passed
	Repeated  int             `json:"repeated"`  // starts of an attempt that was known already
	Stale     int             `json:"stale"`     // calls refused for their epoch

	Slots       int            `json:"slots"`       // highest number of requests at a time
	Connections int            `json:"connections"` // highest number of open upstream connections
	Refused     int            `json:"refused"`     // requests refused for lack of a slot
	Closed      int            `json:"closed"`      // connections closed for being too many
	Requests    int            `json:"requests"`    // requests that ran
	Keys        map[string]int `json:"keys"`        // runs by Idempotency-Key
	Checks      map[string]int `json:"checks"`      // runs by the check id of the caller
	Draining    time.Time      `json:"draining,omitzero"`
	LastRequest time.Time      `json:"lastrequest,omitzero"` // arrival of the last request
	LastStart   time.Time      `json:"laststart,omitzero"`   // arrival of the last order to start

	Dropped int `json:"dropped"` // entries beyond the bound of the audit
}

// ledger records what the runner did, by the worker's clock.
type ledger struct {
	runs      []record
	reserved  unit.Resources
	committed unit.Resources
	full      int
	late      int
	repeated  int
	stale     int
	dropped   int
}

type record struct {
	status     protocol.Status
	start, end unit.WorkerTime
}

func newLedger(reserved unit.Resources) ledger {
	return ledger{reserved: reserved, committed: reserved}
}

// begin records a start and returns its position, or -1 if there is no room.
func (l *ledger) begin(at unit.WorkerTime, s protocol.Status, committed unit.Resources) int {
	total := l.reserved.Add(committed)
	l.committed.Cores = max(l.committed.Cores, total.Cores)
	l.committed.Memory = max(l.committed.Memory, total.Memory)
	l.committed.Accelerators = max(l.committed.Accelerators, total.Accelerators)
	if len(l.runs) == ledgerLength {
		l.dropped++
		return -1
	}
	l.runs = append(l.runs, record{status: s, start: at})
	return len(l.runs) - 1
}

func (l *ledger) end(position int, at unit.WorkerTime, phase protocol.Phase) {
	if position < 0 {
		return
	}
	l.runs[position].status.Phase = phase
	l.runs[position].end = at
}

// audit returns the part of the audit that concerns tasks. The wall time of a
// reading is that of the boot plus the reading.
func (l *ledger) audit(boot time.Time) Audit {
	a := Audit{
		Runs: make([]Run, 0, len(l.runs)), Committed: l.committed, Full: l.full, Late: l.late,
		Repeated: l.repeated, Stale: l.stale, Dropped: l.dropped,
	}
	for _, r := range l.runs {
		run := Run{
			Ref: r.status.Ref, Class: r.status.Class, Size: r.status.Size, Phase: r.status.Phase,
			Start: boot.Add(time.Duration(r.start)),
		}
		if r.status.Phase != protocol.PhaseRunning {
			run.End = boot.Add(time.Duration(r.end))
		}
		a.Runs = append(a.Runs, run)
	}
	return a
}
