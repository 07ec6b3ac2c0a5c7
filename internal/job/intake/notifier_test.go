package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// remoteOwnership says that another entry owns the shard.
type remoteOwnership struct{}

func (remoteOwnership) Self() unit.EntryID  { return "a" }
func (remoteOwnership) Owner() unit.EntryID { return "b" }

// slowOwner answers no call until a time, and from then on each after a delay.
type slowOwner struct {
	until    time.Time
	delay    time.Duration
	calls    int
	received []unit.JobID
}

func (*slowOwner) Handle(mesh.Kind, mesh.Handler) {}

func (o *slowOwner) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, body []byte) ([]byte, error) {
	o.calls++
	delay := o.delay
	if time.Now().Before(o.until) {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	var notices []Notice
	if err := cbor.Unmarshal(body, &notices); err != nil {
		return nil, err
	}
	for _, n := range notices {
		o.received = append(o.received, n.Record.Job.ID)
	}
	return nil, nil
}

// TestNotifierOverload guards against cancellations that an overloaded owner learns late
// or never, because their notices are given up or wait behind those of submissions, and
// against calls in quick succession that add to the overload.
func TestNotifierOverload(t *testing.T) {
	tests := []struct {
		name     string
		owner    slowOwner
		silent   time.Duration // before the owner answers
		maxCalls int
		want     []unit.JobID
	}{
		{"owner answers", slowOwner{}, 0, 2, []unit.JobID{"cancelled", "submitted"}},
		{"owner answers late", slowOwner{delay: 2 * time.Second}, 0, 5, []unit.JobID{"cancelled", "submitted"}},
		{"owner is silent for 10 s", slowOwner{}, 10 * time.Second, 10, []unit.JobID{"cancelled", "submitted"}},
		{"owner is silent for longer than the TTL", slowOwner{}, 2 * noticeTTL, 15, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := tt.owner
				peer.until = time.Now().Add(tt.silent)
				s := New(logr.Discard())
				s.ownership, s.peers = remoteOwnership{}, &peer
				n := newNotifier(s)
				n.notify(Notice{Record: record.Job{Job: graph.Job{ID: "submitted"}}})
				n.notify(Notice{Record: record.Final(&graph.Job{ID: "cancelled"}, graph.Cancelled)})
				ctx, cancel := context.WithCancel(t.Context())
				go n.run(ctx)
				time.Sleep(3 * noticeTTL)
				cancel()
				synctest.Wait()
				if diff := cmp.Diff(tt.want, peer.received); diff != "" {
					t.Errorf("notices received (-want +got):\n%s", diff)
				}
				if peer.calls > tt.maxCalls {
					t.Errorf("%d calls, want at most %d", peer.calls, tt.maxCalls)
				}
			})
		})
	}
}

// TestFullQueue guards against a cancellation that is dropped because notices of
// submissions, which the owner can find later, fill the queue, and against a queue
// without a bound.
func TestFullQueue(t *testing.T) {
	submitted := Notice{Record: record.Job{Job: graph.Job{ID: "submitted"}}}
	cancelled := Notice{Record: record.Final(&graph.Job{ID: "cancelled"}, graph.Cancelled)}
	tests := []struct {
		name          string
		queued, added Notice
		urgent        int
	}{
		{"cancellation replaces a submission", submitted, cancelled, 1},
		{"submission is dropped", submitted, submitted, 0},
		{"submission replaces no cancellation", cancelled, submitted, maxQueuedNotices},
		{"cancellation is dropped", cancelled, cancelled, maxQueuedNotices},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNotifier(New(logr.Discard()))
			for range maxQueuedNotices {
				n.notify(tt.queued)
			}
			n.notify(tt.added)
			urgent := 0
			for _, q := range n.pending {
				if q.urgent() {
					urgent++
				}
			}
			if diff := cmp.Diff([]int{maxQueuedNotices, tt.urgent}, []int{len(n.pending), urgent}); diff != "" {
				t.Errorf("notices and cancellations queued (-want +got):\n%s", diff)
			}
		})
	}
}
