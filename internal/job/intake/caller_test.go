package intake

import (
	"context"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

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
			check := func(what string, err, hidden error) {
				t.Helper()
				if tt.sees != (err == nil) || !tt.sees && !errors.Is(err, hidden) {
					t.Errorf("%s: %v, want visible: %v", what, err, tt.sees)
				}
			}
			tt.job.ID, tt.job.Steps = "j", []graph.Step{{Count: 1}}
			value, err := record.Encode(record.Job{Format: record.Format, Job: tt.job})
			if err != nil {
				t.Fatal(err)
			}
			store := storedJob{item: kv.Item{Key: "job/j", Value: value, Revision: 5}}
			s := New(logr.Discard())
			s.ownership, s.store, s.notifier = remoteOwnership{}, kv.Client{Doer: store}, newNotifier(s)
			for _, status := range []owner.JobStatus{{}, {State: graph.Queued, Known: true, Organisation: tt.job.Organisation, Queue: tt.job.Queue.ID}} {
				s.peers = statusOwner{status}
				_, err = s.State(t.Context(), tt.caller, "j")
				check(fmt.Sprintf("state, known by the owner %v", status.Known), err, ErrNoJob)
			}
			check("cancellation", s.Cancel(t.Context(), tt.caller, "j"), ErrNoJob)
			for _, store.lost = range []bool{false, true} {
				s.writer = newWriter(kv.Client{Doer: store})
				ctx, cancel := context.WithCancel(t.Context())
				go s.writer.run(ctx)
				job := graph.Job{ID: "j", Organisation: tt.caller.Organisation, Queue: graph.Queue{ID: tt.caller.Queue}, Steps: tt.job.Steps}
				check(fmt.Sprintf("submission of the id, answer lost %v", store.lost), s.Submit(ctx, job), ErrOtherOrganisation)
				cancel()
			}
		})
	}
	if got := record.Final(&graph.Job{ID: "j", Organisation: "a"}, graph.Cancelled).Job.Organisation; got != "a" {
		t.Errorf("final record of organisation %q, want a", got)
	}
}

// creatingStore creates each record once, as a store does.
type creatingStore struct{ items map[kv.Key]kv.Item }

func (s creatingStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	for _, p := range r.Txn.Puts {
		if old, ok := s.items[p.Key]; ok {
			return kv.Response{}, &kv.ConflictError{Items: []kv.Item{old}}
		}
	}
	for _, p := range r.Txn.Puts {
		s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: 5}
	}
	return kv.Response{Revision: 5}, nil
}

// TestConflictingIDs guards against two organisations that submit one id at the same time and are both
// told that their job was accepted, while the store has only one of them.
func TestConflictingIDs(t *testing.T) {
	w := newWriter(kv.Client{Doer: creatingStore{map[kv.Key]kv.Item{}}})
	organisations := []unit.OrganisationID{"a", "b", "a"}
	var subs []*submission
	for _, o := range organisations {
		job := graph.Job{ID: "j", Organisation: o, Steps: []graph.Step{{Count: 1}}}
		subs = append(subs, &submission{record: record.Job{Format: record.Format, Job: job}, result: make(chan writeResult, 1)})
		w.pending <- subs[len(subs)-1]
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.run(ctx)
	for i, want := range []error{nil, ErrOtherOrganisation, nil} {
		if err := (<-subs[i].result).err; !errors.Is(err, want) {
			t.Errorf("submission %d of organisation %q: %v, want %v", i, organisations[i], err, want)
		}
	}
}
