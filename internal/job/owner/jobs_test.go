package owner

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// TestKnownJobRecord guards against a list of all jobs that blocks the shard while
// each record is decoded again. A record that is decoded is reported here, as its value
// cannot be.
func TestKnownJobRecord(t *testing.T) {
	tests := []struct {
		name     string
		revision unit.Revision // of the record, which was applied at revision 5
		decoded  bool
	}{
		{"older", 4, false},
		{"applied already", 5, false},
		{"newer", 6, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reports int
			sh := &shard{
				log:          funcr.New(func(string, string) { reports++ }, funcr.Options{}),
				jobRevisions: map[unit.JobID]unit.Revision{"a": 5},
			}
			sh.applyJobRecord(kv.Item{Key: record.JobKey("a"), Value: []byte("?"), Revision: tt.revision}, time.Now())
			if diff := cmp.Diff(tt.decoded, reports > 0); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
		})
	}
}
