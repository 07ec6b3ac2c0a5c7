package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/job/placement"
)

var close3 = cmpopts.EquateApprox(1e-3, 1e-9)

// TestFit guards against slopes that the measured points do not show.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Line
		fails  bool
	}{
		{"exact line", []Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}}, Line{Slope: 2, Intercept: 3}, false},
		{"constant", []Point{{X: 1, Y: 4}, {X: 9, Y: 4}}, Line{Intercept: 4}, false},
		{"zero", []Point{{X: 1}, {X: 2}}, Line{}, false},
		{"bent", []Point{{X: 0, Y: 0}, {X: 1, Y: 1}, {X: 2, Y: 4}}, Line{Slope: 2, Intercept: -1.0 / 3, Worst: 1.0 / 6}, false},
		{"one size", []Point{{X: 3, Y: 1}, {X: 3, Y: 2}}, Line{}, true},
		{"none", nil, Line{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Fit(tt.points)
			if (err != nil) != tt.fails {
				t.Fatalf("error %v, want one: %v", err, tt.fails)
			}
			if diff := cmp.Diff(tt.want, got, close3); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMedian guards against one slow run that changes a processor time, and
// against a spread that hides it.
func TestMedian(t *testing.T) {
	tests := []struct {
		values         []float64
		middle, spread float64
	}{
		{[]float64{2}, 2, 0},
		{[]float64{9, 2, 1}, 2, 4},
		{[]float64{4, 2, 1, 3}, 2.5, 1.2},
		{[]float64{0, 0}, 0, 0},
	}
	for _, tt := range tests {
		middle, spread := median(tt.values)
		if middle != tt.middle || math.Abs(spread-tt.spread) > 1e-9 {
			t.Errorf("median of %v = %v, spread %v; want %v, %v", tt.values, middle, spread, tt.middle, tt.spread)
		}
	}
}

// TestClaimCalls guards against a rate above that of one write per bucket and
// window of each entry, and against one above the rate of requests.
func TestClaimCalls(t *testing.T) {
	tests := []struct {
		entries                        int
		once, written, conflicts, held float64
	}{
		{42, 0, 0, 0, 0},
		{1, 32, 32 / 1.01, 0, 10800},
		{2, 64, 64 / 1.01, 32 / 1.01, 20000},
		{4, 1e9, 12800, 9600, 20000},
	}
	for _, tt := range tests {
		target := Target{Entries: tt.entries, Once: tt.once}
		written, conflicts := target.ClaimCalls()
		want, got := []float64{tt.written, tt.conflicts, tt.held}, []float64{written, conflicts, target.heldClaims()}
		if diff := cmp.Diff(want, got, cmpopts.EquateApprox(1e-4, 1e-9)); diff != "" {
			t.Errorf("%d entries, %v requests/s (-want +got):\n%s", tt.entries, tt.once, diff)
		}
	}
	if got := MostOnce(); math.Abs(got-59.26) > 0.01 {
		t.Errorf("records are full at %v requests/s, want 59.26", got)
	}
}

// TestParts guards against a model that knows other parts of a job than
// job/dispatch makes.
func TestParts(t *testing.T) {
	tests := []struct {
		tasks int
		want  float64
	}{{1, 1}, {8, 1}, {9, 8}, {56, 8}, {500, 8}}
	for _, tt := range tests {
		if got := (Target{JobTasks: tt.tasks, Shards: 56}).Parts(); got != tt.want {
			t.Errorf("%d tasks: %v parts, want %v", tt.tasks, got, tt.want)
		}
	}
}

// flat returns measurements in which every series that the model asks for is one
// per size, so that sums can be checked by hand.
func flat() *Measured {
	m := &Measured{Base: 10}
	add := func(q Quantity, line Line, names ...string) {
		for _, n := range names {
			m.Series = append(m.Series, Series{Probe: n, Quantity: q, Line: line})
		}
	}
	add(Heap, Line{Slope: 1}, "interference", "connection to a worker", "report of a worker", "view", "instances",
		"document", "slots", "claims", "burn", "journal", probePeak, probeQuiet)
	add(Encoded, Line{Slope: 1}, callWorker, callStore, "job record", "push", "document", "claims", "view", "difference",
		"shard records", "team usage", "peer exchange")
	for _, p := range []string{probePeak, probeQuiet} {
		add(Rate, Line{Slope: 0.5}, p+" heartbeats")
		add(Rate, Line{}, p+" order calls", p+" job writes")
		add(Rate, Line{Intercept: 3}, p+" ledger writes")
		add(Encoded, Line{Intercept: 7}, p+" bodies", p+" ledger bytes", p+" ledger size")
	}
	return m
}

// TestFigures guards against a part of a role that is counted per fleet instead of
// per instance, or not at all.
func TestFigures(t *testing.T) {
	target := Target{Workers: 80, Entries: 5, Shards: 8, Teams: 3, Critical: 80, Batch: 80, JobTasks: 1, Classes: 2}
	all, err := flat().Figures(target, 2, true)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		part string
		want Cost
	}{
		// 10 workers of a shard get 0.5 calls each, of 1 byte and the headers, and
		// share the bodies of the shard.
		{"answers to heartbeats and orders", Cost{Messages: 0.5, Bytes: 0.5*(1+tcpPerCall) + 0.7*tcpPerByte, Memory: 2}},
		{"heartbeats and orders to workers", Cost{Messages: 10, Bytes: 10*(1+tcpPerCall) + 14*tcpPerByte}},
		// The interval of commits bounds the 3 writes of the line.
		{"ledger writes", Cost{Messages: 4, Bytes: 4*(1+tcpPerCall) + 14*tcpPerByte, Writes: 4}},
		{"renewal of the registration", Cost{Messages: 0.5, Bytes: 0.5 * (1 + tcpPerCall), Writes: 0.5}},
		{"read of the view", Cost{Messages: 1, Bytes: 1 + tcpPerCall + 5*tcpPerByte, Memory: 5, Reads: 1}},
		{"heartbeats between entries", Cost{Messages: 16, Bytes: 16}},
		// The own record is written, and those of 5 entries are read as text.
		{"team usage on other shards", Cost{
			Messages: 0.4, Bytes: 0.2*(1+tcpPerCall+5*tcpPerByte) + 0.2*(1+tcpPerCall+0.75*tcpPerByte), Reads: 0.2, Writes: 0.2,
		}},
		{"scheduler, placement, connections", Cost{Memory: 2 * (10 + 10*(1+stackSize))}},
		{"partition of slots", Cost{Memory: 80}},
	}
	for _, tt := range tests {
		i := slices.IndexFunc(all, func(f Figure) bool { return f.Part == tt.part })
		if i < 0 {
			t.Errorf("no part %q", tt.part)
			continue
		}
		if diff := cmp.Diff(tt.want, all[i].Cost, close3); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.part, diff)
		}
	}
}

