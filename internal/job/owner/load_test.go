package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestLoadOfTerm guards against a new owner that tells a load before its workers have
// reported, against a load that is computed with each notice, and against one that is told
// after the term.
func TestLoadOfTerm(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // since the takeover is complete, or negative before
		end   func(*shard)
		want  []time.Duration // ages of the loads that are told then and 100 and 250 ms later
	}{
		{"takeover not complete", -1, nil, nil},
		{"just taken over", 500 * time.Millisecond, nil, nil},
		{"later", 2 * time.Second, nil, []time.Duration{0, 100 * time.Millisecond, 0}},
		{"handing over", 2 * time.Second, func(sh *shard) { sh.handingOver = true }, nil},
		{"abandoned", 2 * time.Second, func(sh *shard) { sh.abandoned = true }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				defer sh.cancel()
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				s.setShard(sh)
				if tt.after >= 0 {
					sh.beginLoads(time.Now())
					time.Sleep(tt.after)
				}
				if tt.end != nil {
					tt.end(sh)
				}
				var got []time.Duration
				for _, wait := range []time.Duration{0, 100 * time.Millisecond, 150 * time.Millisecond} {
					time.Sleep(wait)
					if _, at, ok := s.Load(time.Now()); ok {
						got = append(got, time.Since(at))
					}
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("ages of the loads (-want +got):\n%s", diff)
				}
			})
		})
	}
}
