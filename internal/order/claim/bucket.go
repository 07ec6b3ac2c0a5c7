// Package claim grants each id of a non-idempotent request at most once.
//
// Claims are held in records of the store, one for each of 64 buckets and each
// period of 12 h, and written by compare-and-swap. The current and the previous
// period are checked, so an id is remembered for 12 to 24 h. Any entry may write;
// the compare-and-swap arbitrates. The clocks of entries must agree to within one
// period.
//
// A Bucket is the pure part: it decides on the next store call and on the answers
// to the calls of the entry. Keeper carries its store calls out.
package claim

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Spans of claims.
const (
	// period is the time covered by one record.
	period = 12 * time.Hour
	// window is the least time between two writes of a bucket by one entry. The
	// calls that arrive meanwhile share the next write.
	window = 20 * time.Millisecond
)

// Period numbers the periods since the Unix epoch.
type Period int64

// CallID names one call to a bucket.
type CallID uint64

// Call asks to claim a key, or to void the claim with the nonce.
type Call struct {
	ID       CallID
	Key      Key
	Nonce    Nonce
	Void     bool
	Deadline time.Time // without an answer by then, the claim is Unavailable

	arrived   uint64 // number of reads that had begun before the call
	uncertain bool   // a write with this call had an unknown outcome
}

// Outcome answers a call.
type Outcome uint8

// Verdicts.
const (
	Granted     Outcome = iota + 1 // the request may be sent once
	Taken                          // the id was claimed before, and the request may have run
	Full                           // the bucket takes no more claims in this period
	Unavailable                    // the store did not answer; the request must not be sent
	Voided                         // the claim is gone, or was never written
)

// Answer answers a call.
type Answer struct {
	CallID  CallID
	Outcome Outcome
}

// Operation is the kind of a store call.
type Operation uint8

// Verbs.
const (
	None Operation = iota
	Read
	Write
	Delete
)

// StoreCall is a store call to make.
type StoreCall struct {
	Operation Operation
	Period    Period
	Record    Record        // Write
	Revision  unit.Revision // Write: of the record to replace, or 0 if it must not exist
}

// StoreStatus is the outcome of a store call.
type StoreStatus uint8

// Statuses.
const (
	Succeeded StoreStatus = iota
	Absent                // Read only
	Conflict              // Write only: the revision did not match
	Failed                // surely without effect
	Unknown               // Write only: it may have taken effect, or may still do so
)

// StoreReply is the end of a store call.
type StoreReply struct {
	Status   StoreStatus
	Record   Record        // Read
	Revision unit.Revision // of the record read or written
}

// Bucket is the state of one bucket in one entry.
type Bucket struct {
	period   Period
	current  page
	previous page
	reads    uint64 // begun so far

	pending []Call
	orphans []Call // answered as Unavailable, but a lost write may have claimed them
	earlier time.Time
	out     StoreCall // the store call that is in progress
	batch   []Call    // of the write in progress
	expired Period    // a record of this period can be removed; 0 if none
}

// page is a record as last read or written.
type page struct {
	loaded   bool
	record   Record
	revision unit.Revision // 0 if absent
	read     uint64        // number of the read, counted from 1
}

// AddCall takes a call, which is answered later. Voids come first, so that a claim
// which waits for the same key succeeds.
func (b *Bucket) AddCall(c Call) {
	c.arrived = b.reads
	if c.Void {
		b.pending = slices.Insert(b.pending, 0, c)
		return
	}
	b.pending = append(b.pending, c)
}

// NextDue returns when Next has something to do, or zero if nothing waits.
func (b *Bucket) NextDue() time.Time {
	if len(b.pending) == 0 {
		return time.Time{}
	}
	return b.earlier.Add(window)
}

// NextStoreCall returns the next store call, if there is one to make now, and answers that
// need none. While a store call is in progress it returns nothing.
func (b *Bucket) NextStoreCall(now time.Time) (StoreCall, []Answer) {
	if b.out.Operation != None {
		return StoreCall{}, nil
	}
	answers := b.expire(now)
	if len(b.pending) == 0 || now.Before(b.NextDue()) {
		return StoreCall{}, answers
	}
	if p := Period(now.Unix() / int64(period/time.Second)); p > b.period {
		b.advance(p)
	}
	for b.current.loaded && b.current.record.Sealed {
		b.advance(b.period + 1) // an entry whose clock is ahead has begun it
	}
	switch {
	case !b.previous.loaded:
		b.read(b.period - 1)
	case !b.previous.record.Sealed:
		sealed := b.previous.record
		sealed.Sealed = true
		b.out = StoreCall{Operation: Write, Period: b.period - 1, Record: sealed, Revision: b.previous.revision}
	case b.expired != 0:
		b.out = StoreCall{Operation: Delete, Period: b.expired}
	case !b.current.loaded:
		b.read(b.period)
	default:
		answers = append(answers, b.prepare()...)
		if b.out.Operation == Write {
			b.earlier = now
		}
	}
	return b.out, answers
}

