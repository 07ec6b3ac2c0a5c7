package kv

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// followedStore answers lists at revision 5, and each watch as its turn says. After the
// last one it ends the context.
type followedStore struct {
	watches []error // nil: answered, with the next revision
	end     context.CancelFunc
	sent    []Request
}

func (s *followedStore) Do(_ context.Context, r Request) (Response, error) {
	s.sent = append(s.sent, r)
	if r.Op != OpWatch {
		return Response{Revision: 5}, nil
	}
	err := s.watches[0]
	s.watches = s.watches[1:]
	if len(s.watches) == 0 {
		s.end()
	}
	if err != nil {
		return Response{}, err
	}
	return Response{Revision: r.Since + 1}, nil
}

// TestFollow guards against an entry on a small link that lists all items, with a
// configuration of 400 KB, each time that a watch gets a late answer.
func TestFollow(t *testing.T) {
	const maxWait = time.Second
	list := Request{Op: OpRange, Key: "op/"}
	watch := func(since unit.Revision, wait time.Duration) Request {
		return Request{Op: OpWatch, Key: "op/", Since: since, Wait: wait}
	}
	tests := []struct {
		name    string
		watches []error
		want    []Request
		took    time.Duration
	}{
		{"answered", []error{nil, nil}, []Request{list, watch(5, maxWait), watch(6, maxWait)}, 0},
		{"no answer once", []error{nil, ErrUnavailable, nil, nil}, []Request{list, watch(5, maxWait), watch(6, maxWait), watch(6, 0), watch(7, maxWait)}, 0},
		{"no answer twice", []error{ErrUnknown, ErrUnavailable, nil, nil}, []Request{list, watch(5, maxWait), watch(5, 0), watch(5, 0), watch(6, maxWait)}, followRetryDelay},
		{"history gone", []error{ErrCompacted, nil}, []Request{list, watch(5, maxWait), list, watch(5, maxWait)}, 0},
		{"history gone after no answer", []error{ErrUnavailable, ErrCompacted, nil}, []Request{list, watch(5, maxWait), watch(5, 0), list, watch(5, maxWait)}, 0},
		{"too many changes", []error{ErrOversized, nil}, []Request{list, watch(5, maxWait), list, watch(5, maxWait)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &followedStore{watches: tt.watches, end: cancel}
				began := time.Now()
				Client{Doer: store}.Follow(ctx, "op/", WatchHandler{
					MaxWait:  func() time.Duration { return maxWait },
					OnList:   func([]Item, time.Time) {},
					OnChange: func([]Item, time.Time) {},
				})
				if diff := cmp.Diff(tt.want, store.sent); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.took, time.Since(began)); diff != "" {
					t.Errorf("took (-want +got):\n%s", diff)
				}
			})
		})
	}
}
