package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestSummary guards against a summary that does not tell what the processor time is
// used for, or that tells a delay of the ticks again which an earlier one has told.
func TestSummary(t *testing.T) {
	tests := []struct {
		name   string
		delay  time.Duration
		late   string
		kinds  []string // of work, if it is not the first summary
		events []string // that are shown at least
	}{
		{"first summary", 0, "0s", nil, nil},
		{"late tick", 70 * time.Millisecond, "70ms", []string{"collect", "core", "listing", "log", "peers", "place", "record", "reply", "request", "rest", "store"}, []string{"passes", "updates"}},
		{"ticks in time", 0, "0s", []string{"collect", "core", "listing", "log", "peers", "place", "record", "reply", "request", "rest", "store"}, []string{"passes", "updates"}},
	}
	var text bytes.Buffer
	s := New(logr.FromSlogHandler(slog.NewJSONHandler(&text, nil)), &scriptedFleet{}, nil, Options{})
	s.ownership = staleOwnership{}
	sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
	defer sh.cancel()
	sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text.Reset()
			sh.placement = placementPacer{}
			sh.update(func(c *scheduler.Core, now time.Time) { c.Tick(now) })
			sh.maxTickDelay, sh.lastSummary = tt.delay, time.Time{}
			sh.logSummary()
			var line struct {
				CPU, System, LockWait *float64
				Work                  map[string]float64
				Events                map[string]float64
				Late                  string
			}
			if err := json.Unmarshal(text.Bytes(), &line); err != nil {
				t.Fatal(err)
			}
			if line.CPU == nil || line.System == nil || line.LockWait == nil {
				t.Errorf("cpu, system or lockwait is missing: %s", text.Bytes())
			}
			if diff := cmp.Diff(tt.late, line.Late); diff != "" {
				t.Errorf("delay of the ticks (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.kinds, slices.Sorted(maps.Keys(line.Work))); diff != "" {
				t.Errorf("kinds of work (-want +got):\n%s", diff)
			}
			shown := slices.Sorted(maps.Keys(line.Events))
			shown = slices.DeleteFunc(shown, func(e string) bool { return !slices.Contains(tt.events, e) })
			if diff := cmp.Diff(tt.events, shown); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}
