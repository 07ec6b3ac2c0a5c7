// Package upkeep takes machines out of service for their upkeep, in waves that
// operators ask for. The plan is pure; the service carries it out while this entry
// owns the shard.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Wave is a request that each of some machines has its upkeep.
type Wave struct {
	Number         unit.WaveNumber
	Machines       []unit.MachineID
	Duration       time.Duration // within which all should have had it
	MaxUnavailable int           // most machines that are away at a time
}

// Condition is the state of a machine.
type Condition uint8

// Conditions of a machine. All but Up mean that nothing runs there.
const (
	Up Condition = iota + 1
	Moving
	InUpkeep // has its upkeep
	Down
)

// Machine is what the provider says of a machine.
type Machine struct {
	ID        unit.MachineID
	Condition Condition
	Worker    unit.InstanceID // that lives there; empty if none does
}

// Outcome is the answer to an order for a machine.
type Outcome uint8

// Outcomes of an order.
const (
	Started   Outcome = iota + 1 // or done earlier
	Busy                         // the machine is not up, or leaving
	Fenced                       // another holder has a higher fence
	NotInWave                    // the machine is not one of the wave
	NotFound                     // there is no such machine
	Refused                      // surely not begun
	Unknown                      // no answer; it may have begun
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

// lateOrder is how long an order without an answer may still be carried out.
const lateOrder = 10 * time.Second

// Plan decides which machines have their upkeep next. It is not safe for use by
// several goroutines.
type Plan struct {
	waves map[unit.WaveNumber]*progress
}

// progress is how far a wave is.
type progress struct {
	wave    Wave
	begun   map[unit.MachineID]bool
	settled map[unit.MachineID]time.Time // when a list may show that an ordered machine is back
	said    State                        // last written
}

// State is the state of a wave as operators see it.
type State string

// States of a wave.
const (
	Running   State = "running"
	Completed State = "completed"
)

// NewPlan returns a plan without waves.
func NewPlan() *Plan { return &Plan{waves: map[unit.WaveNumber]*progress{}} }

// SetWave adds a wave, or changes what is asked of it.
func (p *Plan) SetWave(w Wave) {
	if old := p.waves[w.Number]; old != nil {
		old.wave = w
		return
	}
	p.waves[w.Number] = &progress{wave: w, begun: map[unit.MachineID]bool{}, settled: map[unit.MachineID]time.Time{}}
}

// Waves returns the numbers of all waves, in order.
func (p *Plan) Waves() []unit.WaveNumber { return slices.Sorted(maps.Keys(p.waves)) }

// Withdraw drops a wave that is not asked for any more.
func (p *Plan) Withdraw(n unit.WaveNumber) { delete(p.waves, n) }

// HasOpenWaves reports whether a wave is not completed, or not said to be.
func (p *Plan) HasOpenWaves() bool {
	for _, w := range p.waves {
		if w.said != Completed || w.state() != Completed {
			return true
		}
	}
	return false
}

// Candidate is a machine whose upkeep may begin once its worker can be spared.
type Candidate struct {
	Wave    unit.WaveNumber
	Machine unit.MachineID
	Worker  unit.InstanceID
}

// Observe takes a list of all machines that was asked for at a time, and returns the
// machines to vacate: of each wave as many as may be away.
func (p *Plan) Observe(machines []Machine, asked time.Time) []Candidate {
	listed := make(map[unit.MachineID]Machine, len(machines))
	for _, m := range machines {
		listed[m.ID] = m
	}
	var next []Candidate
	for _, n := range p.Waves() {
		next = append(next, p.waves[n].see(listed, asked)...)
	}
	return next
}

func (w *progress) see(listed map[unit.MachineID]Machine, asked time.Time) []Candidate {
	away := 0
	var waiting []Candidate
	for _, id := range w.wave.Machines {
		m, ok := listed[id]
		switch {
		case !ok:
			w.begun[id] = true // a machine that does not stay needs no upkeep
		case !w.back(m, asked):
			away++
		case !w.begun[id] && m.Condition == Up:
			waiting = append(waiting, Candidate{Wave: w.wave.Number, Machine: id, Worker: m.Worker})
		}
	}
	// Machines without a worker first: their upkeep disturbs nobody.
	slices.SortStableFunc(waiting, func(a, b Candidate) int { return cmp.Compare(min(len(a.Worker), 1), min(len(b.Worker), 1)) })
	return waiting[:min(len(waiting), max(w.wave.MaxUnavailable-away, 0))]
}

// back reports whether a machine is not away for its upkeep.
func (w *progress) back(m Machine, asked time.Time) bool {
	if m.Condition == InUpkeep {
		w.begun[m.ID] = true
		return false
	}
	settled, ordered := w.settled[m.ID]
	if ordered && asked.Before(settled) {
		return false
	}
	delete(w.settled, m.ID)
	return true
}

// RecordOutcome takes the answer to the order for a candidate.
func (p *Plan) RecordOutcome(c Candidate, o Outcome, now time.Time) {
	w := p.waves[c.Wave]
	if w == nil {
		return
	}
	switch o {
	case Started:
		w.begun[c.Machine] = true
		w.settled[c.Machine] = now
	case Unknown:
		w.settled[c.Machine] = now.Add(lateOrder)
	case NotFound, NotInWave:
		w.begun[c.Machine] = true
	}
}

// Report is a state of a wave to write.
type Report struct {
	Wave  unit.WaveNumber
	State State
}

// PendingReports returns the states that operators were not told yet.
func (p *Plan) PendingReports() []Report {
	var reports []Report
	for _, n := range p.Waves() {
		if w := p.waves[n]; w.state() != w.said {
			reports = append(reports, Report{Wave: n, State: w.state()})
		}
	}
	return reports
}

// MarkReported notes that a state is written.
func (p *Plan) MarkReported(r Report) {
	if w := p.waves[r.Wave]; w != nil {
		w.said = r.State
	}
}

func (w *progress) state() State {
	for _, id := range w.wave.Machines {
		if !w.begun[id] {
			return Running
		}
	}
	return Completed
}
