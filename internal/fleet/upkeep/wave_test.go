package upkeep

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var start = time.Unix(1_000_000, 0)

func atSecond(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// planEvent is a list of machines or the outcome of an order, and the expected
// result.
type planEvent struct {
	second     float64
	conditions map[unit.MachineID]Condition // listed machines; nil if the event is the outcome of an order
	machine    unit.MachineID
	outcome    Outcome
	candidates []unit.MachineID // expected candidates after a list
	state      State            // expected state after the event
}

// TestPlan guards against waves with more machines in upkeep than allowed, waves
// that complete too early, and waves that never complete.
func TestPlan(t *testing.T) {
	all := func(a, b, c Condition) map[unit.MachineID]Condition {
		return map[unit.MachineID]Condition{"a": a, "b": b, "c": c}
	}
	tests := []struct {
		name   string
		cap    int
		events []planEvent
	}{
		{"one after the other", 1, []planEvent{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Started, nil, Running},
			{1, all(InUpkeep, Up, Up), "", 0, nil, Running},
			{2, all(Up, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
			{2.1, nil, "b", Started, nil, Running},
			{2.05, all(Up, Up, Up), "", 0, nil, Running}, // requested before the outcome was known
			{4, all(Up, Up, Up), "", 0, []unit.MachineID{"c"}, Running},
			{4.1, nil, "c", Started, nil, Completed},
		}},
		{"two at a time", 2, []planEvent{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a", "b"}, Running},
			{0.1, nil, "a", Started, nil, Running},
			{1, all(InUpkeep, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"started by the previous owner", 1, []planEvent{
			{0, all(InUpkeep, Up, Up), "", 0, nil, Running},
			{1, all(Up, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"order without a response", 1, []planEvent{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Unknown, nil, Running},
			{1, all(Up, Up, Up), "", 0, nil, Running}, // the order may still be carried out
			{11, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
		}},
		{"refused orders", 1, []planEvent{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Refused, nil, Running},
			{1, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{1.1, nil, "a", Busy, nil, Running},
			{2, all(Down, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"machines that leave", 3, []planEvent{
			{0, map[unit.MachineID]Condition{"a": Up}, "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", NotFound, nil, Completed},
		}},
		{"machine not in the wave", 3, []planEvent{
			{0, map[unit.MachineID]Condition{"a": Up}, "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", NotInWave, nil, Completed},
		}},
		{"no machine allowed in upkeep", 0, []planEvent{
			{0, all(Up, Up, Up), "", 0, nil, Running},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlan()
			p.SetWave(Wave{Number: 7, Machines: []unit.MachineID{"a", "b", "c"}, Duration: time.Minute, MaxInUpkeep: tt.cap})
			for _, e := range tt.events {
				if e.conditions == nil {
					p.RecordOutcome(Candidate{Wave: 7, Machine: e.machine}, e.outcome, atSecond(e.second))
				} else {
					var machines []Machine
					for id, c := range e.conditions {
						machines = append(machines, Machine{ID: id, Condition: c, Worker: unit.InstanceID("i-" + id)})
					}
					var next []unit.MachineID
					for _, c := range p.Observe(machines, atSecond(e.second)) {
						next = append(next, c.Machine)
					}
					if diff := cmp.Diff(e.candidates, next); diff != "" {
						t.Errorf("at %g s: candidates (-want +got):\n%s", e.second, diff)
					}
				}
				if got := p.waves[7].state(); got != e.state {
					t.Errorf("at %g s: state %q, want %q", e.second, got, e.state)
				}
			}
		})
	}
}

// TestReports guards against writing a state again that is written already, and
// against not retrying a failed write.
func TestReports(t *testing.T) {
	p := NewPlan()
	p.SetWave(Wave{Number: 3, Machines: []unit.MachineID{"a"}, MaxInUpkeep: 1})
	running, completed := Report{3, Running}, Report{3, Completed}
	for _, step := range []struct {
		name string
		act  func()
		want []Report
		open bool
	}{
		{"new", func() {}, []Report{running}, true},
		{"write failed", func() {}, []Report{running}, true},
		{"written", func() { p.MarkReported(running) }, nil, true},
		{"begun", func() { p.RecordOutcome(Candidate{Wave: 3, Machine: "a"}, Started, atSecond(0)) }, []Report{completed}, true},
		{"said", func() { p.MarkReported(completed) }, nil, false},
		{"changed to include another machine", func() { p.SetWave(Wave{Number: 3, Machines: []unit.MachineID{"a", "b"}, MaxInUpkeep: 1}) }, []Report{running}, true},
	} {
		step.act()
		if diff := cmp.Diff(step.want, p.PendingReports()); diff != "" {
			t.Errorf("%s: reports (-want +got):\n%s", step.name, diff)
		}
		if got := p.HasOpenWaves(); got != step.open {
			t.Errorf("%s: open %v, want %v", step.name, got, step.open)
		}
	}
}
