package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// recordingFleet keeps the starts that its workers get.
type recordingFleet struct {
	mu     sync.Mutex
	starts []scheduler.Order
	closed int
}

func (f *recordingFleet) Connect(id unit.InstanceID, _ string) owner.Worker {
	return &recordingWorker{fleet: f, id: id}
}

// recordingWorker answers by its id: "fault" panics, "silent" does not answer.
type recordingWorker struct {
	owner.Worker
	fleet *recordingFleet
	id    unit.InstanceID
}

func (w *recordingWorker) Do(ctx context.Context, o scheduler.Order, _ unit.Epoch, _ unit.WorkerTime) (scheduler.Outcome, unit.WorkerTime) {
	w.fleet.mu.Lock()
	w.fleet.starts = append(w.fleet.starts, o)
	w.fleet.mu.Unlock()
	switch w.id {
	case "fault":
		panic("fault in the client")
	case "silent":
		<-ctx.Done()
		return scheduler.OutcomeUnknown, 0
	}
	return scheduler.OutcomeDone, 1
}

func (w *recordingWorker) Close() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.fleet.closed++
}

// directNetwork passes calls to a service of the same process, or fails.
type directNetwork struct {
	to  *Service
	err error
}

func (directNetwork) Handle(mesh.Kind, mesh.Handler) {}

func (n directNetwork) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, request []byte) ([]byte, error) {
	if n.err != nil {
		return nil, n.err
	}
	return n.to.handleStarts(ctx, "", request)
}

