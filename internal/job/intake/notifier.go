package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// Bounds of the notices to the owner. An overloaded owner reads the records in the store
// late or not at all, so its notices are sent again for longer than it may take to lose
// the shard to another entry.
const (
	noticeTTL              = 30 * time.Second
	minNoticeRetryInterval = 50 * time.Millisecond
	maxNoticeRetryInterval = 800 * time.Millisecond
	// maxNoticeTimeout is below the time after which the owner drops a call.
	maxNoticeTimeout  = 2400 * time.Millisecond
	maxQueuedNotices  = 256
	maxNoticesPerCall = 32
	// maxQueuedNoticeBytes and maxNoticeBytesPerCall bound the texts of the jobs in them. A call
	// above mesh.MaxMessage never arrives.
	maxQueuedNoticeBytes  unit.Bytes = 8 << 20
	maxNoticeBytesPerCall unit.Bytes = 1 << 20
	// fullPollInterval is the time between two calls without a notice to an owner that has
	// little memory left, which tell when that is over.
	fullPollInterval = time.Second
)

// notifier sends notices of new and changed records to the owner of the shard, those of
// cancellations first. It drops a notice that is older than noticeTTL.
type notifier struct {
	service *Service
	queued  chan struct{} // signals that a notice was queued

	mu      sync.Mutex
	pending []queuedNotice // oldest first
}

// queuedNotice is a notice and the time at which it expires.
type queuedNotice struct {
	notice   Notice
	deadline time.Time
}

// urgent reports whether the record ends its job, whose tasks run until the owner knows.
func (q queuedNotice) urgent() bool { return q.notice.Record.State.Final() }

// size returns about the bytes of the notice.
func (q queuedNotice) size() unit.Bytes { return q.notice.Record.Job.TextSize() }

// coveredBy reports whether another notice has the same record or a later one.
func (q queuedNotice) coveredBy(other queuedNotice) bool {
	return q.notice.Record.Job.ID == other.notice.Record.Job.ID && q.notice.Revision <= other.notice.Revision
}

func newNotifier(s *Service) *notifier {
	return &notifier{service: s, queued: make(chan struct{}, 1)}
}

// notify queues a notice in place of an earlier one of the same job. If the queue is full, a
// cancellation replaces the oldest other notice, and another notice is dropped, since the
// owner finds the record in the store.
func (t *notifier) notify(n Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := queuedNotice{n, time.Now().Add(noticeTTL)}
	if slices.ContainsFunc(t.pending, added.coveredBy) {
		return // each look at a job that the owner does not know yet asks for a notice
	}
	t.pending = slices.DeleteFunc(t.pending, func(q queuedNotice) bool { return q.coveredBy(added) })
	if len(t.pending) >= maxQueuedNotices || t.queuedBytes()+added.size() > maxQueuedNoticeBytes {
		i := slices.IndexFunc(t.pending, func(q queuedNotice) bool { return !q.urgent() })
		if !added.urgent() || i < 0 {
			t.service.log.V(1).Info("notice to the owner dropped: queue full", "job", n.Record.Job.ID)
			return
		}
		t.pending = slices.Delete(t.pending, i, i+1)
	}
	t.pending = append(t.pending, added)
	select {
	case t.queued <- struct{}{}:
	default:
	}
}

// size returns the memory of the jobs in the queued notices.
func (t *notifier) size() unit.Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n unit.Bytes
	for _, q := range t.pending {
		n += q.notice.Record.Job.Memory()
	}
	return n
}

// queuedBytes returns the size of the queued notices. It is called with the lock held.
func (t *notifier) queuedBytes() unit.Bytes {
	var n unit.Bytes
	for _, q := range t.pending {
		n += q.size()
	}
	return n
}

// takeBatch removes the notices of the next call from the queue, at most limit, and those
// that are not needed: they have expired, or the owner has read their records since its
// claim, which has the given revision, or 0 if it is not known.
func (t *notifier) takeBatch(limit int, claim unit.Revision, now time.Time) []queuedNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = slices.DeleteFunc(t.pending, func(q queuedNotice) bool {
		return !now.Before(q.deadline) || (claim != 0 && q.notice.Revision <= claim)
	})
	var batch []queuedNotice
	var size unit.Bytes
	for _, urgent := range []bool{true, false} {
		t.pending = slices.DeleteFunc(t.pending, func(q queuedNotice) bool {
			if q.urgent() != urgent || len(batch) == limit || (len(batch) > 0 && size+q.size() > maxNoticeBytesPerCall) {
				return false
			}
			batch, size = append(batch, q), size+q.size()
			return true
		})
	}
	return batch
}

// putBack returns the notices of a failed call to the queue, which may then exceed its
// bound by one call. Of two about one job it keeps that with the later record.
func (t *notifier) putBack(batch []queuedNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(q queuedNotice) bool { return slices.ContainsFunc(t.pending, q.coveredBy) })
	t.pending = slices.DeleteFunc(t.pending, func(q queuedNotice) bool { return slices.ContainsFunc(batch, q.coveredBy) })
	t.pending = append(batch, t.pending...)
}

// run delivers notices in batches until the context ends. After a failure it waits
// longer for the answer and before the next call, since each call that it gives up costs
// an overloaded owner a connection. The next calls then begin with one notice: a large one
// that does not arrive whole in time only fills the owner's link.
func (t *notifier) run(ctx context.Context) {
	timeout, delay, limit := ownerTimeout, minNoticeRetryInterval, maxNoticesPerCall
	for ctx.Err() == nil {
		batch := t.takeBatch(limit, t.service.ownership.ClaimRevision(), time.Now())
		if len(batch) == 0 {
			t.await(ctx)
			continue
		}
		sentAt := time.Now()
		if err := t.send(ctx, batch, timeout); err == nil {
			timeout = min(max(ownerTimeout, 2*time.Since(sentAt)), maxNoticeTimeout)
			delay, limit = minNoticeRetryInterval, min(2*limit, maxNoticesPerCall)
			continue
		}
		t.putBack(batch)
		wait.For(ctx, delay)
		timeout, delay, limit = min(2*timeout, maxNoticeTimeout), min(2*delay, maxNoticeRetryInterval), 1
	}
}

// await waits until a notice is queued. While the owner has little memory left, it asks the
// owner for its load meanwhile, as submissions that are rejected cause no notice.
func (t *notifier) await(ctx context.Context) {
	var poll <-chan time.Time
	if t.service.admission.ownerIsFull() {
		poll = time.After(fullPollInterval)
	}
	select {
	case <-ctx.Done():
	case <-t.queued:
	case <-poll:
		if err := t.send(ctx, nil, ownerTimeout); err != nil {
			t.service.log.V(1).Info("load of the owner not received", "error", err.Error())
		}
	}
}

// send passes notices to the owner once, directly if this entry owns the shard.
func (t *notifier) send(ctx context.Context, batch []queuedNotice, timeout time.Duration) error {
	notices := make([]Notice, 0, len(batch))
	for _, queued := range batch {
		notices = append(notices, queued.notice)
	}
	s := t.service
	to := s.ownership.Owner()
	if to == s.ownership.Self() {
		return s.local.Accept(ctx, notices)
	}
	if to == "" {
		return errors.Errorf("no owner: %w", ErrUnavailable)
	}
	body, err := record.Marshal(notices)
	if err != nil {
		return errors.Errorf("encode notices: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	response, err := s.peers.Call(ctx, to, kindNotices, body)
	if err != nil {
		return err
	}
	s.receiveLoad(response, to, sentAt)
	return nil
}
