package delta

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

var sameReport = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreFields(scheduler.Report{}, "RequestedAt")}

// overCBOR returns the report that another entry receives, and its size in bytes.
func overCBOR(t rapid.TB, r Report) (Report, int) {
	t.Helper()
	body, err := record.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var received Report
	if err := cbor.Unmarshal(body, &received); err != nil {
		t.Fatal(err)
	}
	return received, len(body)
}

func testTask(i int) graph.Task {
	return graph.Task{Job: unit.JobID(fmt.Sprintf("j-2f6c81d0-%04d", i/3)), Occurrence: 1, Step: graph.StepIndex(i % 3), Index: unit.TaskIndex(i)}
}

// testReport returns a report with runs and ends of half-open ranges.
func testReport(runFrom, runTo, endFrom, endTo int) scheduler.Report {
	r := scheduler.Report{Incarnation: 1_790_000_000_000, RequestedAt: time.Unix(1_790_000_000, 0)}
	for i := runFrom; i < runTo; i++ {
		r.Running = append(r.Running, scheduler.RunStatus{
			Task: testTask(i), Run: 7_000_001, Checkpoint: fmt.Sprintf("checkpoint-%d", i), ProgressPercent: 40 + i, Metric: 900 + i,
		})
	}
	for i := endFrom; i < endTo; i++ {
		r.Ended = append(r.Ended, scheduler.End{Number: scheduler.EndNumber(i + 1), Task: testTask(i + 100), Run: 7_000_001, Kind: scheduler.EndDone})
	}
	return r
}

// mutate changes a report as a worker does between two heartbeats, and as only a faulty
// one does: rows change their order or repeat, numbers go back, texts are not UTF-8.
func mutate(t *rapid.T, r *scheduler.Report) {
	numbers := rapid.OneOf(rapid.IntRange(-3, 120), rapid.SampledFrom([]int{math.MinInt, math.MaxInt, 1 << 59, -1 << 59, 1 << 60}))
	texts := rapid.SampledFrom([]string{"", "a", "b", "checkpoint-7", "\xff\xfe"})
	task := func() graph.Task {
		return graph.Task{
			Job: unit.JobID(texts.Draw(t, "job")), Occurrence: graph.Occurrence(numbers.Draw(t, "occurrence")),
			Step: graph.StepIndex(rapid.IntRange(0, 1).Draw(t, "step")), Index: rapid.SampledFrom([]unit.TaskIndex{0, 1, math.MaxUint32}).Draw(t, "index"),
		}
	}
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		r.Incarnation = scheduler.Incarnation(numbers.Draw(t, "incarnation"))
	case 1:
		r.Partial = !r.Partial
	case 2:
		r.Running = rapid.Permutation(r.Running).Draw(t, "runs")
	case 3:
		r.Ended = rapid.Permutation(r.Ended).Draw(t, "ends")
	case 4:
		at := rapid.IntRange(0, len(r.Running)).Draw(t, "at")
		r.Running = slices.Insert(slices.Clone(r.Running), at, scheduler.RunStatus{
			Task: task(), Run: graph.RunNumber(numbers.Draw(t, "run")), Checkpoint: texts.Draw(t, "checkpoint"),
			ProgressPercent: numbers.Draw(t, "percent"), Metric: numbers.Draw(t, "metric"),
		})
	case 5:
		at := rapid.IntRange(0, len(r.Ended)).Draw(t, "at")
		r.Ended = slices.Insert(slices.Clone(r.Ended), at, scheduler.End{
			Number: scheduler.EndNumber(numbers.Draw(t, "number")), Task: task(), Run: graph.RunNumber(numbers.Draw(t, "run")),
			Kind: scheduler.EndKind(rapid.Uint8().Draw(t, "kind")), Checkpoint: texts.Draw(t, "checkpoint"),
		})
	case 6:
		r.Running = slices.DeleteFunc(slices.Clone(r.Running), func(scheduler.RunStatus) bool { return rapid.IntRange(0, 3).Draw(t, "drop") == 0 })
	case 7:
		r.Ended = slices.Clone(r.Ended[rapid.IntRange(0, len(r.Ended)).Draw(t, "acked"):])
	case 8:
		if len(r.Running) > 0 {
			r.Running = append(slices.Clone(r.Running), rapid.SampledFrom(r.Running).Draw(t, "repeated"))
		}
	case 9:
		r.Running = slices.Clone(r.Running)
		for i := range r.Running {
			if s := &r.Running[i]; rapid.Bool().Draw(t, "changed") {
				s.ProgressPercent, s.Metric, s.Checkpoint = numbers.Draw(t, "percent"), numbers.Draw(t, "metric"), texts.Draw(t, "checkpoint")
			}
		}
	}
}