// HandleReply takes the end of the store call and returns answers.
func (b *Bucket) HandleReply(reply StoreReply) []Answer {
	action := b.out
	b.out = StoreCall{}
	at := &b.current
	if action.Period != b.period {
		at = &b.previous
	}
	switch {
	case action.Operation == Delete:
		b.expired = 0 // best effort: what stays costs memory of the store only
		return nil
	case action.Operation == Read && reply.Status == Absent:
		*at = page{loaded: true, read: b.reads}
	case action.Operation == Read && reply.Status == Succeeded:
		*at = page{loaded: true, record: reply.Record, revision: reply.Revision, read: b.reads}
	case action.Operation == Read:
		return b.reject()
	case reply.Status == Succeeded:
		*at = page{loaded: true, record: action.Record, revision: reply.Revision, read: at.read}
		return b.commit(at)
	case reply.Status == Failed:
		b.requeue(false)
		return b.reject()
	default:
		b.requeue(reply.Status == Unknown)
		*at = page{}
	}
	return nil
}

// advance makes p the current period. The record of the period before is read
// again unless it was the current one.
func (b *Bucket) advance(p Period) {
	if b.period != 0 && b.previous.loaded {
		b.expired = b.period - 1
	}
	b.previous = page{}
	if p == b.period+1 {
		b.previous = b.current
	}
	b.period, b.current = p, page{}
}

// prepare puts the pending calls into a write, or answers them.
func (b *Bucket) prepare() []Answer {
	var answers []Answer
	var rest []Call
	next := b.current.record.clone()
	changed, stale := false, false
	for _, o := range b.orphans {
		if n, ok := next.nonce(o.Key); ok && n == o.Nonce {
			next.remove(o.Key)
			changed = true
		}
	}
	for _, c := range b.pending {
		committed, present := b.current.record.nonce(c.Key)
		planned, taken := next.nonce(c.Key)
		earlier, before := b.previous.record.nonce(c.Key)
		switch {
		case c.Void && taken && planned == c.Nonce:
			next.remove(c.Key)
			b.batch = append(b.batch, c)
			changed = true
		case c.Void:
			// A sealed record keeps its claims.
			answers = append(answers, Answer{c.ID, Voided})
		case before && earlier == c.Nonce, present && committed == c.Nonce:
			answers = append(answers, Answer{c.ID, Granted}) // by a write whose response was lost
		case before:
			answers = append(answers, Answer{c.ID, Taken})
		case taken && (!present || planned != committed):
			rest = append(rest, c) // behind another call of this batch
		case taken && b.current.read > c.arrived:
			// A lost write of this call cannot take effect any more, since the
			// record has changed.
			answers = append(answers, Answer{c.ID, Taken})
		case taken:
			// The claim may have been voided since the record was read.
			stale = true
			rest = append(rest, c)
		case len(next.claims) >= maxClaims:
			answers = append(answers, Answer{c.ID, Full})
		default:
			next.add(c.Key, c.Nonce)
			b.batch = append(b.batch, c)
			changed = true
		}
	}
	b.pending = rest
	switch {
	case changed:
		b.out = StoreCall{Operation: Write, Period: b.period, Record: next, Revision: b.current.revision}
	case stale:
		b.read(b.period)
	}
	return answers
}

func (b *Bucket) read(p Period) {
	b.reads++
	b.out = StoreCall{Operation: Read, Period: p}
}

// commit answers the calls of a write that succeeded. Earlier writes that were
// lost cannot take effect after it.
func (b *Bucket) commit(at *page) []Answer {
	if at != &b.current {
		return nil
	}
	var answers []Answer
	for _, c := range b.batch {
		v := Granted
		if c.Void {
			v = Voided
		}
		answers = append(answers, Answer{c.ID, v})
	}
	b.batch, b.orphans = nil, nil
	return answers
}

func (b *Bucket) requeue(uncertain bool) {
	for i := range b.batch {
		b.batch[i].uncertain = b.batch[i].uncertain || uncertain
	}
	b.pending = append(b.batch, b.pending...)
	b.batch = nil
}

// reject answers all pending calls: without the store there is no claim.
func (b *Bucket) reject() []Answer {
	var answers []Answer
	for _, c := range b.pending {
		answers = append(answers, b.unavailable(c))
	}
	b.pending = nil
	return answers
}

func (b *Bucket) expire(now time.Time) []Answer {
	var answers []Answer
	var rest []Call
	for _, c := range b.pending {
		if now.Before(c.Deadline) {
			rest = append(rest, c)
			continue
		}
		answers = append(answers, b.unavailable(c))
	}
	b.pending = rest
	return answers
}

// maxOrphans bounds the claims that are remembered for removal. An id whose claim
// stays is rejected as taken although its request did not run.
const maxOrphans = 1024

func (b *Bucket) unavailable(c Call) Answer {
	// A void is tried again with the next write.
	if (c.uncertain || c.Void) && len(b.orphans) < maxOrphans {
		b.orphans = append(b.orphans, c)
	}
	return Answer{c.ID, Unavailable}
}
