package intake

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// acceptingOwner keeps the notices that it accepts and knows no job.
type acceptingOwner struct{ accepted []Notice }

func (o *acceptingOwner) Accept(_ context.Context, notices []Notice) error {
	o.accepted = append(o.accepted, notices...)
	return nil
}
func (*acceptingOwner) State(context.Context, unit.JobID) (owner.JobStatus, error) {
	return owner.JobStatus{}, nil
}
func (*acceptingOwner) Pending(context.Context, graph.QueueID) (int, error) { return 0, nil }

// FuzzCalls guards against a call of another entry that ends the process.
func FuzzCalls(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	body, err := cbor.Marshal([]Notice{{Record: record.Job{Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: -1}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, request []byte) {
		s := New(logr.Discard())
		s.local = &acceptingOwner{}
		_, _ = s.handleNotices(t.Context(), "", request)
		_, _ = s.handleState(t.Context(), "", request)
		_, _ = s.handlePending(t.Context(), "", request)
	})
}

// directNetwork passes calls to a service of the same process.
type directNetwork struct{ to *Service }

func (directNetwork) Handle(mesh.Kind, mesh.Handler) {}
func (n directNetwork) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, request []byte) ([]byte, error) {
	return n.to.handleNotices(ctx, "", request)
}

// TestNoticeTimes guards against jobs that start early, or count as late before they are,
// because a notice to the owner cuts their times to whole seconds.
func TestNoticeTimes(t *testing.T) {
	at := time.Unix(1_700_000_000, 750_000_000).UTC()
	tests := []struct {
		name string
		job  graph.Job
	}{
		{"accepted now", graph.Job{ID: "j", Accepted: at}},
		{"due later", graph.Job{ID: "j", Accepted: at, Times: 3, FirstDue: at.Add(5 * time.Second), Interval: 1500 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local := &acceptingOwner{}
			owner, other := New(logr.Discard()), New(logr.Discard())
			owner.local = local
			other.ownership, other.peers = remoteOwnership{}, directNetwork{owner}
			notice := Notice{Record: record.Job{Format: record.Format, Job: tt.job}, Revision: 7, Created: 7}
			if err := newNotifier(other).send(t.Context(), []queuedNotice{{notice: notice}}, time.Second); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]Notice{notice}, local.accepted); diff != "" {
				t.Errorf("notices (-want +got):\n%s", diff)
			}
		})
	}
}
