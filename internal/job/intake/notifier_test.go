package intake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// remoteOwnership says that another entry owns the shard.
type remoteOwnership struct{}

func (remoteOwnership) Self() unit.EntryID  { return "a" }
func (remoteOwnership) Owner() unit.EntryID { return "b" }

func (remoteOwnership) ClaimRevision() unit.Revision { return 0 }

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
			for i := range maxQueuedNotices {
				queued := tt.queued
				queued.Record.Job.ID = unit.JobID(fmt.Sprint(i)) // one of each job is kept
				n.notify(queued)
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

// narrowOwner receives the calls of all notifiers one after the other over one link. What
// is sent takes its time on the link whether or not the caller still waits.
type narrowOwner struct {
	remoteOwnership
	bytesPerSecond int
	freeAt         time.Time // when the link has carried all that was sent
	readyAt        time.Time // before, calls are refused as the takeover is not complete
	claim          unit.Revision

	mu       sync.Mutex
	sent     int
	received map[unit.JobID]bool
}

func (*narrowOwner) Handle(mesh.Kind, mesh.Handler) {}

func (o *narrowOwner) ClaimRevision() unit.Revision { return o.claim }

func (o *narrowOwner) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, body []byte) ([]byte, error) {
	o.mu.Lock()
	now := time.Now()
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(time.Duration(len(body)) * time.Second / time.Duration(o.bytesPerSecond))
	o.sent += len(body)
	arrival := time.NewTimer(o.freeAt.Sub(now))
	o.mu.Unlock()
	defer arrival.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-arrival.C:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Now().Before(o.readyAt) {
		return nil, owner.ErrNotOwner
	}
	var notices []Notice
	if err := cbor.Unmarshal(body, &notices); err != nil {
		return nil, err
	}
	for _, n := range notices {
		o.received[n.Record.Job.ID] = true
	}
	return nil, nil
}

// TestNoticesOnNarrowLink guards against notices that fill the link of the owner: the
// entries send them again and again in large calls, of which none arrives whole in time,
// and the owner loses the shard as its own calls are late.
func TestNoticesOnNarrowLink(t *testing.T) {
	const (
		entries = 16
		pending = 40   // notices of each entry
		spec    = 1500 // bytes
		claim   = unit.Revision(1000)
	)
	tests := []struct {
		name           string
		bytesPerSecond int
		takeover       time.Duration // until the owner takes notices
		revision       unit.Revision // of the records
		wantReceived   int
		maxSent        int // in multiples of all notices
	}{
		{"wide link", 100 << 20, 0, claim + 1, entries * pending, 1},
		{"wide link, takeover of 2.5 s", 100 << 20, 2500 * time.Millisecond, claim + 1, entries * pending, 2},
		{"2 Mbit/s", 250_000, 0, claim + 1, entries * pending, 3},
		{"2 Mbit/s, takeover of 2.5 s", 250_000, 2500 * time.Millisecond, claim + 1, entries * pending, 3},
		{"records that the takeover reads", 250_000, 2500 * time.Millisecond, claim, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &narrowOwner{bytesPerSecond: tt.bytesPerSecond, readyAt: time.Now().Add(tt.takeover), claim: claim, received: map[unit.JobID]bool{}}
				ctx, cancel := context.WithCancel(t.Context())
				for e := range entries {
					s := New(logr.Discard())
					s.ownership, s.peers = peer, peer
					n := newNotifier(s)
					for i := range pending {
						job := graph.Job{ID: unit.JobID(fmt.Sprintf("%d-%d", e, i)), Spec: strings.Repeat("s", spec)}
						n.notify(Notice{Record: record.Job{Job: job}, Revision: tt.revision, Created: tt.revision})
					}
					go n.run(ctx)
				}
				time.Sleep(noticeTTL)
				cancel()
				synctest.Wait()
				if diff := cmp.Diff(tt.wantReceived, len(peer.received)); diff != "" {
					t.Errorf("notices received (-want +got):\n%s", diff)
				}
				if most := tt.maxSent * entries * pending * (spec + 200); peer.sent > most {
					t.Errorf("%d bytes sent, want at most %d", peer.sent, most)
				}
			})
		})
	}
}

// TestRepeatedNotices guards against notices that pile up while the owner is late, as each
// look at a job asks for one more, and against a cancellation that an earlier record of
// its job takes the place of.
func TestRepeatedNotices(t *testing.T) {
	submitted := Notice{Record: record.Job{Job: graph.Job{ID: "j"}}, Revision: 5}
	cancelled := Notice{Record: record.Final(&graph.Job{ID: "j"}, graph.Cancelled), Revision: 9}
	other := Notice{Record: record.Job{Job: graph.Job{ID: "k"}}, Revision: 6}
	tests := []struct {
		name     string
		inFlight []Notice // in a call that fails
		queued   []Notice // meanwhile
		want     []unit.Revision
	}{
		{"looks at a job", nil, []Notice{submitted, submitted, submitted}, []unit.Revision{5}},
		{"looks at a job whose notice is under way", []Notice{submitted}, []Notice{submitted, submitted}, []unit.Revision{5}},
		{"other jobs", []Notice{submitted}, []Notice{other}, []unit.Revision{5, 6}},
		{"cancelled", nil, []Notice{submitted, other, cancelled}, []unit.Revision{6, 9}},
		{"cancelled while the notice is under way", []Notice{submitted}, []Notice{cancelled}, []unit.Revision{9}},
		{"late look at a cancelled job", nil, []Notice{cancelled, submitted}, []unit.Revision{9}},
		{"late look while the cancellation is under way", []Notice{cancelled}, []Notice{submitted}, []unit.Revision{9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNotifier(New(logr.Discard()))
			for _, notice := range tt.inFlight {
				n.notify(notice)
			}
			batch := n.takeBatch(maxNoticesPerCall, 0, time.Now())
			for _, notice := range tt.queued {
				n.notify(notice)
			}
			n.putBack(batch)
			var got []unit.Revision
			for _, q := range n.pending {
				got = append(got, q.notice.Revision)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("revisions of the notices that wait (-want +got):\n%s", diff)
			}
		})
	}
}
