package record

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// TestJobRoundTrip guards against a job that changes when it is stored and read
// again, in particular a deadline truncated to seconds.
func TestJobRoundTrip(t *testing.T) {
	want := Job{Format: Format, Job: graph.Job{ID: "5c0e7a21d94b36f8", Spec: "text", Accepted: time.Unix(1_700_000_000, 123_456_789).UTC()}}
	body, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeJob(body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
}

// TestDecodeModel guards against reading the pairs of an earlier release as current
// ones, and against accepting a record of a later release.
func TestDecodeModel(t *testing.T) {
	pairs := []interference.Pair{{Requests: "quotes", Batch: "takeoffs", Rise: 2, Deviation: 0.5}}
	tests := []struct {
		name   string
		format int
		pairs  []interference.Pair
		failed bool
	}{
		{"no format", 0, nil, true},
		{"earlier release", 1, nil, false},
		{"this release", ModelFormat, pairs, false},
		{"later release", ModelFormat + 1, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := Encode(Model{Format: tt.format, Pairs: pairs})
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeModel(body)
			if (err != nil) != tt.failed {
				t.Fatalf("error %v, want an error: %v", err, tt.failed)
			}
			if diff := cmp.Diff(tt.pairs, got.Pairs); diff != "" {
				t.Errorf("pairs (-want +got):\n%s", diff)
			}
		})
	}
}
