package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// abandonedOwnership records that the shard was abandoned.
type abandonedOwnership struct {
	confirmedOwnership
	mu    sync.Mutex
	calls int
}

func (o *abandonedOwnership) Abandon(context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
}

var errOddEntry = errors.New("odd entry")

// oddFleet decodes items by their value.
type oddFleet struct{ scriptedFleet }

func (*oddFleet) Worker(key kv.Key) unit.InstanceID { return unit.InstanceID(key) }

func (*oddFleet) Listing(i kv.Item) (scheduler.Listing, error) {
	switch string(i.Value) {
	case "odd":
		return scheduler.Listing{}, errOddEntry
	case "fault":
		panic("fault in the decoder")
	}
	return scheduler.Listing{ID: unit.InstanceID(i.Key), Service: "orders", Incarnation: 1}, nil
}

// TestOddEntries guards against one odd entry of the instance list or of the job records
// that ends the process, or that hides the entries beside it.
func TestOddEntries(t *testing.T) {
	good, err := record.Encode(record.Job{Format: record.Format, Job: graph.Job{ID: "j", Steps: []graph.Step{{Count: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	odd, err := record.Encode(record.Job{Format: record.Format, Job: graph.Job{ID: "odd", Steps: []graph.Step{{Count: -1}}}})
	if err != nil {
		t.Fatal(err)
	}
	item := func(key, value string) kv.Item { return kv.Item{Key: kv.Key(key), Value: []byte(value), Revision: 5} }
	tests := []struct {
		name    string
		workers []kv.Item
		jobs    []kv.Item
	}{
		{"none", []kv.Item{item("w1", ""), item("w2", "")}, []kv.Item{{Key: "job/j", Value: good, Revision: 5}}},
		{"before the others", []kv.Item{item("a", "odd"), item("w1", ""), item("w2", "")}, []kv.Item{{Key: "job/a", Value: odd, Revision: 5}, {Key: "job/j", Value: good, Revision: 5}}},
		{"between the others", []kv.Item{item("w1", ""), item("w1a", "odd"), item("w2", "")}, []kv.Item{{Key: "job/j", Value: good, Revision: 5}, {Key: "job/odd", Value: odd, Revision: 5}}},
		{"fault in the decoder", []kv.Item{item("a", "fault"), item("w1", ""), item("w2", "")}, []kv.Item{{Key: "job/a", Value: []byte{0xff}, Revision: 5}, {Key: "job/j", Value: good, Revision: 5}}},
		{"record under another key", []kv.Item{item("w1", ""), item("w2", "")}, []kv.Item{{Key: "job/k", Value: good, Revision: 5}, {Key: "job/j", Value: good, Revision: 5}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := &abandonedOwnership{}
				f := &oddFleet{}
				f.workers = map[unit.InstanceID]*scriptedWorker{"w1": {fleet: &f.scriptedFleet, bornAt: time.Now()}, "w2": {fleet: &f.scriptedFleet, bornAt: time.Now()}}
				s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{MaxLease: 10 * time.Second}})
				s.ownership, s.outage = held, fixedOutage(false)
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				sh.core = scheduler.New(s.options.Limits, 1, time.Now())
				(&instanceList{shard: sh}).applyChanges(tt.workers, 5, time.Now())
				jobRecords{sh}.applyChanges(tt.jobs, 5, time.Now())
				sh.mu.Lock()
				workers := len(sh.listings)
				_, job := sh.core.JobState("j")
				sh.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if diff := cmp.Diff(2, workers); diff != "" {
					t.Errorf("workers (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(true, job); diff != "" {
					t.Errorf("job known (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(0, held.calls); diff != "" {
					t.Errorf("shard abandoned (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestFaultInCore guards against a fault in the decisions about one event that ends the
// process, or after which the owner goes on with a state that cannot be trusted.
func TestFaultInCore(t *testing.T) {
	tests := []struct {
		name      string
		event     func(*scheduler.Core, time.Time)
		abandoned int
	}{
		{"none", func(c *scheduler.Core, now time.Time) { c.Tick(now) }, 0},
		{"fault", func(*scheduler.Core, time.Time) { panic("fault in the core") }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held := &abandonedOwnership{}
			s := New(logr.Discard(), &scriptedFleet{}, nil, Options{})
			s.ownership, s.outage = held, fixedOutage(false)
			sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
			defer sh.cancel()
			sh.core = scheduler.New(scheduler.Limits{}, 1, time.Now())
			updates := 0
			for range 2 {
				sh.update(tt.event)
				sh.update(func(*scheduler.Core, time.Time) { updates++ })
			}
			if diff := cmp.Diff(tt.abandoned, held.calls); diff != "" {
				t.Errorf("shard abandoned (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.abandoned > 0, sh.ctx.Err() != nil); diff != "" {
				t.Errorf("term ended (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.abandoned == 0, updates == 2); diff != "" {
				t.Errorf("%d updates afterwards (-want +got):\n%s", updates, diff)
			}
			batch, err := sh.buildBatch(true)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.abandoned == 0, batch != nil); diff != "" {
				t.Errorf("progress written (-want +got):\n%s", diff)
			}
		})
	}
}