// TestRoundTrip guards against a report that differs from what the worker sent, and
// against one that a later report changes.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Encoder
		var d Decoder
		var want, got []scheduler.Report
		r := testReport(0, rapid.IntRange(0, 6).Draw(t, "runs"), 0, rapid.IntRange(0, 4).Draw(t, "ends"))
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				mutate(t, &r)
			}
			want = append(want, scheduler.Report{
				Incarnation: r.Incarnation, Partial: r.Partial, Running: slices.Clone(r.Running), Ended: slices.Clone(r.Ended),
			})
			sent, _ := overCBOR(t, e.Encode(r))
			decoded, err := d.Decode(sent)
			if err != nil {
				t.Fatal(err)
			}
			if !decoded.RequestedAt.IsZero() {
				t.Fatalf("report requested at %v", decoded.RequestedAt)
			}
			got = append(got, decoded)
		}
		if diff := cmp.Diff(want, got, sameReport); diff != "" {
			t.Fatalf("reports (-sent +received):\n%s", diff)
		}
	})
}

// TestSharedMemory guards against a session that a caller breaks by changing the report
// it gave to the encoder or got from the decoder.
func TestSharedMemory(t *testing.T) {
	var e Encoder
	var d Decoder
	r := testReport(0, 3, 0, 3)
	for range 3 {
		want := testReport(0, 3, 0, 3)
		got, err := d.Decode(e.Encode(r))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, sameReport); diff != "" {
			t.Fatalf("report (-want +got):\n%s", diff)
		}
		clear(r.Running)
		clear(r.Ended)
		clear(got.Running)
		clear(got.Ended)
		r = testReport(0, 3, 0, 3)
	}
}

// The sizes that the differences are made for, in bytes.
const (
	// headerSize is that of the map, and of the key and the length of one list.
	headerSize = 1 + 1 + 2
	// changeSize is that of an edit with a step of the progress of up to 7 percent, and of
	// a step of the metric of up to 8191.
	changeSize = 1 + 2
	// itemSize is that of an added run or end: two texts of up to 16 bytes, the edit, and
	// the numbers, of which the run number takes 4 bytes and the metric 2.
	itemSize = 2*(1+16) + 1 + 4*1 + 4 + 2
	// shortEditSize is that of an edit whose argument is up to 15.
	shortEditSize = 1
)

