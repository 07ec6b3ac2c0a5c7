// Package upkeep takes machines out of service for maintenance (upkeep), in waves
// that operators request. Plan decides which machines are next, without calls or a
// clock of its own; Service carries the plan out while this entry owns the shard.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Wave is an operator's request for the upkeep of a set of machines.
type Wave struct {
	Number      unit.WaveNumber
	Machines    []unit.MachineID
	Duration    time.Duration // time within which all machines should have had their upkeep
	MaxInUpkeep int           // maximum number of machines in upkeep at the same time
}

// Condition is the condition of a machine.
type Condition uint8

// Conditions of a machine. No task runs on a machine unless it is Up.
const (
	Up Condition = iota + 1
	Moving
	InUpkeep
	Down
)

// Machine is one machine in the provider's list.
type Machine struct {
	ID        unit.MachineID
	Condition Condition
	Worker    unit.InstanceID // worker on the machine, or empty
}

// Outcome is the outcome of an order for the upkeep of a machine.
type Outcome uint8

// Outcomes of an order.
const (
	Started   Outcome = iota + 1 // now, or by an earlier order
	Busy                         // the machine is not up, or it is leaving
	Fenced                       // another holder has ordered with a higher fencing token
	NotInWave                    // the machine is not part of the wave
	NotFound                     // the machine does not exist
	Refused                      // definitely not started
	Unknown                      // no response; the upkeep may have started
)

var outcomeNames = [...]string{
	Started: "begun", Busy: "busy", Fenced: "fenced", NotInWave: "not of the wave", NotFound: "gone", Refused: "refused", Unknown: "unknown",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o == 0 || int(o) >= len(outcomeNames) {
		return "none"
	}
	return outcomeNames[o]
}

// unknownOrderTimeout is how long after an unknown outcome the order may still be
// carried out.
const unknownOrderTimeout = 10 * time.Second

// Plan decides which machines have their upkeep next. It is not safe for concurrent
// use.
type Plan struct {
	waves map[unit.WaveNumber]*waveProgress
}

// waveProgress is the progress of one wave.
type waveProgress struct {
	wave           Wave
	started        map[unit.MachineID]bool      // machines whose upkeep started, or that need none
	availableAfter map[unit.MachineID]time.Time // a list requested earlier may not show an ordered upkeep yet
	reported       State                        // state last written
}

// State is the state of a wave that operators see.
type State string

// States of a wave.
const (
	Running   State = "running"
	Completed State = "completed"
)

// NewPlan returns a plan without waves.
func NewPlan() *Plan { return &Plan{waves: map[unit.WaveNumber]*waveProgress{}} }

// SetWave adds a wave, or updates one and keeps its progress.
func (p *Plan) SetWave(w Wave) {
	if existing := p.waves[w.Number]; existing != nil {
		existing.wave = w
		return
	}
	p.waves[w.Number] = &waveProgress{wave: w, started: map[unit.MachineID]bool{}, availableAfter: map[unit.MachineID]time.Time{}}
}

// Waves returns the numbers of all waves in ascending order.
func (p *Plan) Waves() []unit.WaveNumber { return slices.Sorted(maps.Keys(p.waves)) }

// Withdraw removes a wave that its operator has withdrawn.
func (p *Plan) Withdraw(n unit.WaveNumber) { delete(p.waves, n) }

// HasOpenWaves reports whether a wave is not completed, or its completion is not
// yet written.
func (p *Plan) HasOpenWaves() bool {
	for _, w := range p.waves {
		if w.reported != Completed || w.state() != Completed {
			return true
		}
	}
	return false
}

// Candidate is a machine whose upkeep may start once its worker can be stopped.
type Candidate struct {
	Wave    unit.WaveNumber
	Machine unit.MachineID
	Worker  unit.InstanceID
}

// Observe updates the progress from a list of all machines, which was requested at
// the given time, and returns the machines to drain next: for each wave as many as
// MaxInUpkeep allows.
func (p *Plan) Observe(machines []Machine, requestedAt time.Time) []Candidate {
	listed := make(map[unit.MachineID]Machine, len(machines))
	for _, m := range machines {
		listed[m.ID] = m
	}
	var candidates []Candidate
	for _, n := range p.Waves() {
		candidates = append(candidates, p.waves[n].candidates(listed, requestedAt)...)
	}
	return candidates
}

// candidates returns the machines of the wave to drain next.
func (w *waveProgress) candidates(listed map[unit.MachineID]Machine, requestedAt time.Time) []Candidate {
	inUpkeep := 0
	var eligible []Candidate
	for _, id := range w.wave.Machines {
		m, ok := listed[id]
		switch {
		case !ok:
			w.started[id] = true // a machine that has left needs no upkeep
		case !w.isAvailable(m, requestedAt):
			inUpkeep++
		case !w.started[id] && m.Condition == Up:
			eligible = append(eligible, Candidate{Wave: w.wave.Number, Machine: id, Worker: m.Worker})
		}
	}
	// Machines without a worker come first, since their upkeep disturbs no task.
	slices.SortStableFunc(eligible, func(a, b Candidate) int { return cmp.Compare(min(len(a.Worker), 1), min(len(b.Worker), 1)) })
	return eligible[:min(len(eligible), max(w.wave.MaxInUpkeep-inUpkeep, 0))]
}

// isAvailable reports whether a machine is neither in upkeep nor possibly about to
// be, and records that the upkeep of one in upkeep has started.
func (w *waveProgress) isAvailable(m Machine, requestedAt time.Time) bool {
	if m.Condition == InUpkeep {
		w.started[m.ID] = true
		return false
	}
	availableAfter, ordered := w.availableAfter[m.ID]
	if ordered && requestedAt.Before(availableAfter) {
		return false
	}
	delete(w.availableAfter, m.ID)
	return true
}

// RecordOutcome records the outcome of the order for a candidate.
func (p *Plan) RecordOutcome(c Candidate, o Outcome, now time.Time) {
	w := p.waves[c.Wave]
	if w == nil {
		return
	}
	switch o {
	case Started:
		w.started[c.Machine] = true
		w.availableAfter[c.Machine] = now
	case Unknown:
		w.availableAfter[c.Machine] = now.Add(unknownOrderTimeout)
	case NotFound, NotInWave:
		w.started[c.Machine] = true
	}
}

// Report is the state of a wave that is to be written.
type Report struct {
	Wave  unit.WaveNumber
	State State
}

// PendingReports returns the states that differ from those last written.
func (p *Plan) PendingReports() []Report {
	var reports []Report
	for _, n := range p.Waves() {
		if w := p.waves[n]; w.state() != w.reported {
			reports = append(reports, Report{Wave: n, State: w.state()})
		}
	}
	return reports
}

// MarkReported records that a state has been written.
func (p *Plan) MarkReported(r Report) {
	if w := p.waves[r.Wave]; w != nil {
		w.reported = r.State
	}
}

// state returns Completed once the upkeep of every machine has started or is not
// needed.
func (w *waveProgress) state() State {
	for _, id := range w.wave.Machines {
		if !w.started[id] {
			return Running
		}
	}
	return Completed
}
