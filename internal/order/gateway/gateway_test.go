package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

// TestPath guards against a break anywhere on the path from a caller through an
// entry to an upstream.
func TestPath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w := worker.NewServer("w1", "127.0.0.1:0")
	start(ctx, t, w)
	p := platform.NewServer("127.0.0.1:0", []store.Instance{{
		ID: "w1", Zone: "guj-morbi", Service: "order-desk",
		State: store.InstanceLive, Upstream: w.Address(),
	}})
	start(ctx, t, p)
	g := gateway.New("127.0.0.1:0", "order-desk")
	start(ctx, t, store.NewService(p.Address()), listing.New(logr.Discard()), g)

	resp, err := http.Get("http://" + g.Address() + "/quote")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("w1 /quote\n", string(body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// start runs the services in a kernel of their own until the test ends.
func start(ctx context.Context, t *testing.T, services ...registry.Service) {
	t.Helper()
	k := registry.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
