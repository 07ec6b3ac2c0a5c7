package intake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// lateStore is a store that answers no transaction while late is set, and executes those
// transactions only in executeLate, if their guards hold then.
type lateStore struct {
	mu       sync.Mutex
	revision unit.Revision // of the last change
	items    map[kv.Key]kv.Item
	late     bool
	waiting  []kv.Txn
}

func (s *lateStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Op != kv.OpCommit:
		i, ok := s.items[r.Key]
		if !ok {
			return kv.Response{}, kv.ErrNotFound
		}
		return kv.Response{Items: []kv.Item{i}}, nil
	case s.late:
		s.waiting = append(s.waiting, r.Txn)
		return kv.Response{}, kv.ErrUnknown
	}
	return s.execute(r.Txn)
}

func (s *lateStore) execute(t kv.Txn) (kv.Response, error) {
	conflict := false
	var current []kv.Item
	for _, g := range t.Guards {
		conflict = conflict || s.items[g.Key].Revision != g.Revision
		current = append(current, s.items[g.Key])
	}
	if conflict {
		return kv.Response{}, &kv.ConflictError{Items: current}
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision}
	}
	return kv.Response{Revision: s.revision}, nil
}

// executeLate executes the transactions that were not answered.
func (s *lateStore) executeLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = false
	for _, t := range s.waiting {
		_, _ = s.execute(t) // nobody receives the answer
	}
}

// stored returns the state in the record of a job, or "none".
func (s *lateStore) stored(t *testing.T) string {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[record.JobKey("j")]
	if !ok {
		return "none"
	}
	r, err := record.DecodeJob(i.Value)
	if err != nil {
		t.Fatal(err)
	}
	if r.State == 0 {
		return "open"
	}
	return r.State.String()
}

// TestCancelBeforeWrite guards against a job that runs although its cancellation was
// acknowledged with "no such job", as the write of its record took effect afterwards.
func TestCancelBeforeWrite(t *testing.T) {
	caller := Caller{Queue: "q"}
	job := graph.Job{ID: "j", Queue: graph.Queue{ID: "q"}, Steps: []graph.Step{{Count: 1}}}
	submit := func(s *Service) string { return fmt.Sprintf("submission: %v", kind(s.Submit(t.Context(), job))) }
	cancel := func(s *Service) string {
		return fmt.Sprintf("cancellation: %v", kind(s.Cancel(t.Context(), caller, "j")))
	}
	state := func(s *Service) string {
		got, err := s.State(t.Context(), caller, "j")
		return fmt.Sprintf("state: %s, %v", got, kind(err))
	}
	noAnswer := func(s *Service) string { s.store.Doer.(*lateStore).late = true; return "" }
	answer := func(s *Service) string { s.store.Doer.(*lateStore).late = false; return "" }
	full := func(s *Service) string { // the owner is "b"
		s.admission.set(admission.Snapshot{Load: overload.Load{Full: true, Room: 1 << 30}, At: time.Now()}, "b")
		return ""
	}
	executed := func(s *Service) string { s.store.Doer.(*lateStore).executeLate(); return "" }

	tests := []struct {
		name       string
		calls      []func(*Service) string
		want       []string // results of the calls that have one
		wantStored string
	}{
		{
			"cancelled while its write is under way",
			[]func(*Service) string{noAnswer, submit, answer, cancel, executed, state},
			[]string{"submission: unknown", "cancellation: no job", "state: unknown, no job"},
			"withdrawn",
		},
		{
			"cancelled before the submission arrives",
			[]func(*Service) string{cancel, submit, state, submit, cancel},
			[]string{"cancellation: no job", "submission: ok", "state: cancelled, ok", "submission: ok", "cancellation: ok"},
			"cancelled",
		},
		{
			"cancelled twice",
			[]func(*Service) string{cancel, cancel, state},
			[]string{"cancellation: no job", "cancellation: no job", "state: unknown, no job"},
			"withdrawn",
		},
		{
			"submitted again while the first write is under way",
			[]func(*Service) string{noAnswer, submit, answer, cancel, submit, executed, state},
			[]string{"submission: unknown", "cancellation: no job", "submission: ok", "state: cancelled, ok"},
			"cancelled",
		},
		{
			"cancellation not written",
			[]func(*Service) string{noAnswer, cancel, executed, state},
			[]string{"cancellation: unknown", "state: unknown, no job"},
			"withdrawn",
		},
		{
			"no record while the owner has little memory left",
			[]func(*Service) string{full, cancel, state},
			[]string{"cancellation: unavailable", "state: unknown, no job"},
			"none",
		},
		{
			"stored while the owner has little memory left",
			[]func(*Service) string{full, submit, cancel},
			[]string{"submission: ok", "cancellation: ok"},
			"cancelled",
		},
		{
			"stored before the cancellation",
			[]func(*Service) string{submit, cancel, state},
			[]string{"submission: ok", "cancellation: ok", "state: cancelled, ok"},
			"cancelled",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &lateStore{items: map[kv.Key]kv.Item{}}
			s := newEntry(t.Context(), store, remoteOwnership{}, logr.Discard())
			s.peers = statusOwner{owner.JobStatus{}}
			var got []string
			for _, call := range tt.calls {
				if result := call(s); result != "" {
					got = append(got, result)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantStored, store.stored(t)); diff != "" {
				t.Errorf("state in the record (-want +got):\n%s", diff)
			}
		})
	}
}

