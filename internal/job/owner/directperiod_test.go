package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDirectPeriod guards against a worker that is late again every few seconds for good,
// as an entry that does not reach it gets its heartbeats again and again.
func TestDirectPeriod(t *testing.T) {
	tests := []struct {
		name    string
		relayed []bool // heartbeats through other entries, whether they were answered in time
		want    time.Duration
	}{
		{"probe of a worker with direct heartbeats", nil, minDirectPeriod},
		{"first failure", []bool{false}, minDirectPeriod},
		{"second failure in a row", []bool{false, false}, 2 * minDirectPeriod},
		{"answered between", []bool{false, false, true, false}, minDirectPeriod},
		{"many failures", []bool{false, false, false, false, false, false, false, false}, maxDirectPeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p directPeriod
			for _, answered := range tt.relayed {
				p.recordRelayed(answered)
			}
			now := time.Now()
			p.begin(now)
			if diff := cmp.Diff(tt.want, p.until.Sub(now)); diff != "" {
				t.Errorf("period (-want +got):\n%s", diff)
			}
		})
	}
}
