package intake

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// fakeStore returns err for every transaction and holds the records in items.
type fakeStore struct {
	err   error
	items map[kv.Key]bool
}

// Do implements kv.Doer.
func (f fakeStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	switch {
	case r.Op == kv.OpCommit:
		return kv.Response{Revision: 7}, f.err
	case f.items[r.Key]:
		return kv.Response{Items: []kv.Item{{Key: r.Key, Revision: 5}}}, nil
	}
	return kv.Response{}, kv.ErrNotFound
}

// TestCommit guards against reporting a job as stored because another job of its
// transaction is, and against refusing a job that may have been stored.
func TestCommit(t *testing.T) {
	tests := []struct {
		name  string
		store fakeStore
		want  map[unit.JobID]error // nil if accepted
	}{
		{"written", fakeStore{}, map[unit.JobID]error{"a": nil, "b": nil}},
		{"store unavailable", fakeStore{err: kv.ErrUnavailable}, map[unit.JobID]error{"a": ErrRefused, "b": ErrRefused}},
		{"response lost, both stored", fakeStore{err: kv.ErrUnknown, items: map[kv.Key]bool{"job/a": true, "job/b": true}},
			map[unit.JobID]error{"a": nil, "b": nil}},
		{"response lost, one stored by an earlier submission", fakeStore{err: kv.ErrUnknown, items: map[kv.Key]bool{"job/a": true}},
			map[unit.JobID]error{"a": nil, "b": ErrUnknown}},
		{"response lost, none stored yet", fakeStore{err: kv.ErrUnknown}, map[unit.JobID]error{"a": ErrUnknown, "b": ErrUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWriter(kv.Client{Doer: tt.store})
			var batch []*submission
			for _, id := range []unit.JobID{"a", "b"} {
				batch = append(batch, &submission{record: record.Job{Job: graph.Job{ID: id}}, result: make(chan writeResult, 1)})
			}
			w.commit(t.Context(), batch)
			got := map[unit.JobID]error{}
			for _, sub := range batch {
				err := (<-sub.result).err
				for _, kind := range []error{ErrRefused, ErrUnknown} {
					if errors.Is(err, kind) {
						err = kind
					}
				}
				got[sub.record.Job.ID] = err
			}
			if diff := cmp.Diff(tt.want, got, cmp.Comparer(func(a, b error) bool { return a == b })); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}
