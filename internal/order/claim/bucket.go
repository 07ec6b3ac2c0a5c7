// Package claim grants the id of a non-idempotent request at most once.
//
// Claims are stored in records, one for each of 64 buckets and each period of 12 h.
// A claim is checked against the records of the current and the previous period, so
// an id is remembered for 12 to 24 h. Any entry may write a record; compare-and-swap
// resolves concurrent writes. The clocks of the entries must agree to within one
// period.
//
// Bucket decides on the next store call and on the answers to the calls of an entry,
// without I/O. Service makes the store calls.
package claim

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// period is the time covered by one record.
	period = 12 * time.Hour
	// minWriteInterval is the minimum time between two writes of a bucket by one
	// entry. Calls that arrive in between share the next write.
	minWriteInterval = 20 * time.Millisecond
)

// Period is the number of a period, counted from the Unix epoch.
type Period int64

// CallID identifies a call to a bucket within one entry.
type CallID uint64

// Call is a call to claim a key, or to void the claim of the key with the nonce.
type Call struct {
	ID       CallID
	Key      Key
	Nonce    Nonce
	Void     bool
	Deadline time.Time // at which an unanswered call ends as Unavailable

	readsBefore  uint64 // number of reads that had started before the call
	maybeWritten bool   // a write that includes this call had an unknown outcome
}

// Outcome is the outcome of a call.
type Outcome uint8

// Outcomes of a call.
const (
	Granted     Outcome = iota + 1 // the request may be sent once
	Taken                          // the id was claimed before, and the request may have run
	Full                           // the bucket accepts no more claims in this period
	Unavailable                    // the store did not answer; the request must not be sent
	Voided                         // the claim was removed or never written
	Kept                           // the claim to void is in a sealed record, which does not change
)

// Answer is the answer to a call.
type Answer struct {
	CallID  CallID
	Outcome Outcome
}

// Operation is the kind of a store call.
type Operation uint8

// Kinds of store calls.
const (
	None Operation = iota
	Read
	Write
	Delete
)

// StoreCall is a call to the store that the bucket requests.
type StoreCall struct {
	Operation Operation
	Period    Period
	Record    Record        // set for Write
	Revision  unit.Revision // set for Write: revision to replace, or 0 if the record must not exist
}

// StoreStatus is the outcome of a store call.
type StoreStatus uint8

// Outcomes of store calls.
const (
	Succeeded StoreStatus = iota
	Absent                // for Read: the record does not exist
	Conflict              // for Write: the revision did not match
	Failed                // the call certainly has no effect
	Unknown               // for Write: the call may have taken effect or may still do so
)

// StoreReply is the result of a store call.
type StoreReply struct {
	Status   StoreStatus
	Record   Record        // set for a successful Read
	Revision unit.Revision // of the record that was read or written
}

// Bucket is the state of one bucket in one entry. The zero value is ready for use.
type Bucket struct {
	period     Period
	current    cachedRecord
	previous   cachedRecord
	readsBegun uint64 // number of reads started so far

	pending       []Call
	unresolved    []Call // answered as Unavailable, although a claim may be stored
	lastWrite     time.Time
	inProgress    StoreCall // store call in progress
	batch         []Call    // calls included in the write in progress
	expiredPeriod Period    // period whose record can be deleted; 0 if none
}

// cachedRecord is the last known content of a record in the store.
type cachedRecord struct {
	loaded     bool
	record     Record
	revision   unit.Revision // 0 if the record does not exist
	readNumber uint64        // sequence number of the read, counted from 1
}

// AddCall queues a call, which is answered later. Calls to void a claim go to the
// front, so that a waiting claim of the same key succeeds.
func (b *Bucket) AddCall(c Call) {
	c.readsBefore = b.readsBegun
	if c.Void {
		b.pending = slices.Insert(b.pending, 0, c)
		return
	}
	b.pending = append(b.pending, c)
}

