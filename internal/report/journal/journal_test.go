package journal

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLimits guards against a journal that grows without limit, drops the newest
// events, or keeps references to dropped events.
func TestLimits(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name     string
		events   int
		subjects int // number of subjects, to which the events go round robin
		kept     int // events kept for subject 0
		index    int // subjects with kept events
	}{
		{"few", 10, 2, 5, 2},
		{"one subject over its limit", 3 * maxPerSubject, 1, maxPerSubject, 1},
		{"ring buffer wraps around", maxEvents + 1000, 4, maxPerSubject, 4},
		{"old subjects are dropped", maxEvents + 500, maxEvents + 500, 0, maxEvents},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := New(start)
			for i := range tt.events {
				j.Record(Event{
					Time:     start.Add(time.Duration(i) * time.Second),
					Subjects: []Subject{{KindTask, strconv.Itoa(i % tt.subjects)}},
				})
			}
			got := []int{len(j.Explain(Subject{KindTask, "0"})), len(j.bySubject), len(j.events)}
			want := []int{tt.kept, tt.index, min(tt.events, maxEvents)}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("kept, subjects, events (-want +got):\n%s", diff)
			}
		})
	}
}
