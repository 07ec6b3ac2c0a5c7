package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPlacementPacer guards against an owner that does nothing but place tasks, so that its
// heartbeats and renewals are late.
func TestPlacementPacer(t *testing.T) {
	tests := []struct {
		name   string
		pass   time.Duration // how long each pass takes
		passes int           // in a second in which an update comes each millisecond
	}{
		{"nothing to place", 0, 1000},
		{"cheap", 250 * time.Microsecond, 1000},
		{"dear", 20 * time.Millisecond, 13},
		{"very dear", 200 * time.Millisecond, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p placementPacer
			var passes int
			begin := time.Unix(0, 0)
			for now := begin; now.Sub(begin) < time.Second; now = now.Add(time.Millisecond) {
				if !p.due(now) {
					continue
				}
				passes++
				ended := now.Add(tt.pass)
				p.ended(now, ended)
				now = now.Add(tt.pass.Truncate(time.Millisecond))
			}
			if diff := cmp.Diff(tt.passes, passes); diff != "" {
				t.Errorf("passes (-want +got):\n%s", diff)
			}
		})
	}
}
