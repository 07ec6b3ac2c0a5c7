package ledger

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // fixes the seed of rapid unless -rapid.seed is set
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
)

// largeLedger returns a ledger with placed tasks that have long ids. At the scale
// target, 32,000 batch and 13,000 standing tasks on 56 shards, each shard has about
// 800 tasks.
func largeLedger(tasks int) Ledger {
	l := Ledger{Epoch: 7, Write: 99}
	for n := range tasks {
		if n%20 == 0 {
			id := unit.JobID(fmt.Sprintf("reconcile-2026-12-04-%05d", n))
			l.Jobs = append(l.Jobs, Job{ID: id, Finished: TaskSet{}.Add(unit.TaskIndex(9000))})
		}
		j := &l.Jobs[len(l.Jobs)-1]
		j.Tasks = append(j.Tasks, Task{
			Index: unit.TaskIndex(n), State: StatePlaced, Attempt: 3, After: 2,
			Worker:     unit.InstanceID(fmt.Sprintf("kyushu-kum-rack-12-worker-%03d", n%80)),
			Checkpoint: unit.CheckpointID(fmt.Sprintf("reconcile-2026-12-04-%05d/%d@2", n, n)),
		})
	}
	return l
}

// TestCodec guards against a ledger that changes when it is encoded and decoded, an
// invalid ledger that is accepted, and a ledger that is too large for the store.
func TestCodec(t *testing.T) {
	ledgerOf := func(tasks ...Task) Ledger { return Ledger{Jobs: []Job{{ID: "j", Tasks: tasks}}} }
	placed := Task{Index: 1, State: StatePlaced, Attempt: 1, Worker: "w"}
	tests := []struct {
		name      string
		ledger    Ledger
		encodeErr error
		decodeErr error
	}{
		{"empty", Ledger{}, nil, nil},
		{"ten times the scale target", largeLedger(8000), nil, nil},
		{"too large", largeLedger(20000), ErrTooLarge, nil},
		{"duplicate task", ledgerOf(placed, placed), nil, ErrInvalid},
		{"placed without a worker", ledgerOf(Task{State: StatePlaced, Attempt: 1}), nil, ErrInvalid},
		{"checkpoint of the attempt itself", ledgerOf(Task{State: StatePlaced, Attempt: 2, After: 2, Worker: "w"}), nil, ErrInvalid},
		{"unknown state", ledgerOf(Task{State: 9, Attempt: 2}), nil, ErrInvalid},
		{"duplicate job", Ledger{Jobs: []Job{{ID: "j"}, {ID: "j"}}}, nil, ErrInvalid},
		{"finished and placed", Ledger{Jobs: []Job{{ID: "j", Finished: TaskSet{2}, Tasks: []Task{placed}}}}, nil, ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := Encode(tt.ledger)
			if !errors.Is(err, tt.encodeErr) {
				t.Fatalf("encode: %v, want %v", err, tt.encodeErr)
			}
			if err != nil {
				return
			}
			got, err := Decode(data)
			if !errors.Is(err, tt.decodeErr) {
				t.Fatalf("decode: %v, want %v", err, tt.decodeErr)
			}
			if err == nil && !reflect.DeepEqual(tt.ledger, got) { // much faster than cmp.Diff for equal ledgers
				t.Errorf("ledger (-want +got):\n%s", cmp.Diff(tt.ledger, got))
			}
		})
	}
}

// FuzzDecode guards against a corrupt value that crashes the process, or that is
// accepted but changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	seed, err := Encode(largeLedger(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(l)
		if err != nil {
			t.Skip("encoding exceeds the size limit")
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("decode own encoding: %v", err)
		}
		reencoded, err := Encode(decoded)
		if err != nil || string(reencoded) != string(encoded) {
			t.Fatalf("encoding is not stable: %v", err)
		}
	})
}

// TestMove guards against a task that is assigned to no shard or to two shards, and
// against a repeated move that takes tasks away from their new shard.
func TestMove(t *testing.T) {
	shards := []unit.ShardID{{Zone: "z1"}, {Zone: "z2"}, {Zone: "z3"}}
	rapid.Check(t, func(t *rapid.T) {
		const tasks = 30
		r := Record{Parts: []Part{{Shard: shards[0], Count: 20}, {Shard: shards[1], First: 20, Count: 10}}}
		assigned := map[unit.TaskIndex]unit.ShardID{}
		for i := range unit.TaskIndex(tasks) {
			assigned[i] = shards[i/20]
		}
		for range rapid.IntRange(1, 8).Draw(t, "moves") {
			from := rapid.SampledFrom(shards).Draw(t, "from")
			to := rapid.SampledFrom(shards).Draw(t, "to")
			indices := rapid.SliceOfDistinct(rapid.Uint32Range(0, tasks-1), rapid.ID).Draw(t, "tasks")
			var moved []MovedTask
			for _, i := range indices {
				moved = append(moved, MovedTask{Index: unit.TaskIndex(i), Attempt: 1})
				if assigned[unit.TaskIndex(i)] == from {
					assigned[unit.TaskIndex(i)] = to
				}
			}
			r = r.Move(from, to, moved)
		}
		for i := range unit.TaskIndex(tasks) {
			var got []unit.ShardID
			for _, p := range r.Parts {
				if p.Has(i) {
					got = append(got, p.Shard)
				}
			}
			if diff := cmp.Diff([]unit.ShardID{assigned[i]}, got); diff != "" {
				t.Fatalf("shards of task %d (-want +got):\n%s", i, diff)
			}
		}
	})
}

// TestCondensed guards against an archived record that is not ended, or whose counts
// differ from the sum over its parts.
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
