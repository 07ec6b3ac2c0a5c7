package guard

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

var errRefused = errors.New("refused")

// TestValue guards against a panic that ends the process, against one that is lost without
// its place, and against errors that are altered.
func TestValue(t *testing.T) {
	var absent map[string]int
	tests := []struct {
		name     string
		f        func() (int, error)
		want     int
		err      error
		panicked bool
	}{
		{"result", func() (int, error) { return 7, nil }, 7, nil, false},
		{"error", func() (int, error) { return 0, errRefused }, 0, errRefused, false},
		{"panic", func() (int, error) { absent["a"] = 1; return 7, nil }, 0, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Value(tt.f)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("value (-want +got):\n%s", diff)
			}
			failure, panicked := errors.Into[*PanicError](err)
			if diff := cmp.Diff(tt.panicked, panicked); diff != "" {
				t.Fatalf("error %v, panicked (-want +got):\n%s", err, diff)
			}
			if !panicked && !errors.Is(err, tt.err) {
				t.Errorf("error %v, want %v", err, tt.err)
			}
			if panicked && !strings.Contains(failure.Error(), "guard_test.go") {
				t.Errorf("no place of the panic in %q", failure.Error())
			}
		})
	}
}
