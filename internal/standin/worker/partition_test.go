package worker_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/standin/relay"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

// TestPartition guards against a start that was under way in a partition taking
// effect after its not-after, and against a task that outlives the lease which
// its owner can no longer renew.
func TestPartition(t *testing.T) {
	const notAfter, lease = 100 * time.Millisecond, 500 * time.Millisecond
	tests := []struct {
		name     string
		cut      []relay.Direction
		wantRuns int
		wantLate int
	}{
		{"orders lost", []relay.Direction{relay.ToFar}, 0, 1},
		{"answers lost", []relay.Direction{relay.ToNear}, 1, 0},
		{"both lost", []relay.Direction{relay.ToFar, relay.ToNear}, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, nil)
			r, err := relay.NewTCP("127.0.0.1:0", s.ControlAddress())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			c := protocol.NewClient(r.Address())
			t.Cleanup(c.Close)
			fence := protocol.Fence{Shard: "z.0", Epoch: 1}
			report, err := c.Heartbeat(t.Context(), protocol.Heartbeat{Fence: fence})
			if err != nil {
				t.Fatal(err)
			}
			r.Cut(test.cut...)
			_, err = c.Orders(t.Context(), protocol.OrderBatch{Fence: fence, Boot: report.Boot, Orders: []protocol.Order{{
				Ref:    protocol.Ref{Task: unit.TaskID{Job: "j"}, Attempt: 1},
				Action: protocol.ActionStart, Size: unit.Resources{Cores: 1, Memory: 1},
				NotAfter: report.Clock.Add(notAfter), LeaseEnd: report.Clock.Add(lease),
			}}})
			if !errors.Is(err, protocol.ErrUnknown) {
				t.Errorf("start into the partition: got %v, want ErrUnknown", err)
			}
			r.Heal() // the client has timed out, long after the not-after and the lease
			deadline := time.Now().Add(5 * time.Second)
			a := s.Audit()
			for len(a.Runs)+a.Late == 0 && time.Now().Before(deadline) {
				time.Sleep(5 * time.Millisecond)
				a = s.Audit()
			}
			if len(a.Runs) != test.wantRuns || a.Late != test.wantLate {
				t.Fatalf("got %d runs and %d late starts, want %d and %d", len(a.Runs), a.Late, test.wantRuns, test.wantLate)
			}
			for _, run := range a.Runs {
				if took := run.End.Sub(run.Start); run.Phase != protocol.PhaseExpired || took > lease {
					t.Errorf("got phase %s after %v, want expired within %v", run.Phase, took, lease)
				}
			}
			if err := worker.CheckAudits([]worker.Audit{a}, nil); err != nil {
				t.Error(err)
			}
		})
	}
}
