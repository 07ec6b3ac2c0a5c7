package ledger

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
)

// largest has the content of a shard at the scale target, with room to spare: of
// 32,000 batch and 13,000 standing tasks on 56 shards each has about 800.
func largest(tasks int) Ledger {
	b := Ledger{Epoch: 7, Write: 99}
	for n := range tasks {
		if n%20 == 0 {
			id := unit.JobID(fmt.Sprintf("reconcile-2026-12-04-%05d", n))
			b.Jobs = append(b.Jobs, Job{ID: id, Finished: TaskSet{}.Add(unit.TaskIndex(9000))})
		}
		j := &b.Jobs[len(b.Jobs)-1]
		j.Tasks = append(j.Tasks, Task{
			Index: unit.TaskIndex(n), State: StatePlaced, Attempt: 3, After: 2,
			Worker:     unit.InstanceID(fmt.Sprintf("kyushu-kum-rack-12-worker-%03d", n%80)),
			Checkpoint: unit.CheckpointID(fmt.Sprintf("reconcile-2026-12-04-%05d/%d@2", n, n)),
		})
	}
	return b
}

// TestCodec guards against a value that does not survive the store, an entry that
// no owner writes, and a ledger that the store would refuse for its size.
func TestCodec(t *testing.T) {
	with := func(tasks ...Task) Ledger { return Ledger{Jobs: []Job{{ID: "j", Tasks: tasks}}} }
	placed := Task{Index: 1, State: StatePlaced, Attempt: 1, Worker: "w"}
	tests := []struct {
		name   string
		book   Ledger
		encode error
		decode error
	}{
		{"empty", Ledger{}, nil, nil},
		{"ten times the scale target", largest(8000), nil, nil},
		{"too large", largest(20000), ErrTooLarge, nil},
		{"task twice", with(placed, placed), nil, ErrInvalid},
		{"placed nowhere", with(Task{State: StatePlaced, Attempt: 1}), nil, ErrInvalid},
		{"follows itself", with(Task{State: StatePlaced, Attempt: 2, After: 2, Worker: "w"}), nil, ErrInvalid},
		{"unknown state", with(Task{State: 9, Attempt: 2}), nil, ErrInvalid},
		{"job twice", Ledger{Jobs: []Job{{ID: "j"}, {ID: "j"}}}, nil, ErrInvalid},
		{"finished and placed", Ledger{Jobs: []Job{{ID: "j", Finished: TaskSet{2}, Tasks: []Task{placed}}}}, nil, ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := Encode(tt.book)
			if !errors.Is(err, tt.encode) {
				t.Fatalf("encode: %v, want %v", err, tt.encode)
			}
			if err != nil {
				return
			}
			got, err := Decode(data)
			if !errors.Is(err, tt.decode) {
				t.Fatalf("decode: %v, want %v", err, tt.decode)
			}
			if err == nil && !reflect.DeepEqual(tt.book, got) { // much faster than a diff of equal books
				t.Errorf("book (-want +got):\n%s", cmp.Diff(tt.book, got))
			}
		})
	}
}

// FuzzDecode guards against a damaged value that stops the process, or that is
// accepted but changes when it is written again.
func FuzzDecode(f *testing.F) {
	seed, err := Encode(largest(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(b)
		if err != nil {
			t.Skip("larger than the limit")
		}
		c, err := Decode(again)
		if err != nil {
			t.Fatalf("decode own encoding: %v", err)
		}
		third, err := Encode(c)
		if err != nil || string(third) != string(again) {
			t.Fatalf("encoding is not stable: %v", err)
		}
	})
}

// TestMove guards against a task that is assigned to no shard or to two, and
// against a repeated move that takes tasks from their new shard.
func TestMove(t *testing.T) {
	shards := []unit.ShardID{{Zone: "z1"}, {Zone: "z2"}, {Zone: "z3"}}
	rapid.Check(t, func(t *rapid.T) {
		const tasks = 30
		r := Record{Parts: []Part{{Shard: shards[0], Count: 20}, {Shard: shards[1], First: 20, Count: 10}}}
		where := map[unit.TaskIndex]unit.ShardID{}
		for i := range unit.TaskIndex(tasks) {
			where[i] = shards[i/20]
		}
		for range rapid.IntRange(1, 8).Draw(t, "moves") {
			from := rapid.SampledFrom(shards).Draw(t, "from")
			to := rapid.SampledFrom(shards).Draw(t, "to")
			indices := rapid.SliceOfDistinct(rapid.Uint32Range(0, tasks-1), rapid.ID).Draw(t, "tasks")
			var carry []MovedTask
			for _, i := range indices {
				carry = append(carry, MovedTask{Index: unit.TaskIndex(i), Attempt: 1})
				if where[unit.TaskIndex(i)] == from {
					where[unit.TaskIndex(i)] = to
				}
			}
			r = r.Move(from, to, carry)
		}
		for i := range unit.TaskIndex(tasks) {
			var owners []unit.ShardID
			for _, p := range r.Parts {
				if p.Has(i) {
					owners = append(owners, p.Shard)
				}
			}
			if diff := cmp.Diff([]unit.ShardID{where[i]}, owners); diff != "" {
				t.Fatalf("shards of task %d (-want +got):\n%s", i, diff)
			}
		}
	})
}

// TestCondensed guards against an archived job that has not ended, or whose counts
// differ from those of its parts.
func TestCondensed(t *testing.T) {
	tests := []struct {
		name  string
		parts []Part
		want  Outcome
	}{
		{"one part", []Part{{Count: 3, Outcome: &Outcome{Done: 2, Failed: 1}}}, Outcome{Done: 2, Failed: 1}},
		{"several parts", []Part{
			{Count: 3, Outcome: &Outcome{Done: 3}},
			{First: 3, Count: 2, Outcome: &Outcome{Done: 1, Cancelled: 1}},
		}, Outcome{Done: 4, Cancelled: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Record{Job: queue.Job{ID: "j", Tasks: 5}, Parts: tt.parts, MovedTasks: []MovedTask{{Index: 1}}}.Condensed()
			if !r.Ended() || len(r.MovedTasks) != 0 {
				t.Errorf("condensed record %+v", r)
			}
			if diff := cmp.Diff([]Part{{Count: 5, Outcome: &tt.want}}, r.Parts); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
		})
	}
}
