package owner

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// TestProgressOnLink guards against a record of the progress that is written whole each
// progressInterval, and at once after each failed write, although the link cannot carry it.
func TestProgressOnLink(t *testing.T) {
	tests := []struct {
		name         string
		link         unit.BitRate
		size         unit.Bytes
		dueIn        time.Duration
		dueInFailure time.Duration
	}{
		{"no bound", 0, 100_000, progressInterval, 0},
		{"wide link", 1_000_000_000, 50_000, progressInterval, 4 * time.Millisecond},
		{"narrow link, small record", 2_000_000, 2_500, progressInterval, 100 * time.Millisecond},
		{"narrow link", 2_000_000, 20_000, 800 * time.Millisecond, 800 * time.Millisecond},
		{"narrow link, large record", 2_000_000, 500_000, maxProgressInterval, maxProgressInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			p := newProgressPacer(tt.link)
			if diff := cmp.Diff(true, p.due(start)); diff != "" {
				t.Errorf("due before the first write (-want +got):\n%s", diff)
			}
			dueIn := func() time.Duration {
				var d time.Duration
				for !p.due(start.Add(d)) {
					d += time.Millisecond
				}
				return d
			}
			p.sent(tt.size, start)
			if diff := cmp.Diff(tt.dueIn, dueIn()); diff != "" {
				t.Errorf("due after a write (-want +got):\n%s", diff)
			}
			p.failed()
			if diff := cmp.Diff(tt.dueInFailure, dueIn()); diff != "" {
				t.Errorf("due after a failed write (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProgressWritesOnLink guards against an owner whose commits do not keep to the share
// of the link that the record of the progress has.
func TestProgressWritesOnLink(t *testing.T) {
	const playTime = 10 * time.Second
	tests := []struct {
		name      string
		link      unit.BitRate
		minWrites int
		maxWrites int
	}{
		{"wide link", 1_000_000_000, 40, 41},
		{"narrow link", 2_000_000, 5, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &recordingStore{}
				s := New(logr.Discard(), &scriptedFleet{}, nil, Options{Link: tt.link})
				s.ownership, s.store = confirmedOwnership{}, kv.Client{Doer: store}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1, EpochRevision: 7})
				sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
				var listings []scheduler.Listing
				for i := range 500 { // each is named in the record
					id := unit.InstanceID(fmt.Sprintf("w%d-%s", i, strings.Repeat("x", 20)))
					listings = append(listings, scheduler.Listing{ID: id, Incarnation: 1})
				}
				sh.core.SetWorkers(listings, time.Now())
				sh.goroutines.Go(sh.commitLoop)
				for range playTime / tickInterval {
					sh.update(func(c *scheduler.Core, _ time.Time) { c.MarkProgressChanged() })
					sh.sleep(tickInterval)
				}
				sh.cancel()
				sh.goroutines.Wait()
				writes := 0
				var size unit.Bytes
				for _, txn := range store.txns {
					for _, p := range txn.Puts {
						size += unit.Bytes(len(p.Value))
						if p.Key == record.ProgressKey {
							writes++
						}
					}
				}
				if writes < tt.minWrites || writes > tt.maxWrites {
					t.Errorf("%d writes in %s, want %d to %d", writes, playTime, tt.minWrites, tt.maxWrites)
				}
				if limit := shareOf(tt.link, progressShare) * unit.Bytes(playTime/time.Second) * 110 / 100; size > limit {
					t.Errorf("%d bytes written, want at most %d", size, limit)
				}
			})
		})
	}
}
