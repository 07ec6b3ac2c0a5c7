package kv

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestProgress guards against a caller that takes a slow answer for a silent connection,
// since a service below it replaced its progress function.
func TestProgress(t *testing.T) {
	tests := []struct {
		name      string
		functions int // added one after the other
		want      []int
	}{
		{"none", 0, nil},
		{"one", 1, []int{0}},
		{"two", 2, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reported []int
			ctx := context.Background()
			for i := range tt.functions {
				ctx = WithProgress(ctx, func() { reported = append(reported, i) })
			}
			ReportProgress(ctx)
			if diff := cmp.Diff(tt.want, reported); diff != "" {
				t.Errorf("functions that were called (-want +got):\n%s", diff)
			}
		})
	}
}
