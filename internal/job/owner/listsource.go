package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
)

// listFollower reads the instance list through another entry, which leaves out changes
// that do not matter to the owner.
type listFollower interface {
	// Prepare makes an entry read the list, so that it answers ReadChanges soon.
	Prepare(ctx context.Context, via unit.EntryID) error
	// ReadChanges returns what has changed after a revision, as an entry has read it since the
	// call was sent.
	ReadChanges(ctx context.Context, via unit.EntryID, since unit.Revision) (follower.Changes, error)
}

// Limits and timeouts of reads through another entry.
const (
	// followTimeout is the time in which an entry has to answer with the changes.
	followTimeout = maxReadSilence
	// prepareTimeout is the time in which an entry has to read the whole list.
	prepareTimeout = 2500 * time.Millisecond
	// sourceInterval is the time between two looks at which entry to read through.
	sourceInterval = 500 * time.Millisecond
	// minFollowPause is the pause after an entry has failed before it is tried again. It
	// doubles up to maxFollowPause until the entry has answered for that long.
	minFollowPause = time.Second
	maxFollowPause = 30 * time.Second
	// listGap is the age of the list from which on neither the entry nor the store is taken
	// to have answered lately. A direct read then brings all heartbeats of that time.
	listGap = 2 * time.Second
)

// What decides whether the list is read through another entry. Each worker writes its item
// with each of its heartbeats.
const (
	listedWorkerBytes   unit.Bytes = 460
	workerWriteInterval            = 1100 * time.Millisecond
	// maxDirectListWorkers is the number of workers whose items the owner decodes itself.
	maxDirectListWorkers = 250
	// maxDirectListShare is the share of the link, in percent, that direct reads may take.
	maxDirectListShare = 5
)

// listSourceDirect stands in the log for direct reads of the store.
const listSourceDirect = "direct"

// readsListThroughEntry reports whether the list is large for the owner: for its link, or
// for its processor if the capacity of the link is 0 or large.
func readsListThroughEntry(workers int, link unit.BitRate) bool {
	if workers > maxDirectListWorkers {
		return true
	}
	perSecond := unit.Bytes(workers) * listedWorkerBytes * unit.Bytes(time.Second) / unit.Bytes(workerWriteInterval)
	return link > 0 && perSecond > shareOf(link, maxDirectListShare)
}

// errEntryLeft means that an entry is not registered any more.
var errEntryLeft = errors.New("entry left")

// listSource chooses the entry through which the owner reads the instance list.
type listSource struct {
	shard *shard

	mu       sync.Mutex
	via      unit.EntryID // or "" while the list is read directly
	chosenAt time.Time    // when via was chosen
	pauses   map[unit.EntryID]followPause
}

// followPause is when an entry that has failed may be tried again.
type followPause struct {
	until  time.Time
	length time.Duration
}

// newListSource returns the source of the instance list of a shard, or nil if that is only
// read directly.
func newListSource(sh *shard) *listSource {
	if sh.service.follower == nil {
		return nil
	}
	return &listSource{shard: sh, pauses: map[unit.EntryID]followPause{}}
}

// run looks for an entry to read through, as long as the list is large and there is none,
// until the term ends. The pace is that of the reads.
func (s *listSource) run(pace *readPace) {
	for {
		s.update(pace)
		if !s.shard.sleep(sourceInterval) {
			return
		}
	}
}

// update ends the reads through an entry that has left, and begins those through another
// one if the list is large.
func (s *listSource) update(pace *readPace) {
	sv := s.shard.service
	entries := listReaders(sv.ownership.StartRelays())
	if via := s.entry(); via != "" && !slices.Contains(entries, via) {
		s.fail(via, errEntryLeft, time.Now())
	}
	if s.entry() != "" || !readsListThroughEntry(s.shard.listedWorkers(), sv.options.Link) {
		return
	}
	if id := s.candidate(entries, time.Now()); id != "" {
		s.prepare(id, pace)
	}
}