// TestSlope guards against a slope that a negative intercept makes smaller.
func TestSlope(t *testing.T) {
	tests := []struct {
		line            Line
		slope, at1, at9 float64
	}{
		{Line{Slope: 2, Intercept: 5}, 2, 7, 23},
		{Line{Slope: 2, Intercept: -5}, 2, 0, 13},
	}
	for _, tt := range tests {
		m := &Measured{Series: []Series{{Probe: "p", Quantity: CPU, Line: tt.line}}}
		if got := [3]float64{m.slope("p", CPU), m.at("p", CPU, 1), m.at("p", CPU, 9)}; got != [3]float64{tt.slope, tt.at1, tt.at9} {
			t.Errorf("%+v: slope and values %v, want %v, %v, %v", tt.line, got, tt.slope, tt.at1, tt.at9)
		}
	}
}

// TestMissingSeries guards against a renamed probe that the model counts as free.
func TestMissingSeries(t *testing.T) {
	m := flat()
	m.Series = slices.DeleteFunc(m.Series, func(s Series) bool { return s.Probe == "peer exchange" })
	if _, err := m.Figures(ScaleTarget(42), 1, true); err == nil {
		t.Error("no error without the series of peer exchanges")
	}
}

// TestOwnership guards against shards that have no owner or are owned twice.
func TestOwnership(t *testing.T) {
	for _, n := range []int{1, 7, 28, 42, 63} {
		o := ScaleTarget(n).Own()
		if o.Mean*float64(n) != 56 || float64(o.Most) < o.Mean || o.Zone < o.Most || o.Region < o.Zone || o.Region > 56 {
			t.Errorf("%d entries: %+v", n, o)
		}
	}
}