// NextDue returns the time at which NextStoreCall has to be called, or zero if no
// call is pending.
func (b *Bucket) NextDue() time.Time {
	if len(b.pending) == 0 {
		return time.Time{}
	}
	return b.lastWrite.Add(minWriteInterval)
}

// NextStoreCall returns the store call to make now, if any, and the answers that need
// no store call. It returns nothing while a store call is in progress.
func (b *Bucket) NextStoreCall(now time.Time) (StoreCall, []Answer) {
	if b.inProgress.Operation != None {
		return StoreCall{}, nil
	}
	answers := b.rejectOverdue(now)
	if len(b.pending) == 0 || now.Before(b.NextDue()) {
		return StoreCall{}, answers
	}
	if p := Period(now.Unix() / int64(period/time.Second)); p > b.period {
		b.startPeriod(p)
	}
	for b.current.loaded && b.current.record.Sealed {
		b.startPeriod(b.period + 1) // an entry whose clock is ahead has started it
	}
	switch {
	case !b.previous.loaded:
		b.startRead(b.period - 1)
	case !b.previous.record.Sealed:
		sealed := b.previous.record
		sealed.Sealed = true
		b.inProgress = StoreCall{Operation: Write, Period: b.period - 1, Record: sealed, Revision: b.previous.revision}
	case b.expiredPeriod != 0:
		b.inProgress = StoreCall{Operation: Delete, Period: b.expiredPeriod}
	case !b.current.loaded:
		b.startRead(b.period)
	default:
		answers = append(answers, b.prepareWrite()...)
		if b.inProgress.Operation == Write {
			b.lastWrite = now
		}
	}
	return b.inProgress, answers
}

// HandleReply processes the result of the store call in progress and returns answers.
func (b *Bucket) HandleReply(reply StoreReply) []Answer {
	call := b.inProgress
	b.inProgress = StoreCall{}
	target := &b.current
	if call.Period != b.period {
		target = &b.previous
	}
	switch {
	case call.Operation == Delete:
		b.expiredPeriod = 0 // best effort: a record that remains only takes space in the store
		return nil
	case call.Operation == Read && reply.Status == Absent:
		*target = cachedRecord{loaded: true, readNumber: b.readsBegun}
	case call.Operation == Read && reply.Status == Succeeded:
		*target = cachedRecord{loaded: true, record: reply.Record, revision: reply.Revision, readNumber: b.readsBegun}
	case call.Operation == Read:
		return b.rejectPending()
	case reply.Status == Succeeded:
		*target = cachedRecord{loaded: true, record: call.Record, revision: reply.Revision, readNumber: target.readNumber}
		return b.confirmBatch(target)
	case reply.Status == Failed:
		b.requeue(false)
		return b.rejectPending()
	default:
		b.requeue(reply.Status == Unknown)
		*target = cachedRecord{}
	}
	return nil
}

// startPeriod makes p the current period. The record of the period before p is read
// again unless it was the current record.
func (b *Bucket) startPeriod(p Period) {
	if b.period != 0 && b.previous.loaded {
		b.expiredPeriod = b.period - 1
	}
	b.previous = cachedRecord{}
	if p == b.period+1 {
		b.previous = b.current
	}
	b.period, b.current = p, cachedRecord{}
}