// TestSizes guards against differences that repeat what the owner has, which a link of
// 2 Mbit/s cannot carry for the whole fleet.
func TestSizes(t *testing.T) {
	for _, tt := range []struct {
		name  string
		next  func(r *scheduler.Report)
		bound int
	}{
		{"nothing new", func(*scheduler.Report) {}, 1},
		{"progress and metrics", func(r *scheduler.Report) {
			for i := range r.Running {
				r.Running[i].ProgressPercent += 7
				r.Running[i].Metric += 8000 * (1 - i%2*2)
			}
		}, headerSize + 10*changeSize},
		{"one metric", func(r *scheduler.Report) { r.Running[5].Metric = 0 }, headerSize + shortEditSize + changeSize},
		{"a new run", func(r *scheduler.Report) { *r = testReport(0, 11, 0, 5) }, headerSize + shortEditSize + itemSize},
		{"a new run in front", func(r *scheduler.Report) { r.Running = append(testReport(20, 21, 0, 0).Running, r.Running...) }, headerSize + itemSize},
		{"a run is gone", func(r *scheduler.Report) { r.Running = slices.Delete(r.Running, 4, 5) }, headerSize + 2*shortEditSize},
		{"a new end", func(r *scheduler.Report) { *r = testReport(0, 10, 0, 6) }, headerSize + shortEditSize + itemSize},
		{"ends are acknowledged", func(r *scheduler.Report) { r.Ended = r.Ended[3:] }, headerSize + shortEditSize},
		{"no run and no end is left", func(r *scheduler.Report) { r.Running, r.Ended = nil, nil }, 2*headerSize + 2 + shortEditSize},
		{"a checkpoint", func(r *scheduler.Report) { r.Running[0].Checkpoint = "checkpoint-999" }, headerSize + shortEditSize + changeSize + 14},
		{"another order", func(r *scheduler.Report) { slices.Reverse(r.Running) }, headerSize + 10*2*shortEditSize + 2},
		{"ends in another order", func(r *scheduler.Report) { slices.Reverse(r.Ended) }, headerSize + 5*2*shortEditSize},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var e Encoder
			var d Decoder
			r := testReport(0, 10, 0, 5)
			if _, err := d.Decode(e.Encode(r)); err != nil {
				t.Fatal(err)
			}
			tt.next(&r)
			sent, size := overCBOR(t, e.Encode(r))
			if size > tt.bound {
				t.Errorf("difference of %d bytes, want at most %d", size, tt.bound)
			}
			plain, err := record.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			if len(plain) <= tt.bound {
				t.Errorf("plain report of %d bytes, which the bound %d allows", len(plain), tt.bound)
			}
			got, err := d.Decode(sent)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(r, got, sameReport); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSearchIsBounded guards against a worker with a huge list of runs that takes the
// entry's processor for long: with all runs new, each is searched for in the whole list.
func TestSearchIsBounded(t *testing.T) {
	for _, tt := range []struct{ items, want int }{
		{maxSearch, maxSearch - 1},
		{maxSearch + 1, -1},
	} {
		l := list{items: make([]item, tt.items), used: make([]bool, tt.items)}
		for i := range l.items {
			l.items[i].run = graph.RunNumber(i)
		}
		if got := l.find(0, &item{run: graph.RunNumber(tt.items - 1)}); got != tt.want {
			t.Errorf("last of %d items found at %d, want %d", tt.items, got, tt.want)
		}
	}
}

// TestHugeReport guards against a decoder that refuses the longest list that a worker's
// response has room for, and against runs beyond the reach of the search that get lost.
func TestHugeReport(t *testing.T) {
	const runs = 300_000
	var e Encoder
	var d Decoder
	r := scheduler.Report{Running: make([]scheduler.RunStatus, runs)}
	for i := range r.Running {
		r.Running[i] = scheduler.RunStatus{Task: graph.Task{Job: "j", Index: unit.TaskIndex(i)}}
	}
	for range 2 {
		got, err := d.Decode(e.Encode(r))
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(r.Running, got.Running) {
			t.Errorf("%d runs differ from the %d that were sent", len(got.Running), runs)
		}
		r.Running[0], r.Running[runs/2] = r.Running[runs/2], r.Running[0]
	}
}

// BenchmarkReport measures reports of ten runs whose progress and metrics change.
func BenchmarkReport(b *testing.B) {
	reports := []scheduler.Report{testReport(0, 10, 0, 0), testReport(0, 10, 0, 0)}
	for i := range reports[1].Running {
		reports[1].Running[i].ProgressPercent += 3
		reports[1].Running[i].Metric += 250
	}
	var e Encoder
	first := e.Encode(reports[0])
	there, back := e.Encode(reports[1]), e.Encode(reports[0])
	body, err := record.Marshal(there)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			e.Encode(reports[i%2])
		}
	})
	decode := func(differences ...Report) func(b *testing.B) {
		return func(b *testing.B) {
			var d Decoder
			if _, err := d.Decode(first); err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				if _, err := d.Decode(differences[i%len(differences)]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "wire-bytes")
		}
	}
	b.Run("decode", decode(there, back))
	b.Run("decode unchanged", decode(Report{}))
	b.Run("unmarshal", func(b *testing.B) {
		for b.Loop() {
			var r Report
			if err := cbor.Unmarshal(body, &r); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("unmarshal plain", func(b *testing.B) {
		plain, err := record.Marshal(reports[0])
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			var r scheduler.Report
			if err := cbor.Unmarshal(plain, &r); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(plain)), "wire-bytes")
	})
}
