package owner

import "testing"

// TestConnsPerWorker guards against an owner that runs out of sockets with many
// workers: then workers cannot be reached and their leases expire.
func TestConnsPerWorker(t *testing.T) {
	tests := []struct {
		name                      string
		workers, sockets, present int
		want                      int
	}{
		{"no limit known", 10_000, 0, ownConns, ownConns},
		{"small fleet", 66, 3900, ownConns, ownConns},
		{"large fleet", 3000, 3900, ownConns, sharedConns},
		{"just too many", 1200, 3900, ownConns, sharedConns},
		{"a few fewer afterwards", 1100, 3900, sharedConns, sharedConns},
		{"many fewer afterwards", 800, 3900, sharedConns, ownConns},
		{"hardly any sockets", 10, 300, ownConns, sharedConns},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := connsPerWorker(tt.workers, tt.sockets, tt.present)
			if got != tt.want {
				t.Errorf("%d connections, want %d", got, tt.want)
			}
			if used := got * tt.workers; tt.sockets > otherSockets && got == ownConns && used > tt.sockets-otherSockets {
				t.Errorf("%d connections of %d sockets", used, tt.sockets)
			}
		})
	}
}