// TestSendStarts guards against outcomes that say too much: a start counts as not sent only
// if it certainly was not, as its task starts elsewhere then. It also guards against starts
// that are sent with another spec than that of their job, or after their deadline.
func TestSendStarts(t *testing.T) {
	const done, unknown, notSent = scheduler.OutcomeDone, scheduler.OutcomeUnknown, scheduler.OutcomeNotSent
	start := func(worker unit.InstanceID) owner.RelayedStart {
		return owner.RelayedStart{Worker: worker, Address: "a:1", Index: 3, Run: 7, Checkpoint: "c"}
	}
	soon := time.Now().Add(time.Minute)
	tests := []struct {
		name     string
		held     map[unit.JobID]heldSpec
		err      error // of the call
		batch    owner.StartBatch
		want     []scheduler.Outcome
		wantErr  bool
		wantSpec []string // of the starts that the workers got
	}{
		{"answered", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("w1"), start("w2")}}, []scheduler.Outcome{done, done}, false, []string{"s", "s"}},
		{"no starts", nil, nil, owner.StartBatch{}, []scheduler.Outcome{}, false, nil},
		{"empty spec", nil, nil, owner.StartBatch{Job: "j", Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{done}, false, []string{""}},
		{"spec held", map[unit.JobID]heldSpec{"j": {spec: "s"}, "k": {spec: "other"}}, nil, owner.StartBatch{Job: "j", SpecHeld: true, Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{done}, false, []string{"s"}},
		{"spec not held any more", map[unit.JobID]heldSpec{"k": {spec: "other"}}, nil, owner.StartBatch{Job: "j", SpecHeld: true, Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{notSent}, false, nil},
		{"deadline passed, clocks may differ", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: time.Now().Add(-maxClockSkew / 2), Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{done}, false, []string{"s"}},
		{"deadline passed for long", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: time.Now().Add(-2 * maxClockSkew), Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{notSent}, false, nil},
		{"worker does not answer", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("silent"), start("w1")}}, []scheduler.Outcome{unknown, done}, false, []string{"s", "s"}},
		{"fault in the client", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("fault"), start("w1")}}, []scheduler.Outcome{unknown, done}, false, []string{"s", "s"}},
		{"entry not reached", nil, mesh.ErrUnreachable, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{notSent}, true, nil},
		{"no answer of the entry", nil, mesh.ErrUnknown, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{unknown}, true, nil},
		{"fault at the entry", nil, &mesh.FaultError{Text: "fault"}, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: []owner.RelayedStart{start("w1")}}, []scheduler.Outcome{unknown}, true, nil},
		{"too many starts", nil, nil, owner.StartBatch{Job: "j", Spec: "s", Deadline: soon, Starts: make([]owner.RelayedStart, scheduler.MaxStartBatch+1)}, slices.Repeat([]scheduler.Outcome{unknown}, scheduler.MaxStartBatch+1), true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &recordingFleet{}
			s := New(logr.Discard(), f)
			if tt.held != nil {
				s.specs = tt.held
			}
			s.peers = directNetwork{to: s, err: tt.err}
			got, err := s.SendStarts(t.Context(), "b", tt.batch)
			if diff := cmp.Diff(tt.wantErr, err != nil); diff != "" {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			var specs []string
			for _, o := range f.starts {
				specs = append(specs, o.Spec)
				if diff := cmp.Diff([]any{"c", unit.TaskIndex(3), unit.JobID("j")}, []any{o.Checkpoint, o.Task.Index, o.Task.Job}); diff != "" {
					t.Errorf("start (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(tt.wantSpec, specs); diff != "" {
				t.Errorf("specs of the starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDropUnused guards against connections and specs that pile up on an entry, and
// against a client that is closed under a start.
func TestDropUnused(t *testing.T) {
	tests := []struct {
		name   string
		inUse  bool
		before time.Duration // relative to the last use
		closed int
	}{
		{"used lately", false, -time.Second, 0},
		{"unused", false, time.Second, 1},
		{"start under way", true, time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &recordingFleet{}
			s := New(logr.Discard(), f)
			c := s.acquire(workerKey{"w1", "a:1"})
			if !tt.inUse {
				s.release(c)
			}
			usedAt := time.Now()
			s.specs["j"] = heldSpec{"s", usedAt}
			s.closeClients(usedAt.Add(tt.before))
			s.dropSpecs(usedAt.Add(tt.before))
			if diff := cmp.Diff(tt.closed, f.closed); diff != "" {
				t.Errorf("clients closed (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.before < 0, len(s.specs) > 0); diff != "" {
				t.Errorf("spec held (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzStarts guards against a call of another entry that ends the process.
func FuzzStarts(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	body, err := record.Marshal(owner.StartBatch{Job: "j", Spec: strings.Repeat("s", 10), Deadline: time.Now(), Starts: []owner.RelayedStart{{Worker: "w1", Until: -1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, request []byte) {
		s := New(logr.Discard(), &recordingFleet{})
		_, _ = s.handleStarts(t.Context(), "", request)
	})
}

// answeringNetwork answers each call with fixed outcomes.
type answeringNetwork struct {
	directNetwork
	outcomes []scheduler.Outcome
}

func (n answeringNetwork) Call(context.Context, unit.EntryID, mesh.Kind, []byte) ([]byte, error) {
	return record.Marshal(n.outcomes)
}

// TestForeignOutcomes guards against a task that is started again elsewhere although the
// first start may have been executed, since the answer of an entry of another release is
// not understood.
func TestForeignOutcomes(t *testing.T) {
	const done, unknown, notSent = scheduler.OutcomeDone, scheduler.OutcomeUnknown, scheduler.OutcomeNotSent
	tests := []struct {
		name     string
		outcomes []scheduler.Outcome
		want     []scheduler.Outcome
		wantErr  bool
	}{
		{"known", []scheduler.Outcome{done, notSent}, []scheduler.Outcome{done, notSent}, false},
		{"not known", []scheduler.Outcome{0, 200}, []scheduler.Outcome{unknown, unknown}, false},
		{"too few", []scheduler.Outcome{notSent}, []scheduler.Outcome{unknown, unknown}, true},
		{"too many", []scheduler.Outcome{notSent, notSent, notSent}, []scheduler.Outcome{unknown, unknown}, true},
		{"none", nil, []scheduler.Outcome{unknown, unknown}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), &recordingFleet{})
			s.peers = answeringNetwork{outcomes: tt.outcomes}
			got, err := s.SendStarts(t.Context(), "b", owner.StartBatch{Job: "j", Starts: make([]owner.RelayedStart, 2)})
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantErr, err != nil); diff != "" {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}