// prepareWrite includes the pending calls in a write, or answers them.
func (b *Bucket) prepareWrite() []Answer {
	var answers []Answer
	var remaining []Call
	next := b.current.record.clone()
	changed, stale := false, false
	for _, c := range b.unresolved {
		if nonce, ok := next.nonceOf(c.Key); ok && nonce == c.Nonce {
			next.remove(c.Key)
			changed = true
		}
	}
	for _, c := range b.pending {
		stored, present := b.current.record.nonceOf(c.Key)
		planned, taken := next.nonceOf(c.Key)
		earlier, inPrevious := b.previous.record.nonceOf(c.Key)
		switch {
		case c.Void && taken && planned == c.Nonce:
			next.remove(c.Key)
			b.batch = append(b.batch, c)
			changed = true
		case c.Void && inPrevious && earlier == c.Nonce:
			answers = append(answers, Answer{c.ID, Kept})
		case c.Void && b.current.readNumber > c.readsBefore:
			answers = append(answers, Answer{c.ID, Voided})
		case c.Void:
			// The claim may have been written since the record was read.
			stale = true
			remaining = append(remaining, c)
		case inPrevious && earlier == c.Nonce, present && stored == c.Nonce:
			answers = append(answers, Answer{c.ID, Granted}) // by a write whose response was lost
		case inPrevious:
			answers = append(answers, Answer{c.ID, Taken})
		case taken && (!present || planned != stored):
			remaining = append(remaining, c) // waits for another call of this batch
		case taken && b.current.readNumber > c.readsBefore:
			// An earlier write of this call with an unknown outcome can no longer
			// take effect, since the record has changed.
			answers = append(answers, Answer{c.ID, Taken})
		case taken:
			// The claim may have been voided since the record was read.
			stale = true
			remaining = append(remaining, c)
		case len(next.claims) >= maxClaims:
			answers = append(answers, Answer{c.ID, Full})
		default:
			next.add(c.Key, c.Nonce)
			b.batch = append(b.batch, c)
			changed = true
		}
	}
	b.pending = remaining
	switch {
	case changed:
		b.inProgress = StoreCall{Operation: Write, Period: b.period, Record: next, Revision: b.current.revision}
	case stale:
		b.startRead(b.period)
	}
	return answers
}

// startRead requests a read of the record of period p.
func (b *Bucket) startRead(p Period) {
	b.readsBegun++
	b.inProgress = StoreCall{Operation: Read, Period: p}
}

// confirmBatch answers the calls included in a successful write of the record.
// Earlier writes with an unknown outcome can no longer take effect after it.
func (b *Bucket) confirmBatch(written *cachedRecord) []Answer {
	if written != &b.current {
		return nil
	}
	var answers []Answer
	for _, c := range b.batch {
		outcome := Granted
		if c.Void {
			outcome = Voided
		}
		answers = append(answers, Answer{c.ID, outcome})
	}
	b.batch, b.unresolved = nil, nil
	return answers
}

// requeue moves the calls of the batch back to the pending calls.
func (b *Bucket) requeue(unknown bool) {
	for i := range b.batch {
		b.batch[i].maybeWritten = b.batch[i].maybeWritten || unknown
	}
	b.pending = append(b.batch, b.pending...)
	b.batch = nil
}

// rejectPending answers all pending calls as Unavailable, since a claim needs the
// store.
func (b *Bucket) rejectPending() []Answer {
	var answers []Answer
	for _, c := range b.pending {
		answers = append(answers, b.rejectCall(c))
	}
	b.pending = nil
	return answers
}

// rejectOverdue answers the pending calls whose deadline has passed.
func (b *Bucket) rejectOverdue(now time.Time) []Answer {
	var answers []Answer
	var remaining []Call
	for _, c := range b.pending {
		if now.Before(c.Deadline) {
			remaining = append(remaining, c)
			continue
		}
		answers = append(answers, b.rejectCall(c))
	}
	b.pending = remaining
	return answers
}

// maxUnresolved is the maximum number of claims remembered for removal. An id whose
// claim is not removed is rejected as taken although its request did not run.
const maxUnresolved = 1024

// rejectCall answers a call as Unavailable. If its claim may be stored, the next write
// removes the claim; this also retries a call to void it.
func (b *Bucket) rejectCall(c Call) Answer {
	if (c.maybeWritten || c.Void) && len(b.unresolved) < maxUnresolved {
		b.unresolved = append(b.unresolved, c)
	}
	return Answer{c.ID, Unavailable}
}
