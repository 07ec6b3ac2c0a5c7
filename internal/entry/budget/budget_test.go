package budget

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	sourceA = Source(netip.MustParseAddr("127.0.0.1"))
	sourceB = Source(netip.MustParseAddr("127.0.0.2"))
)

// connection is what a connection of a test holds, in order of its id from 1.
type connection struct {
	source       Source
	organisation unit.OrganisationID
	bytes        unit.Bytes
	phase        Phase
	since        time.Duration // after start
}

func open(t *testing.T, b *Budget, conns []connection) {
	t.Helper()
	for i, c := range conns {
		id := ConnectionID(i + 1)
		if _, ok := b.Open(id, c.source, c.bytes, start); !ok {
			t.Fatalf("connection %d not opened", id)
		}
		b.SetOrganisation(id, c.organisation)
		b.SetPhase(id, Receiving, start)
		b.SetPhase(id, Idle, start.Add(c.since))
		b.SetPhase(id, c.phase, start.Add(c.since))
	}
}

// TestReserve guards against a budget that is exceeded, against clients that displace others
// which hold less, and against a single request that is rejected although nothing else is
// under way.
func TestReserve(t *testing.T) {
	const total = 100
	tests := []struct {
		name    string
		conns   []connection
		by      ConnectionID
		n       unit.Bytes
		revoked []ConnectionID
		ok      bool
		used    unit.Bytes
	}{
		{"room left", []connection{{sourceA, "", 10, Receiving, 0}, {sourceA, "", 10, Receiving, 1}}, 2, 80, nil, true, 100},
		{"the largest loses", []connection{{sourceA, "", 10, Receiving, 0}, {sourceA, "", 80, Receiving, 0}, {sourceA, "", 1, Receiving, 0}}, 3, 20, []ConnectionID{2}, true, 31},
		{"the slowest loses", []connection{{sourceA, "", 40, Receiving, 2 * time.Second}, {sourceA, "", 40, Receiving, 0}, {sourceA, "", 1, Receiving, 3 * time.Second}}, 3, 20, []ConnectionID{2}, true, 61},
		{"several lose", []connection{{sourceA, "", 40, Receiving, 0}, {sourceA, "", 40, Idle, time.Second}, {sourceA, "", 1, Receiving, 3 * time.Second}}, 3, 90, []ConnectionID{1, 2}, true, 91},
		{"a decision is not interrupted", []connection{{sourceA, "", 90, Deciding, 0}, {sourceA, "", 1, Receiving, 0}}, 2, 20, nil, false, 91},
		{"the source with most loses", []connection{{sourceA, "", 30, Receiving, 5 * time.Second}, {sourceA, "", 30, Receiving, 4 * time.Second}, {sourceB, "", 30, Receiving, 0}, {sourceB, "", 1, Receiving, 0}}, 4, 20, []ConnectionID{2}, true, 81},
		{"the source with most displaces no other", []connection{{sourceA, "", 40, Deciding, 0}, {sourceA, "", 40, Receiving, 0}, {sourceB, "", 20, Receiving, 0}}, 2, 20, nil, false, 100},
		{"the organisation with most loses", []connection{{sourceA, "o1", 50, Receiving, 5 * time.Second}, {sourceA, "o2", 30, Receiving, 0}, {sourceA, "o2", 5, Receiving, 0}}, 3, 20, []ConnectionID{1}, true, 55},
		{"the largest and slowest rejected itself", []connection{{sourceA, "", 60, Receiving, 0}, {sourceA, "", 30, Receiving, time.Second}}, 1, 20, nil, false, 90},
		{"more than the budget while otherwise idle", []connection{{sourceA, "", 10, Idle, 0}, {sourceA, "", 10, Receiving, 0}}, 2, 200, nil, true, 220},
		{"more than the budget", []connection{{sourceA, "", 10, Deciding, 0}, {sourceA, "", 10, Receiving, 0}}, 2, 200, nil, false, 20},
		{"closed connection", nil, 1, 1, nil, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(Limits{Bytes: total, Connections: 10})
			open(t, b, tt.conns)
			revoked, ok := b.Reserve(tt.by, tt.n, start.Add(10*time.Second))
			if diff := cmp.Diff(tt.revoked, revoked); diff != "" {
				t.Errorf("revoked (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]any{tt.ok, tt.used}, []any{ok, b.Used()}); diff != "" {
				t.Errorf("reserved, used (-want +got):\n%s", diff)
			}
			for i := range tt.conns {
				b.Close(ConnectionID(i + 1))
			}
			if diff := cmp.Diff([]int{0, 0, 0, 0}, []int{int(b.Used()), b.Connections(), len(b.sources), len(b.organisations)}); diff != "" {
				t.Errorf("left after all connections were closed (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLingering guards against connections that are revoked faster than they let go of what
// they hold, so that the memory of the process is exhausted all the same.
func TestLingering(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	open(t, b, []connection{{sourceA, "", 90, Receiving, 0}, {sourceA, "", 1, Receiving, 0}, {sourceA, "", 1, Receiving, 0}, {sourceA, "", 1, Receiving, 0}})
	steps := []struct {
		name     string
		by       ConnectionID
		released ConnectionID // lets go of all that it holds before
		ok       bool
	}{
		{"the first is revoked", 2, 0, true},
		{"it still holds its bytes", 3, 0, false},
		{"it has let go of them", 3, 1, true},
		{"the second still holds its bytes", 4, 0, false},
		{"it is closed", 4, 2, true},
	}
	for i, step := range steps {
		if step.released == 1 {
			b.Release(1, 90)
		} else {
			b.Close(step.released)
		}
		_, ok := b.Reserve(step.by, 95, start.Add(time.Duration(i+1)*time.Second))
		if diff := cmp.Diff(step.ok, ok); diff != "" {
			t.Errorf("%s: reserved (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestRevoked guards against live connections that make way for a new one while others, which
// were revoked and only send a response, still hold a descriptor.
func TestRevoked(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 3})
	open(t, b, []connection{{sourceA, "", 60, Receiving, 0}, {sourceA, "", 30, Receiving, 0}, {sourceA, "", 1, Receiving, 0}})
	steps := []struct {
		name    string
		open    ConnectionID // 0: connection 3 reserves
		bytes   unit.Bytes
		revoked []ConnectionID
	}{
		{"the largest loses its bytes", 0, 60, []ConnectionID{1}},
		{"it makes way", 4, 1, []ConnectionID{1}},
		{"then the largest of the others", 5, 1, []ConnectionID{3}},
		{"a revoked one whose request is complete stays", 6, 1, []ConnectionID{4}},
		{"two make way, as the last one is still open", 7, 1, []ConnectionID{4, 5}},
	}
	for i, step := range steps {
		now := start.Add(time.Duration(i+1) * time.Second)
		var revoked []ConnectionID
		if step.open == 6 {
			b.SetPhase(2, Receiving, now)
			b.revoke(b.byID[2], now)
			b.SetPhase(2, Deciding, now)
		}
		if step.open == 0 {
			revoked, _ = b.Reserve(3, step.bytes, now)
		} else {
			revoked, _ = b.Open(step.open, sourceA, step.bytes, now)
			for _, id := range revoked {
				if step.open != 6 { // that one is closed late
					b.Close(id)
				}
			}
		}
		if diff := cmp.Diff(step.revoked, revoked); diff != "" {
			t.Errorf("%s: revoked (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestOpen guards against more connections than the limit, and against ordinary clients
// that are kept out by connections without a request.
func TestOpen(t *testing.T) {
	tests := []struct {
		name    string
		conns   []connection
		revoked []ConnectionID
		ok      bool
	}{
		{"below the limit", []connection{{sourceA, "", 1, Deciding, 0}}, nil, true},
		{"longest idle makes way", []connection{{sourceA, "", 1, Idle, time.Second}, {sourceA, "", 1, Idle, 0}}, []ConnectionID{2}, true},
		{"source with most connections makes way", []connection{{sourceB, "", 1, Idle, 0}, {sourceA, "", 2, Receiving, 5 * time.Second}}, []ConnectionID{2}, true},
		{"all are deciding", []connection{{sourceA, "", 1, Deciding, 0}, {sourceA, "", 1, Deciding, 0}}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(Limits{Bytes: 100, Connections: 2})
			open(t, b, tt.conns)
			revoked, ok := b.Open(99, sourceA, 1, start.Add(10*time.Second))
			if diff := cmp.Diff([]any{tt.revoked, tt.ok}, []any{revoked, ok}); diff != "" {
				t.Errorf("revoked, opened (-want +got):\n%s", diff)
			}
		})
	}
}
