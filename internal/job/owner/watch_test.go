package owner

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// scriptedStore answers watches with one error after the other, and lists at once.
type scriptedStore struct {
	watchErrors []error
	sent        []kv.Op
}

func (s *scriptedStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	s.sent = append(s.sent, r.Op)
	if r.Op != kv.OpWatch {
		return kv.Response{Revision: 9}, nil
	}
	err := s.watchErrors[0]
	s.watchErrors = s.watchErrors[1:]
	return kv.Response{Revision: 8}, err
}

// TestWatchOrList guards against an overloaded owner that reads all jobs each time a
// watch gets a late answer, and against one that waits for a history that is gone.
func TestWatchOrList(t *testing.T) {
	timeout := errors.Join(context.DeadlineExceeded, kv.ErrUnavailable)
	tests := []struct {
		name        string
		watchErrors []error
		want        []kv.Op
		listed      bool
	}{
		{"answered", []error{nil}, []kv.Op{kv.OpWatch}, false},
		{"late once", []error{timeout, nil}, []kv.Op{kv.OpWatch, kv.OpWatch}, false},
		{"late twice", []error{timeout, timeout}, []kv.Op{kv.OpWatch, kv.OpWatch, kv.OpRange}, true},
		{"refused", []error{kv.ErrUnavailable}, []kv.Op{kv.OpWatch, kv.OpRange}, true},
		{"history gone", []error{kv.ErrCompacted}, []kv.Op{kv.OpWatch, kv.OpRange}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &scriptedStore{watchErrors: tt.watchErrors}
			sh := &shard{ctx: t.Context(), service: &Service{store: kv.Client{Doer: store}}}
			_, _, listed, err := sh.watchOrList(record.JobPrefix, 7)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, store.sent); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.listed, listed); diff != "" {
				t.Errorf("listed (-want +got):\n%s", diff)
			}
		})
	}
}
