package intake

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
)

// acceptingOwner accepts all notices and knows no job.
type acceptingOwner struct{}

func (acceptingOwner) Accept(context.Context, []Notice) error { return nil }
func (acceptingOwner) State(context.Context, unit.JobID) (graph.State, bool, error) {
	return 0, false, nil
}
func (acceptingOwner) Pending(context.Context, graph.QueueID) (int, error) { return 0, nil }

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
		s.local = acceptingOwner{}
		_, _ = s.handleNotices(t.Context(), "", request)
		_, _ = s.handleState(t.Context(), "", request)
		_, _ = s.handlePending(t.Context(), "", request)
	})
}