// listReaders returns the entries in the order in which they are tried: those that send no
// starts or heartbeats for the owner come first, as the list takes as much of their links.
func listReaders(entries []unit.EntryID) []unit.EntryID {
	relays := min(len(entries), maxRelays)
	return slices.Concat(entries[relays:], entries[:relays])
}

// entry returns the entry to read through, or "".
func (s *listSource) entry() unit.EntryID {
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.via
}

// candidate returns the first of the entries that may be tried now, or "". It forgets the
// pauses of entries that have left.
func (s *listSource) candidate(entries []unit.EntryID, now time.Time) unit.EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.pauses {
		if !slices.Contains(entries, id) {
			delete(s.pauses, id)
		}
	}
	for _, id := range entries {
		if !s.pauses[id].until.After(now) {
			return id
		}
	}
	return ""
}

// prepare makes an entry read the list and reads through it from then on. Meanwhile the
// list is read directly. After a gap such a read is given up, as it takes the link for long.
func (s *listSource) prepare(id unit.EntryID, pace *readPace) {
	ctx, cancel := context.WithTimeout(s.shard.ctx, prepareTimeout)
	defer cancel()
	err := s.shard.service.follower.Prepare(ctx, id)
	if s.shard.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		s.pause(id, now)
		s.shard.log.V(1).Info("instance list not read through entry", "via", id, "error", err.Error())
		return
	}
	s.mu.Lock()
	s.via, s.chosenAt = id, now
	s.mu.Unlock()
	s.logChange(string(id), "entry has read the list")
	if s.inGap(now) {
		pace.restart(now)
	}
}

// inGap reports whether the list has not been read for a while, so that an entry which
// does not answer shows nothing about that entry.
func (s *listSource) inGap(now time.Time) bool {
	return s.shard.workersConfirmed.age(now) >= listGap
}

// fail ends the reads through an entry, and reports whether this was its first failure.
func (s *listSource) fail(id unit.EntryID, cause error, now time.Time) bool {
	s.mu.Lock()
	current := s.via == id
	if current {
		s.via = ""
		if now.Sub(s.chosenAt) >= maxFollowPause {
			delete(s.pauses, id)
		}
	}
	s.mu.Unlock()
	if !current {
		return false
	}
	s.pause(id, now)
	s.logChange(listSourceDirect, cause.Error())
	return true
}

// pause begins a pause of an entry, which is twice as long as the last one unless the list
// is in a gap.
func (s *listSource) pause(id unit.EntryID, now time.Time) {
	inGap := s.inGap(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	length := min(max(2*s.pauses[id].length, minFollowPause), maxFollowPause)
	if inGap {
		length = minFollowPause
	}
	s.pauses[id] = followPause{until: now.Add(length), length: length}
}

func (s *listSource) logChange(source, cause string) {
	s.shard.log.Info("source of the instance list changed", "source", source, "cause", cause)
}

// listedWorkers returns the number of workers of the instance list.
func (sh *shard) listedWorkers() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.listings)
}

// readThrough reads and applies the latest changes through an entry. If that fails, the
// next read is sent directly and at once.
func (r *changeReader) readThrough(via unit.EntryID, read *pendingRead) {
	ctx, cancel := context.WithTimeout(read.ctx, followTimeout)
	defer cancel()
	changes, err := r.shard.service.follower.ReadChanges(ctx, via, r.appliedRevision())
	now := time.Now()
	switch {
	case read.ctx.Err() != nil: // a later read was answered, or reads through the entry have ended
	case err != nil:
		if r.source.fail(via, err, now) {
			r.pace.restart(now)
		}
	default:
		r.pace.answered(read, len(changes.Items), now)
		r.applyChanges(changes, read.sentAt)
	}
}

// applyChanges applies the answer of an entry. A whole list is the state at its revision:
// it is applied unless that is applied already.
func (r *changeReader) applyChanges(c follower.Changes, sentAt time.Time) {
	if !c.Complete {
		r.apply(c.Items, c.Revision, sentAt)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Revision > r.since {
		r.handler.applyPage(listPage{items: c.Items, read: c.Revision, sentAt: sentAt, first: true, last: true})
		r.since = c.Revision
	}
	r.confirmed.record(sentAt)
}