// TestSimulationRepeats guards against counts that depend on the order of a map or
// on the machine.
func TestSimulationRepeats(t *testing.T) {
	load := ScaleTarget(42).Load(true)
	var runs [2]Counts
	for i := range runs {
		var err error
		if runs[i], _, err = simulate(20, load, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		runs[i].Used = 0
	}
	if diff := cmp.Diff(runs[0], runs[1]); diff != "" {
		t.Errorf("second run (-first +second):\n%s", diff)
	}
	if c := runs[0]; c.Starts == 0 || c.Heartbeats == 0 || c.LedgerCalls == 0 || c.JobWrites == 0 {
		t.Errorf("counts are missing: %+v", c)
	}
}

// TestPlacementSize guards against a fixture that places no task.
func TestPlacementSize(t *testing.T) {
	op, err := preparePlacement(20)
	if err != nil {
		t.Fatal(err)
	}
	op.run()
	x := op.state.(*placement.Index)
	want := cores - tasksPerWorker*taskSize.Cores
	if got := x.Free(instanceID(0)).Cores; got != want {
		t.Errorf("free cores %d, want %d", got, want)
	}
}

// TestRun is a small run of fixed size. It guards against a message or a state that
// begins to grow with the fleet: it checks the bytes and messages that
// docs/CAPACITY.md claims to be within the budget, but no time.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "capacity.json")
	var out bytes.Buffer
	o := Options{Entries: []int{28, 42, 63}, Span: 10 * time.Second, Pace: 200 * time.Millisecond, JSON: file}
	if err := Run(&out, o); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"28 entries", "42 entries", "63 entries", "store at peak", "failures", "budget"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in the table", want)
		}
	}
	for _, s := range r.Measured.Series {
		if len(s.Points) < 4 {
			t.Errorf("%s of %s has %d sizes, want 4", s.Quantity, s.Probe, len(s.Points))
		}
	}
	claimed := []struct{ reading, what string }{
		{"worker at peak", "bytes/s"}, {"worker at peak", "memory"},
		{"worker without starts", "bytes/s"}, {"worker without starts", "memory"},
		{"mean of all instances without starts", "bytes/s"},
	}
	if len(r.Sizes) != len(o.Entries) {
		t.Fatalf("%d tables, want %d", len(r.Sizes), len(o.Entries))
	}
	for i, n := range o.Entries {
		table := r.Sizes[i]
		for _, c := range claimed {
			i := slices.IndexFunc(table.Verdicts, func(v Verdict) bool { return v.Reading == c.reading && v.What == c.what })
			if i < 0 || !table.Verdicts[i].Holds() {
				t.Errorf("%d entries: %s of %s is not within the budget: %+v", n, c.what, c.reading, table.Verdicts)
			}
		}
		var reads, writes float64 // apart from job records and claims, for which the page claims nothing
		for _, c := range table.Store {
			if !strings.Contains(c.Kind, "job record") && c.Kind != "claim" {
				reads, writes = reads+c.Reads, writes+c.Writes
			}
		}
		if limit := Budget(); reads > limit.Reads || writes > limit.Writes {
			t.Errorf("%d entries: %v reads/s and %v writes/s of the store, want %v and %v at most", n, reads, writes, limit.Reads, limit.Writes)
		}
	}
}

// TestCommand guards against flags that are parsed and then ignored.
func TestCommand(t *testing.T) {
	c := NewCommand()
	p := flaggy.NewParser("test")
	p.AttachSubcommand(c.Subcommand, 1)
	if err := p.ParseArgs([]string{"capacity", "--entries", "7,x"}); err != nil {
		t.Fatal(err)
	}
	if !c.Subcommand.Used {
		t.Error("the subcommand is not marked as used")
	}
	if err := c.Run(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), `"x"`) {
		t.Errorf("error %v, want one about x", err)
	}
}
