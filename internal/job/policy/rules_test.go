package policy

import (
	"testing"
	"time"
)

// TestDelayedByZoneOut guards against batch tasks that start before reports show the load
// of a zone out of service, and against a delay that makes tasks miss a short start
// target.
func TestDelayedByZoneOut(t *testing.T) {
	out := time.Unix(1000, 0)
	tests := []struct {
		name string
		// after is the time since the zone went out of service.
		after time.Duration
		// start is the start target of the class.
		start time.Duration
		want  bool
	}{
		{"no start target", time.Second, 0, true},
		{"start target longer than the delay", time.Second, time.Minute, true},
		{"urgent", time.Second, 3 * time.Second, false},
		{"after the delay", zoneOutDelay, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Admission
			a.RecordZoneOut(out)
			if got := a.DelayedByZoneOut(out.Add(tt.after), tt.start); got != tt.want {
				t.Errorf("delayed: %v, want %v", got, tt.want)
			}
		})
	}
}
