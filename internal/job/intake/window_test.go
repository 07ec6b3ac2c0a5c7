package intake

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// jobOf returns a job with a text of a number of bytes.
func jobOf(id unit.JobID, n int) graph.Job {
	return graph.Job{ID: id, Steps: []graph.Step{{Count: 1, Label: strings.Repeat("x", n)}}}
}

// TestWindow guards against jobs that an entry accepts faster than the owner tells what is left
// of its memory, and against a single job that is rejected in calm.
func TestWindow(t *testing.T) {
	large := jobOf("large", 40<<10)
	tests := []struct {
		name   string
		limit  unit.Bytes
		others int        // large jobs that are being submitted
		queued unit.Bytes // for which notices are queued
		job    graph.Job
		ok     bool
	}{
		{"no bound", 0, 100, 1 << 30, large, true},
		{"larger than the window, alone", 1 << 10, 0, 0, large, true},
		{"room left", 200 << 10, 1, 0, large, true},
		{"too little left beside others", 200 << 10, 3, 0, large, false},
		{"too little left beside queued notices", 200 << 10, 0, 150 << 10, large, false},
		{"small one beside large ones", 200 << 10, 3, 0, jobOf("small", 10), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := window{limit: tt.limit}
			for range tt.others {
				w.add(&large)
			}
			if diff := cmp.Diff(tt.ok, w.enter(&tt.job, tt.queued)); diff != "" {
				t.Fatalf("entered (-want +got):\n%s", diff)
			}
			if tt.ok {
				w.leave(&tt.job)
			}
			for range tt.others {
				w.leave(&large)
			}
			if diff := cmp.Diff(unit.Bytes(0), w.used); diff != "" {
				t.Errorf("used after all have left (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWindowRejection guards against a rejection of a job that was accepted before, which would
// not be true, and against rejections that do not say so.
func TestWindowRejection(t *testing.T) {
	tests := []struct {
		name     string
		store    countingStore
		rejected bool
	}{
		{"new", countingStore{}, true},
		{"accepted before", countingStore{fakeStore: fakeStore{items: map[kv.Key]bool{"job/j": true}}}, false},
		{"store not reached", countingStore{notReached: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEntry(t.Context(), &tt.store, &namedOwner{self: "a", owner: "b"}, logr.Discard())
			s.window.limit, s.window.used = 1<<10, 1<<10
			err := s.Submit(t.Context(), rejectedJob)
			rejected, isRejected := err.(*RejectedError)
			if diff := cmp.Diff(tt.rejected, isRejected); diff != "" {
				t.Fatalf("rejected (-want +got), error %v:\n%s", err, diff)
			}
			if isRejected && rejected.Cause != admission.NoMemory {
				t.Errorf("cause %q, want %q", rejected.Cause, admission.NoMemory)
			}
			if diff := cmp.Diff(unit.Bytes(1<<10), s.window.used); diff != "" {
				t.Errorf("window after the submission (-want +got):\n%s", diff)
			}
		})
	}
}

// TestQueuedSubmissions guards against submissions that take memory while the store does not
// answer, also after their callers have left, and against a single one that is refused.
func TestQueuedSubmissions(t *testing.T) {
	tests := []struct {
		name   string
		size   int // of each
		queued int // of 300
	}{
		{"small", 100, 256},
		{"as large as the bound allows", 32 << 10, 256},
		{"large", 1 << 20, 8},
		{"larger than the bound", 9 << 20, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, queued := newWriter(kv.Client{}), 0
			for range 300 {
				sub := &submission{size: unit.Bytes(tt.size)}
				if w.enqueue(sub) {
					queued++
				}
			}
			if diff := cmp.Diff(tt.queued, queued); diff != "" {
				t.Errorf("queued (-want +got):\n%s", diff)
			}
			for range queued {
				w.forget([]*submission{<-w.pending})
			}
			if !w.enqueue(&submission{size: unit.Bytes(tt.size)}) {
				t.Error("refused after the others have got a result")
			}
		})
	}
}

// TestNoticeBytes guards against notices that take the memory of the entry, and against calls
// that are too large to arrive.
func TestNoticeBytes(t *testing.T) {
	tests := []struct {
		name    string
		size    int // of each of 300 notices
		queued  int
		perCall int
	}{
		{"small", 100, maxQueuedNotices, maxNoticesPerCall},
		{"large", 200 << 10, 40, 5},
		{"larger than a call", 2 << 20, 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNotifier(New(logr.Discard()))
			for i := range 300 {
				n.notify(Notice{Record: record.Job{Job: jobOf(unit.JobID(strings.Repeat("j", i+1)), tt.size)}})
			}
			if diff := cmp.Diff(tt.queued, len(n.pending)); diff != "" {
				t.Errorf("queued (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.perCall, len(n.takeBatch(maxNoticesPerCall, 0, time.Now()))); diff != "" {
				t.Errorf("notices of a call (-want +got):\n%s", diff)
			}
		})
	}
}

// fullLoad is the load of an owner that has no memory left for jobs, until that is over.
type fullLoad struct{ over atomic.Bool }

func (l *fullLoad) Load(now time.Time) (overload.Load, time.Time, bool) {
	return overload.Load{Full: !l.over.Load()}, now, true
}

// TestFullOwner guards against an entry that goes on to reject jobs, or accepts some each time
// that its view of the owner is too old, since rejections cause no notice.
func TestFullOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		load := &fullLoad{}
		owner := New(logr.Discard())
		owner.local = &acceptingOwner{}
		s := newEntry(ctx, &countingStore{}, &namedOwner{self: "a", owner: "b"}, logr.Discard())
		s.peers = directNetwork{owner}
		owner.ownLoad = load
		go s.notifier.run(ctx)
		s.notifier.notify(Notice{})
		for range 10 {
			time.Sleep(fullPollInterval)
			if err := s.Submit(ctx, rejectedJob); err == nil {
				t.Fatal("accepted while the owner is full")
			}
		}
		load.over.Store(true)
		time.Sleep(2 * fullPollInterval)
		if err := s.Submit(ctx, rejectedJob); err != nil {
			t.Errorf("rejected after the owner has room again: %v", err)
		}
	})
}
