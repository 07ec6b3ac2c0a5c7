package config

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/link"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// startLoopback starts entries that use the platform stand-in over HTTP and peers
// over QUIC, both on loopback.
func startLoopback(t *testing.T, server *platform.Server, entries int) []site {
	t.Helper()
	authority, err := credential.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	var sites []site
	for i := range entries {
		pair, err := authority.IssueEntry()
		if err != nil {
			t.Fatal(err)
		}
		source, err := credential.NewSource(pair)
		if err != nil {
			t.Fatal(err)
		}
		id := unit.EntryID("e" + strconv.Itoa(i+1))
		peers := link.New(logr.Discard(), link.Options{Address: "127.0.0.1:0", Credentials: source, Seed: uint64(i)})
		if err := peers.Listen(); err != nil {
			t.Fatal(err)
		}
		service := New(logr.Discard())
		startKernel(t, store.NewService(server.Address()), journal.NewService(time.Now()),
			membership.New(logr.Discard(), roster.Entry{ID: id, Zone: "z", Address: peers.Address()}), peers, service)
		sites = append(sites, site{service, id, func(*rand.Rand) {}})
	}
	return sites
}

func startKernel(t *testing.T, services ...registry.Service) {
	t.Helper()
	k := registry.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// TestLoopback guards against faults that only the real protocols reveal: concurrent
// changes over HTTP and QUIC with lost answers and outages that both succeed, and a
// zone change that does not reach every entry in time.
func TestLoopback(t *testing.T) {
	server := platform.NewServer("127.0.0.1:0", nil)
	startKernel(t, server)
	sites := startLoopback(t, server, 3)
	time.Sleep(3 * time.Second)
	sites[0].disturb = func(random *rand.Rand) {
		fault := platform.Fault{LosePart: 0.2, Outage: random.IntN(8) == 0, Slow: unit.Duration(random.IntN(5)) * unit.Duration(time.Millisecond)}
		if err := server.Inject(fault); err != nil {
			t.Error(err)
		}
	}
	history := runHistory(sites, 1, 2*time.Second)
	if err := server.Inject(platform.Fault{}); err != nil {
		t.Fatal(err)
	}
	if !porcupine.CheckOperations(model.ToModel(), history) {
		t.Error("the history is not linearizable")
	}
	t.Logf("changes by outcome: %v", countOutcomes(history))
	time.Sleep(2 * time.Second) // for entries that have to register again
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := sites[1].SetZone(ctx, "z", true, "meera", "out")
	if err != nil || result.Outcome != change.Accepted {
		t.Fatalf("SetZone = %q, %v, missing %v", result.Outcome, err, result.Missing)
	}
	for _, x := range sites {
		if d := x.Current().Document; !d.ZoneOut("z") || !time.Now().Before(x.ServeUntil()) {
			t.Errorf("%s: zones %v, serves until %v", x.id, d.Zones, x.ServeUntil())
		}
	}
}
