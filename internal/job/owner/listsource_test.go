package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestReadsListThroughEntry guards against a small fleet whose owner depends on another entry
// for nothing, and against a large list that a small link or one processor has to carry.
func TestReadsListThroughEntry(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		link    unit.BitRate
		want    bool
	}{
		{"no workers", 0, 2_000_000, false},
		{"few workers, small link", 29, 2_000_000, false},
		{"some workers, small link", 30, 2_000_000, true},
		{"some workers, 10 Mbit/s", 122, 10_000_000, false},
		{"more workers, 10 Mbit/s", 214, 10_000_000, true},
		{"some workers, wide link", 250, 1_000_000_000, false},
		{"many workers, wide link", 251, 1_000_000_000, true},
		{"some workers, link not known", 250, 0, false},
		{"many workers, link not known", 890, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, readsListThroughEntry(tt.workers, tt.link)); diff != "" {
				t.Errorf("read through an entry (-want +got):\n%s", diff)
			}
		})
	}
}

// TestListOnLink guards against heartbeats in the instance list that fill the small link of
// an owner, at all times or after a gap, so that answers of workers are late.
func TestListOnLink(t *testing.T) {
	const link unit.BitRate = 2_000_000
	tests := []struct {
		name    string
		workers int
		gap     time.Duration // for which nothing reaches the owner
		steady  unit.Bytes    // limit of what the list takes in 10 s, in percent of the link
		after   unit.Bytes    // limit in the 10 s after the gap
		seen    time.Duration // limit until changes are seen
		resumed time.Duration // limit after the gap
	}{
		{"122 workers", 122, 0, 5, 5, time.Second, time.Second},
		{"214 workers", 214, 0, 5, 5, time.Second, time.Second},
		{"214 workers, gap", 214, 10 * time.Second, 5, 10, time.Second, 2 * time.Second},
		{"900 workers, gap", 900, 10 * time.Second, 5, 15, time.Second, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newEventLog()
				workers := &beatingWorkers{log: log}
				for i := range tt.workers {
					workers.add(scheduler.Incarnation(i))
				}
				var beats sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				defer beats.Wait()
				defer cancel()
				beats.Go(func() { workers.run(ctx) })
				network := newLinkedNetwork(link)
				for _, id := range []unit.EntryID{"a", "b"} {
					e, err := startEntry(t.Context(), id, network, log)
					if err != nil {
						t.Fatal(err)
					}
					defer e.stop()
				}
				o, err := startListOwner(t.Context(), network, link, log, "a", "b")
				if err != nil {
					t.Fatal(err)
				}
				defer o.stop()
				time.Sleep(5 * time.Second)

				window := func(name string, percent unit.Bytes, during func()) {
					before := o.link.bytes()
					during()
					if limit, got := shareOf(link, percent)*10, o.link.bytes()-before; got > limit {
						t.Errorf("%s the list takes %d bytes in 10 s, want at most %d", name, got, limit)
					}
				}
				change := func(first int) {
					workers.set(first, func(w *workerItem) { w.Draining = true })
					workers.set(first+1, func(w *workerItem) { w.Incarnation++ })
					workers.set(first+2, func(w *workerItem) { w.Address = "10.9.9.9:1" })
					workers.remove(first + 3)
					workers.add(1)
				}
				check := func(name string) {
					if diff := cmp.Diff(decodeAll(t, log), o.listings()); diff != "" {
						t.Errorf("%s, workers (-want +got):\n%s", name, diff)
					}
				}
				window("in the steady state", tt.steady, func() {
					change(0)
					time.Sleep(tt.seen)
					check("in the steady state")
					time.Sleep(10*time.Second - tt.seen)
				})
				o.link.setCut(true)
				time.Sleep(tt.gap / 2)
				change(10)
				time.Sleep(tt.gap / 2)
				o.link.setCut(false)
				window("after the gap", tt.after, func() {
					time.Sleep(tt.resumed)
					check("after the gap")
					time.Sleep(10*time.Second - tt.resumed)
				})
				check("at the end")
			})
		})
	}
}

// TestOvertakenList guards against a whole list that arrives behind a later answer and takes
// changes back, or that ends a list of pages which goes on.
func TestOvertakenList(t *testing.T) {
	tests := []struct {
		name    string
		changes follower.Changes
		applied countingHandler
		since   unit.Revision // afterwards
	}{
		{"list, earlier", follower.Changes{Revision: 6, Complete: true}, countingHandler{}, 7},
		{"list, same", follower.Changes{Revision: 7, Complete: true}, countingHandler{}, 7},
		{"list, later", follower.Changes{Revision: 8, Complete: true}, countingHandler{pages: 1}, 8},
		{"changes, later", follower.Changes{Revision: 8}, countingHandler{changes: 1}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var applied countingHandler
			sentAt := time.Now()
			r := &changeReader{handler: &applied, confirmed: &confirmation{}, since: 7}
			r.applyChanges(tt.changes, sentAt)
			if diff := cmp.Diff(tt.applied, applied, cmp.AllowUnexported(countingHandler{})); diff != "" {
				t.Errorf("applied (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.since, r.appliedRevision()); diff != "" {
				t.Errorf("applied up to (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(time.Duration(0), r.confirmed.age(sentAt)); diff != "" {
				t.Errorf("age of the view (-want +got):\n%s", diff)
			}
		})
	}
}

// TestListReaders guards against an entry that reads the list beside sending heartbeats
// while others do neither.
func TestListReaders(t *testing.T) {
	entries := []unit.EntryID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	tests := []struct {
		name    string
		entries []unit.EntryID
		want    []unit.EntryID
	}{
		{"none", nil, nil},
		{"few", entries[:3], entries[:3]},
		{"more than relays", entries, []unit.EntryID{"i", "j", "a", "b", "c", "d", "e", "f", "g", "h"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, listReaders(tt.entries), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("entries (-want +got):\n%s", diff)
			}
		})
	}
}
