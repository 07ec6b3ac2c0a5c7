package delta

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// edits joins edits of a list.
func edits(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func edit(kind editKind, arg uint64) []byte { return appendEdit(nil, kind, arg) }

// malformedEdits are edits of a list of three items that no encoder writes.
var malformedEdits = []struct {
	name  string
	edits []byte
}{
	{"keeps too many", edit(editKeep, 4)},
	{"keeps a huge number", edit(editKeep, math.MaxUint64>>editKindBits)},
	{"keeps behind the end", edits(edit(editMove, zigzag(3)), edit(editKeep, 1))},
	{"keeps twice", edits(edit(editKeep, 2), edit(editMove, zigzag(-1)), edit(editKeep, 1))},
	{"keeps the rest twice", edits(edit(editKeep, 3), edit(editMove, zigzag(-1)))},
	{"moves behind the end", edit(editMove, zigzag(4))},
	{"moves before the front", edit(editMove, zigzag(-1))},
	{"moves far", edit(editMove, math.MaxUint64>>editKindBits)},
	{"moves far back", edit(editMove, math.MaxUint64>>editKindBits-1)},
	{"changes behind the end", edits(edit(editMove, zigzag(3)), edit(editChange, 0), []byte{0})},
	{"changes twice", edits(edit(editChange, 0), []byte{0}, edit(editMove, zigzag(-1)), edit(editChange, 0), []byte{0})},
	{"changes without a number", edit(editChange, 0)},
	{"changes without a checkpoint", edits(edit(editCheckpoint, 0), []byte{0})},
	{"changes with a cut checkpoint", edits(edit(editCheckpoint, 0), []byte{0, 2, 'c'})},
	{"adds nothing", edit(editAdd, 0)},
	{"adds a cut item", edits(edit(editAdd, 0), []byte{1, 'j', 0, 0, 0})},
	{"adds a huge text", edits(edit(editAdd, 0), []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})},
	{"adds an index over 32 bits", edits(edit(editAdd, 0), []byte{0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0})},
	{"an unknown kind", edit(editCheckpoint+1, 0)},
	{"a cut number", []byte{0x80}},
	{"a number over 64 bits", bytes.Repeat([]byte{0xff}, 11)},
	{"a list over the limit", edits(edit(editCheckpoint, 0), []byte{0, 0x80, 0x80, 0x80, 2}, make([]byte, maxListSize))},
}

// TestMalformed guards against another entry that ends the process of the owner, or fills
// its memory.
func TestMalformed(t *testing.T) {
	for _, tt := range malformedEdits {
		for _, r := range []struct {
			list   string
			report Report
		}{{"runs", Report{Running: tt.edits}}, {"ends", Report{Ended: tt.edits}}} {
			t.Run(tt.name+"/"+r.list, func(t *testing.T) {
				if _, err := primedDecoder(t).Decode(r.report); !errors.Is(err, errMalformed) {
					t.Errorf("got error %v", err)
				}
			})
		}
	}
	t.Run("a kind of end over 8 bits", func(t *testing.T) {
		if _, err := primedDecoder(t).Decode(Report{Ended: edits(edit(editChange, zigzag(255)), []byte{0})}); !errors.Is(err, errMalformed) {
			t.Errorf("got error %v", err)
		}
	})
}

// TestGrowth guards against a session whose lists grow with each report.
func TestGrowth(t *testing.T) {
	var d Decoder
	add := appendItem(nil, &item{task: graph.Task{Job: unit.JobID(strings.Repeat("j", 1<<16))}})
	const limit = maxListSize / (1 << 16)
	for i := range limit {
		// The whole list is kept, as no edit moves away from it.
		if _, err := d.Decode(Report{Running: add}); err != nil {
			if i < limit-1 {
				t.Errorf("report %d of %d refused: %v", i, limit, err)
			}
			return
		}
	}
	t.Errorf("took a list of more than %d bytes", maxListSize)
}

// primedDecoder returns a decoder that has decoded a report with three runs and ends.
func primedDecoder(t testing.TB) *Decoder {
	t.Helper()
	var e Encoder
	d := new(Decoder)
	if _, err := d.Decode(e.Encode(testReport(0, 3, 0, 3))); err != nil {
		t.Fatal(err)
	}
	return d
}

// FuzzDecoder guards against a difference that ends the process when it is decoded, or
// that decodes to a report of another size than its bytes allow.
func FuzzDecoder(f *testing.F) {
	for _, m := range malformedEdits {
		f.Add(int64(0), m.edits[:min(len(m.edits), 64)], []byte{})
		f.Add(int64(1), []byte{}, m.edits[:min(len(m.edits), 64)])
	}
	var e Encoder
	first := e.Encode(testReport(0, 4, 0, 3))
	f.Add(int64(first.Incarnation), first.Running, first.Ended)
	second := e.Encode(testReport(1, 5, 2, 4))
	f.Add(int64(second.Incarnation), second.Running, second.Ended)
	f.Fuzz(func(t *testing.T, incarnation int64, running, ended []byte) {
		d := primedDecoder(t)
		var again Encoder
		var copied Decoder
		for round := range 3 {
			r, err := d.Decode(Report{Incarnation: scheduler.Incarnation(incarnation), Running: running, Ended: ended})
			if err != nil {
				return
			}
			if most := 3 + (round+1)*len(running); len(r.Running) > most {
				t.Fatalf("%d runs, want at most %d", len(r.Running), most)
			}
			if most := 3 + (round+1)*len(ended); len(r.Ended) > most {
				t.Fatalf("%d ends, want at most %d", len(r.Ended), most)
			}
			sent, _ := overCBOR(t, again.Encode(r))
			got, err := copied.Decode(sent)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(r, got, sameReport); diff != "" {
				t.Fatalf("report encoded again (-want +got):\n%s", diff)
			}
		}
	})
}
