package upkeep

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var epoch0 = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return epoch0.Add(time.Duration(s * float64(time.Second))) }

// event is one thing that happens to a plan.
type event struct {
	second  float64
	list    map[unit.MachineID]Condition // a list of machines was asked for; nil: an order was answered
	ordered unit.MachineID
	outcome Outcome
	next    []unit.MachineID // candidates after the list
	state   State            // after the event
}

// TestPlan guards against waves that take more machines away than their cap, that
// are said to be completed too early, or that never end.
func TestPlan(t *testing.T) {
	all := func(a, b, c Condition) map[unit.MachineID]Condition {
		return map[unit.MachineID]Condition{"a": a, "b": b, "c": c}
	}
	tests := []struct {
		name   string
		cap    int
		events []event
	}{
		{"one after the other", 1, []event{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Started, nil, Running},
			{1, all(InUpkeep, Up, Up), "", 0, nil, Running},
			{2, all(Up, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
			{2.1, nil, "b", Started, nil, Running},
			{2.05, all(Up, Up, Up), "", 0, nil, Running}, // a list from before the answer
			{4, all(Up, Up, Up), "", 0, []unit.MachineID{"c"}, Running},
			{4.1, nil, "c", Started, nil, Completed},
		}},
		{"two at a time", 2, []event{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a", "b"}, Running},
			{0.1, nil, "a", Started, nil, Running},
			{1, all(InUpkeep, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"begun by an owner before", 1, []event{
			{0, all(InUpkeep, Up, Up), "", 0, nil, Running},
			{1, all(Up, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"order without an answer", 1, []event{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Unknown, nil, Running},
			{1, all(Up, Up, Up), "", 0, nil, Running}, // it may still be carried out
			{11, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
		}},
		{"refused orders", 1, []event{
			{0, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", Refused, nil, Running},
			{1, all(Up, Up, Up), "", 0, []unit.MachineID{"a"}, Running},
			{1.1, nil, "a", Busy, nil, Running},
			{2, all(Down, Up, Up), "", 0, []unit.MachineID{"b"}, Running},
		}},
		{"machines that leave", 3, []event{
			{0, map[unit.MachineID]Condition{"a": Up}, "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", NotFound, nil, Completed},
		}},
		{"foreign machine", 3, []event{
			{0, map[unit.MachineID]Condition{"a": Up}, "", 0, []unit.MachineID{"a"}, Running},
			{0.1, nil, "a", NotInWave, nil, Completed},
		}},
		{"no room in the cap", 0, []event{
			{0, all(Up, Up, Up), "", 0, nil, Running},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlan()
			p.SetWave(Wave{Number: 7, Machines: []unit.MachineID{"a", "b", "c"}, Duration: time.Minute, MaxUnavailable: tt.cap})
			for _, e := range tt.events {
				if e.list == nil {
					p.RecordOutcome(Candidate{Wave: 7, Machine: e.ordered}, e.outcome, at(e.second))
				} else {
					var machines []Machine
					for id, c := range e.list {
						machines = append(machines, Machine{ID: id, Condition: c, Worker: unit.InstanceID("i-" + id)})
					}
					var next []unit.MachineID
					for _, c := range p.Observe(machines, at(e.second)) {
						next = append(next, c.Machine)
					}
					if diff := cmp.Diff(e.next, next); diff != "" {
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

// TestReports guards against a state that is written again and again, or not
// again after a write that failed.
func TestReports(t *testing.T) {
	p := NewPlan()
	p.SetWave(Wave{Number: 3, Machines: []unit.MachineID{"a"}, MaxUnavailable: 1})
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
		{"begun", func() { p.RecordOutcome(Candidate{Wave: 3, Machine: "a"}, Started, at(0)) }, []Report{completed}, true},
		{"said", func() { p.MarkReported(completed) }, nil, false},
		{"asked for again with another machine", func() { p.SetWave(Wave{Number: 3, Machines: []unit.MachineID{"a", "b"}, MaxUnavailable: 1}) }, []Report{running}, true},
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
