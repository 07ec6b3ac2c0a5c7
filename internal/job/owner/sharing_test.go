package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
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

// TestStartsThroughRelays guards against starts that the owner sends itself, although its
// processor is short, and against starts through so few entries that their links are short
// as well.
func TestStartsThroughRelays(t *testing.T) {
	tests := []struct {
		name      string
		processor unit.Millicores
		link      unit.BitRate
		workers   int
		want      scheduler.StartRelays
		through   int
	}{
		{"small fleet", 800, 0, 10, scheduler.StartRelays{Registered: maxRelays, Reachable: maxRelays}, maxRelays},
		{"processor short", 120, 0, 200, scheduler.StartRelays{Registered: maxRelays, Reachable: maxRelays, Preferred: true}, maxStartRelays},
		{"link short", 0, 2_000_000, 200, scheduler.StartRelays{Registered: maxRelays, Reachable: maxRelays, Preferred: true}, maxRelays},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), nil, nil, Options{Processor: tt.processor, Link: tt.link})
				entries := make([]unit.EntryID, maxRelays+1)
				for i := range entries {
					entries[i] = unit.EntryID(fmt.Sprint(i))
				}
				relay := &losingRelay{}
				s.ownership, s.relay, s.heartbeatRelay = relayingOwnership{entries: entries}, relay, relay
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				for i := range tt.workers {
					sh.workerClients[unit.InstanceID(fmt.Sprint(i))] = nil
				}
				sh.heartbeats.setWorkers(tt.workers, time.Now())
				sh.mu.Lock()
				sh.relays.update(time.Now())
				sh.mu.Unlock()
				synctest.Wait()
				sh.mu.Lock()
				got, through := sh.relays.update(time.Now()), sh.relays.startRelays()
				sh.mu.Unlock()
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("relays (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.through, through); diff != "" {
					t.Errorf("entries that starts go through (-want +got):\n%s", diff)
				}
				sh.cancel()
				sh.goroutines.Wait()
			})
		})
	}
}
