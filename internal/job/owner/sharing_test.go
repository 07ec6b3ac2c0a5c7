package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// TestShareHysteresis guards against heartbeats that move between the owner and other entries
// each time that a worker comes or goes.
func TestShareHysteresis(t *testing.T) {
	const link = unit.BitRate(2_000_000)
	tests := []struct {
		name      string
		processor unit.Millicores
		link      unit.BitRate
	}{
		{"processor", 120, 0},
		{"link", 0, link},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), nil, nil, Options{Processor: tt.processor, Link: tt.link})
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
			shares := func(workers int) bool {
				sh.workerClients = map[unit.InstanceID]*workerClient{}
				for i := range workers {
					sh.workerClients[unit.InstanceID(fmt.Sprint(i))] = nil
				}
				sh.heartbeats.setWorkers(workers, time.Now())
				sh.relays.shareHeartbeats()
				return sh.relays.sharing > 0
			}
			begins := 1
			for !shares(begins) {
				begins++
			}
			ends := begins
			for shares(ends) {
				ends--
			}
			if most := begins * (relayHysteresis + 2) / 100; ends > most {
				t.Errorf("shared from %d workers on and down to %d, want at most %d", begins, ends+1, most)
			}
		})
	}
}
