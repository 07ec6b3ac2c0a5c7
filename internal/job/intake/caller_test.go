package intake

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// storedJob is a store with one job record. A commit that creates it conflicts, or has no
// answer if lost is true.
type storedJob struct {
	item kv.Item
	lost bool
}

func (s storedJob) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	switch {
	case r.Op != kv.OpCommit:
		return kv.Response{Items: []kv.Item{s.item}}, nil
	case s.lost:
		return kv.Response{}, kv.ErrUnknown
	case r.Txn.Guards[0].Revision == 0:
		return kv.Response{}, &kv.ConflictError{Items: []kv.Item{s.item}}
	}
	return kv.Response{Revision: 9}, nil
}

// statusOwner answers each call with the status of a job.
type statusOwner struct{ status owner.JobStatus }

func (statusOwner) Handle(mesh.Kind, mesh.Handler) {}
func (o statusOwner) Call(context.Context, unit.EntryID, mesh.Kind, []byte) ([]byte, error) {
	return cbor.Marshal(o.status)
}

// TestVisibility guards against an organisation that sees or cancels a job of another one,
// that is told that such a job is its own, or that does not see its own.
func TestVisibility(t *testing.T) {
	tests := []struct {
		name   string
		caller Caller
		job    graph.Job
		sees   bool
	}{
		{"own job", Caller{"a", "q"}, graph.Job{Organisation: "a", Queue: graph.Queue{ID: "q"}}, true},
		{"own job over another route", Caller{"a", "p"}, graph.Job{Organisation: "a", Queue: graph.Queue{ID: "q"}}, true},
		{"job of another organisation", Caller{"a", "q"}, graph.Job{Organisation: "b", Queue: graph.Queue{ID: "q"}}, false},
		{"job without organisation", Caller{"a", "q"}, graph.Job{Queue: graph.Queue{ID: "q"}}, true},
		{"public route of the queue", Caller{"", "q"}, graph.Job{Organisation: "b", Queue: graph.Queue{ID: "q"}}, true},
		{"public route of another queue", Caller{"", "p"}, graph.Job{Organisation: "b", Queue: graph.Queue{ID: "q"}}, false},
		{"no organisations", Caller{"", "p"}, graph.Job{Queue: graph.Queue{ID: "q"}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.job.ID, tt.job.Steps = "j", []graph.Step{{Count: 1}}
			value, err := record.Encode(record.Job{Format: record.Format, Job: tt.job})
			if err != nil {
				t.Fatal(err)
			}
			store := storedJob{item: kv.Item{Key: "job/j", Value: value, Revision: 5}}
			s := New(logr.Discard())
			s.ownership, s.store, s.notifier = remoteOwnership{}, kv.Client{Doer: store}, newNotifier(s)
			var want error
			if !tt.sees {
				want = ErrNoJob
			}
			for _, status := range []owner.JobStatus{{}, {State: graph.Queued, Known: true, Organisation: tt.job.Organisation, Queue: tt.job.Queue.ID}} {
				s.peers = statusOwner{status}
				if _, err := s.State(t.Context(), tt.caller, "j"); !errors.Is(err, want) {
					t.Errorf("known by the owner %v: state: %v, want %v", status.Known, err, want)
				}
			}
			if err := s.Cancel(t.Context(), tt.caller, "j"); !errors.Is(err, want) {
				t.Errorf("cancellation: %v, want %v", err, want)
			}
			if tt.caller.Organisation == "" {
				return
			}
			if !tt.sees {
				want = ErrOtherOrganisation
			}
			for _, lost := range []bool{false, true} {
				store.lost = lost
				s.writer = newWriter(kv.Client{Doer: store})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				go s.writer.run(ctx)
				err := s.Submit(ctx, graph.Job{ID: "j", Organisation: tt.caller.Organisation, Queue: graph.Queue{ID: tt.caller.Queue}, Steps: tt.job.Steps})
				cancel()
				if !errors.Is(err, want) {
					t.Errorf("submission of the same id, answer lost %v: %v, want %v", lost, err, want)
				}
			}
		})
	}
	if diff := cmp.Diff(graph.Job{ID: "j", Organisation: "a"}, record.Final(&graph.Job{ID: "j", Organisation: "a", Spec: "s"}, graph.Cancelled).Job); diff != "" {
		t.Errorf("job of a final record (-want +got):\n%s", diff)
	}
}
