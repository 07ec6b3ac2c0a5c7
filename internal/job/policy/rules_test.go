package policy

import (
	"testing"
	"time"
)

// TestShifted guards against batch tasks that start before reports show the load
// of a lost zone, and against urgent ones that miss their start for that reason.
func TestShifted(t *testing.T) {
	out := time.Unix(1000, 0)
	tests := []struct {
		name  string
		after time.Duration // since the zone went out
		start time.Duration // target of the class
		want  bool
	}{
		{"no start target", time.Second, 0, true},
		{"start later than the hold", time.Second, time.Minute, true},
		{"urgent", time.Second, 3 * time.Second, false},
		{"after the hold", shiftHold, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g Admission
			g.RecordZoneOut(out)
			if got := g.DelayedByZoneOut(out.Add(tt.after), tt.start); got != tt.want {
				t.Errorf("held back: %v, want %v", got, tt.want)
			}
		})
	}
}
