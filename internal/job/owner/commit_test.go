package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// conflictingStore rejects each commit with the given state of the guarded items. It
// cancels the caller's context after commitLimit, so that a loop without a pause ends.
type conflictingStore struct {
	items   []kv.Item
	commits int
	cancel  context.CancelFunc
}

const commitLimit = 100

func (s *conflictingStore) Do(context.Context, kv.Request) (kv.Response, error) {
	if s.commits++; s.commits == commitLimit {
		s.cancel()
	}
	return kv.Response{}, &kv.ConflictError{Items: s.items}
}

// TestHandOverConflict guards against a hand-over that repeats a write in a loop without
// a pause: after another entry has claimed the shard, or while nothing that the store
// returns tells why the guards do not hold.
func TestHandOverConflict(t *testing.T) {
	const handOverTime = time.Second
	tests := []struct {
		name       string
		items      []kv.Item
		maxCommits int
	}{
		{"claimed by another entry", []kv.Item{{Key: ownership.EpochKey, Revision: 8}}, 1},
		{"record of the epoch is gone", []kv.Item{{Key: ownership.EpochKey}}, int(handOverTime/retryDelay) + 1},
		{"cause unknown", []kv.Item{{Key: ownership.EpochKey, Revision: 7}}, int(handOverTime/retryDelay) + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), handOverTime)
				defer cancel()
				store := &conflictingStore{items: tt.items, cancel: cancel}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				s.ownership, s.outage, s.store = confirmedOwnership{}, fixedOutage(false), kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1, EpochRevision: unit.Revision(7)})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				sh.handOver(ctx)
				if store.commits > tt.maxCommits {
					t.Errorf("%d commits, want at most %d", store.commits, tt.maxCommits)
				}
			})
		})
	}
}

// recordingStore executes each commit and keeps its transaction.
type recordingStore struct{ txns []kv.Txn }

func (s *recordingStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.txns = append(s.txns, r.Txn)
	return kv.Response{Revision: 20}, nil
}

// TestFinalStateOvertaken guards against a cancellation that was acknowledged to its
// caller and is then overwritten in the store by a final state decided before.
func TestFinalStateOvertaken(t *testing.T) {
	open := record.Job{Format: record.Format, Job: graph.Job{ID: "j", Queue: graph.Queue{Service: "orders", MaxAttempts: 1}}}
	tests := []struct {
		name   string
		record record.Job // read before the write
		want   []kv.Guard
	}{
		{"job is open", open, []kv.Guard{{Key: ownership.EpochKey, Revision: 7}, {Key: "job/j", Revision: 9}}},
		{"job was cancelled", record.Final(&open.Job, graph.Cancelled), nil},
		{"state was written, its answer lost", record.Final(&open.Job, graph.Completed), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &recordingStore{}
			s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
			s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: store}
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1, EpochRevision: 7})
			defer sh.cancel()
			sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
			sh.progress.sent(0, time.Now()) // no progress is due
			sh.applyJob(SubmittedJob{Record: open, Revision: 5, Created: 5}, time.Now())
			sh.finalStates = []scheduler.FinalState{{Job: "j", State: graph.Completed}}
			sh.applyJob(SubmittedJob{Record: tt.record, Revision: 9, Created: 5}, time.Now())
			if _, err := sh.commitOnce(t.Context(), false); err != nil {
				t.Fatal(err)
			}
			var got []kv.Guard
			for _, txn := range store.txns {
				got = append(got, txn.Guards...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("guards of the writes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFinalRecordKeepsOrganisation guards against a job that other organisations see once it
// has ended, against a new owner that does not count the job against the rate of its
// organisation, and against final records that grow where no job has an organisation.
func TestFinalRecordKeepsOrganisation(t *testing.T) {
	accepted := time.Unix(1_000_000, 5).UTC()
	for _, want := range []graph.Job{{ID: "j", Organisation: "a", Queue: graph.Queue{ID: "q"}, Accepted: accepted}, {ID: "j"}} {
		t.Run("organisation "+string(want.Organisation), func(t *testing.T) {
			store := &recordingStore{}
			s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
			s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: store}
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
			defer sh.cancel()
			sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
			sh.progress.sent(0, time.Now()) // no progress is due
			job := graph.Job{ID: "j", Organisation: want.Organisation, Queue: graph.Queue{ID: "q", Service: "orders"}, Accepted: accepted}
			sh.applyJob(SubmittedJob{Record: record.Job{Job: job}, Revision: 5, Created: 5}, time.Now())
			if diff := cmp.Diff(JobStatus{graph.Queued, true, want.Organisation, want.Queue.ID}, sh.state("j")); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			sh.finalStates = []scheduler.FinalState{{Job: "j", State: graph.Completed}}
			if _, err := sh.commitOnce(t.Context(), false); err != nil {
				t.Fatal(err)
			}
			got, err := record.DecodeJob(store.txns[0].Puts[0].Value)
			if diff := cmp.Diff(record.Job{Format: record.Format, State: graph.Completed, Job: want}, got); err != nil || diff != "" {
				t.Errorf("record, error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

// TestHandOverDuringOutage guards against a hand-over that is written while the store answers
// nobody: from then on no lease is extended, and the tasks of all workers end with their leases.
func TestHandOverDuringOutage(t *testing.T) {
	tests := []struct {
		name    string
		outage  bool
		commits int
	}{
		{"store answers", false, 1},
		{"store answers nobody", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				store := &recordingStore{}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				s.ownership, s.outage, s.store = confirmedOwnership{}, fixedOutage(tt.outage), kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				sh.handOver(ctx)
				if diff := cmp.Diff(tt.commits, len(store.txns)); diff != "" {
					t.Errorf("writes (-want +got):\n%s", diff)
				}
			})
		})
	}
}
