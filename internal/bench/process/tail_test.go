package process

import (
	"strings"
	"testing"
)

// TestTail guards against a failed test that shows other lines than the last ones of the
// process, or that keeps all that the process has written.
func TestTail(t *testing.T) {
	block := strings.Repeat("x", tailSize)
	tests := []struct {
		name   string
		writes []string
		want   string
	}{
		{"nothing", nil, ""},
		{"less than fits", []string{"a", "b"}, "ab"},
		{"more than fits", []string{block, "a", "b"}, block[2:] + "ab"},
		{"one write that is too long", []string{"a", "b" + block}, block},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var kept tail
			for _, text := range tt.writes {
				if n, err := kept.Write([]byte(text)); n != len(text) || err != nil {
					t.Fatalf("Write of %d bytes: %d, %v", len(text), n, err)
				}
			}
			if got := kept.String(); got != tt.want {
				t.Errorf("%d bytes, want %d; ends with %q", len(got), len(tt.want), got[max(0, len(got)-8):])
			}
		})
	}
}
