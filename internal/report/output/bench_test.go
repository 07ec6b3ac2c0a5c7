package output

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// BenchmarkOrderLine measures the processor time of a line about an order, of which a large
// fleet causes over a thousand a second.
func BenchmarkOrderLine(b *testing.B) {
	w := New(io.Discard, Reservation{Kind: "order start done", PerSecond: 1e9, Burst: 1e9})
	defer w.Close()
	log := w.Logger(slog.LevelInfo).WithName("shard").WithValues("entry", "e-1", "epoch", unit.Epoch(3))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("order", "worker", "i-0123456789abcdef", "kind", "start", "job", "j-0123456789ab", "occurrence", 0, "step", 1,
			"task", 12, "run", 3000001, "reason", "ready", "percent", 0, "via", "e-2", "outcome", "done")
		for len(w.lines) > queueLines/2 {
			time.Sleep(time.Microsecond)
		}
	}
}