// kind returns the name of the error that a call ended with.
func kind(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNoJob):
		return "no job"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return err.Error()
}

// lostAnswerStore executes the first transaction without an answer, and then calls afterwards.
type lostAnswerStore struct {
	*lateStore
	afterwards func()
}

func (s *lostAnswerStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	response, err := s.lateStore.Do(ctx, r)
	if r.Op != kv.OpCommit || s.afterwards == nil {
		return response, err
	}
	afterwards := s.afterwards
	s.afterwards = nil
	afterwards()
	return kv.Response{}, kv.ErrUnknown
}

// TestLostAnswerOfCancelledJob guards against an owner that runs a cancelled job, as the entry
// whose write had no answer tells it that the job is open, with the revision of the cancellation.
func TestLostAnswerOfCancelledJob(t *testing.T) {
	job := graph.Job{ID: "j", Queue: graph.Queue{ID: "q"}, Steps: []graph.Step{{Count: 1}}}
	tests := []struct {
		name        string
		cancelled   bool
		wantNotices int
	}{
		{"cancelled at another entry", true, 0},
		{"not cancelled", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &lostAnswerStore{lateStore: &lateStore{items: map[kv.Key]kv.Item{}}}
			other := newEntry(t.Context(), store.lateStore, remoteOwnership{}, logr.Discard())
			store.afterwards = func() {
				if !tt.cancelled {
					return
				}
				if err := other.Cancel(t.Context(), Caller{Queue: "q"}, "j"); err != nil {
					t.Error(err)
				}
			}
			s := newEntry(t.Context(), store, remoteOwnership{}, logr.Discard())
			if err := s.Submit(t.Context(), job); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.wantNotices, len(s.notifier.pending)); diff != "" {
				t.Errorf("notices of an open job (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWithdrawalOfOtherCaller guards against a caller that cancels, before it is stored, a job
// that it could not see afterwards, and against an owner of the job that is told to repeat it.
func TestWithdrawalOfOtherCaller(t *testing.T) {
	job := func(o unit.OrganisationID, q graph.QueueID) graph.Job {
		return graph.Job{ID: "j", Organisation: o, Queue: graph.Queue{ID: q}, Steps: []graph.Step{{Count: 1}}}
	}
	tests := []struct {
		name   string
		caller Caller // of the cancellation
		job    graph.Job
		want   error // of the submission
		stored string
	}{
		{"same organisation", Caller{"a", "q"}, job("a", "q"), nil, "cancelled"},
		{"same organisation over another route", Caller{"a", "p"}, job("a", "q"), nil, "cancelled"},
		{"another organisation", Caller{"b", "q"}, job("a", "q"), ErrOtherOrganisation, "withdrawn"},
		{"public route of the queue", Caller{"", "q"}, job("a", "q"), nil, "cancelled"},
		{"public route of another queue", Caller{"", "p"}, job("a", "q"), ErrOtherOrganisation, "withdrawn"},
		{"job of a public route", Caller{"a", "p"}, job("", "q"), nil, "cancelled"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &lateStore{items: map[kv.Key]kv.Item{}}
			s := newEntry(t.Context(), store, remoteOwnership{}, logr.Discard())
			if err := s.Cancel(t.Context(), tt.caller, "j"); !errors.Is(err, ErrNoJob) {
				t.Errorf("cancellation: %v, want %v", err, ErrNoJob)
			}
			if err := s.Submit(t.Context(), tt.job); !errors.Is(err, tt.want) {
				t.Errorf("submission: %v, want %v", err, tt.want)
			}
			if diff := cmp.Diff(tt.stored, store.stored(t)); diff != "" {
				t.Errorf("state in the record (-want +got):\n%s", diff)
			}
		})
	}
}
