package intake

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
)

// Bounds of the notices to the owner. The owner finds a record in the store by
// itself if its notice is not delivered in time.
const (
	noticeTTL           = 5 * time.Second
	noticeRetryInterval = 50 * time.Millisecond
	maxQueuedNotices    = 256
	maxNoticesPerCall   = 32
)

// notifier sends notices of new and changed records to the owner of the shard. It
// drops a notice that is older than noticeTTL.
type notifier struct {
	service *Service
	pending chan queuedNotice
}

// queuedNotice is a notice and the time at which it expires.
type queuedNotice struct {
	notice   Notice
	deadline time.Time
}

func newNotifier(s *Service) *notifier {
	return &notifier{service: s, pending: make(chan queuedNotice, maxQueuedNotices)}
}

// notify queues a notice. It drops the notice if the queue is full, since the owner
// finds the record in the store.
func (t *notifier) notify(n Notice) {
	select {
	case t.pending <- queuedNotice{n, time.Now().Add(noticeTTL)}:
	default:
		t.service.log.V(1).Info("notice to the owner dropped: queue full", "job", n.Record.Job.ID)
	}
}

// run delivers notices in batches until the context ends.
func (t *notifier) run(ctx context.Context) {
	for {
		var batch []queuedNotice
		select {
		case <-ctx.Done():
			return
		case n := <-t.pending:
			batch = append(batch, n)
		}
		for len(batch) < maxNoticesPerCall && len(t.pending) > 0 {
			batch = append(batch, <-t.pending)
		}
		t.deliver(ctx, batch)
	}
}

// deliver sends a batch, and sends the notices that have not expired again until a
// call succeeds.
func (t *notifier) deliver(ctx context.Context, batch []queuedNotice) {
	for ctx.Err() == nil && len(batch) > 0 {
		notices := make([]Notice, 0, len(batch))
		now := time.Now()
		for _, queued := range batch {
			if now.Before(queued.deadline) {
				notices = append(notices, queued.notice)
			}
		}
		if len(notices) == 0 {
			return
		}
		err := t.send(ctx, notices)
		if err == nil {
			return
		}
		wait.For(ctx, noticeRetryInterval)
	}
}

// send passes notices to the owner once, directly if this entry owns the shard.
func (t *notifier) send(ctx context.Context, notices []Notice) error {
	s := t.service
	if s.ownership.Owner() == s.ownership.Self() {
		return s.local.Accept(ctx, notices)
	}
	to := s.ownership.Owner()
	if to == "" {
		return errors.Errorf("no owner: %w", ErrUnavailable)
	}
	body, err := cbor.Marshal(notices)
	if err != nil {
		return errors.Errorf("encode notices: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	_, err = s.peers.Call(ctx, to, kindNotices, body)
	return err
}
