package claim

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// ServiceName is the name under which the service is registered.
const ServiceName registry.Name = "claims"

// bucketCount is the number of buckets. It is the same for all entries of a
// deployment.
const bucketCount = 64

// maxClaimWait is the deadline of a call whose context has no earlier one.
const maxClaimWait = 2 * time.Second

// claimStore is the part of the store service that reads and writes claim records.
type claimStore interface {
	Get(ctx context.Context, key store.Key) (store.Record, error)
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
}

// Result is the result of a claim.
type Result struct {
	Outcome Outcome // Granted, Taken, Full or Unavailable
	nonce   Nonce
}

// Service claims request ids in the store. It runs one goroutine for each bucket.
type Service struct {
	records claimStore
	writers [bucketCount]*bucketWriter
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a service that is not started.
func New() *Service { return &Service{done: make(chan struct{})} }

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.records, err = registry.Find[claimStore](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for i := range s.writers {
		s.writers[i] = &bucketWriter{
			index:      i,
			records:    s.records,
			requests:   make(chan *request),
			unanswered: map[CallID]*request{},
			done:       make(chan struct{}),
		}
		go s.writers[i].run(ctx)
	}
	go func() {
		defer close(s.done)
		for _, w := range s.writers {
			<-w.done
		}
	}()
	return nil
}

// Stop implements registry.Service. Unanswered calls end as Unavailable.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Claim claims the id of a non-idempotent request. The request may be sent only if
// the outcome is Granted. The error states the cause of Unavailable.
func (s *Service) Claim(ctx context.Context, id unit.RequestID) (Result, error) {
	// Nonces have to differ between entries, so they are drawn from a source that
	// is seeded for each process.
	c := Call{Key: KeyOf(id), Nonce: Nonce(rand.Uint64())}
	outcome, err := s.writerFor(c.Key).submit(ctx, c)
	if err != nil {
		return Result{Outcome: Unavailable}, errors.Errorf("claim request: %w", err)
	}
	return Result{Outcome: outcome, nonce: c.Nonce}, nil
}

// Void withdraws a claim whose request certainly did not run, so that the id can be
// claimed again. After an error the id may remain claimed; it does so for certain if
// the period of its claim has ended.
func (s *Service) Void(ctx context.Context, id unit.RequestID, r Result) error {
	if r.Outcome != Granted {
		return nil
	}
	c := Call{Key: KeyOf(id), Nonce: r.nonce, Void: true}
	outcome, err := s.writerFor(c.Key).submit(ctx, c)
	switch {
	case err != nil:
	case outcome == Kept:
		err = errSealed
	case outcome != Voided:
		err = errUnavailable
	}
	if err != nil {
		return errors.Errorf("void claim: %w", err)
	}
	return nil
}

// writerFor returns the writer of the bucket of a key.
func (s *Service) writerFor(key Key) *bucketWriter { return s.writers[int(key[0])%bucketCount] }

var (
	// errUnavailable means that the store did not confirm a change.
	errUnavailable = errors.New("store does not answer")
	// errSealed means that the period of a claim has ended and its record is final.
	errSealed = errors.New("claim is in a sealed record")
)

// bucketWriter runs one bucket. Except for the channels, only its goroutine accesses
// the fields.
type bucketWriter struct {
	index    int
	records  claimStore
	requests chan *request
	done     chan struct{}

	bucket     Bucket
	unanswered map[CallID]*request
	lastID     CallID
}

// request is a call with the channel for its outcome. Either the waiting caller or
// the bucketWriter sets decided first: the caller if it stops waiting, in which case
// the outcome is discarded, or the bucketWriter if it delivers the outcome.
type request struct {
	call    Call
	outcome chan Outcome
	decided atomic.Bool
}

// submit passes a call to the goroutine of the bucket and waits for the outcome.
func (w *bucketWriter) submit(ctx context.Context, c Call) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	c.Deadline = time.Now().Add(maxClaimWait)
	if d, ok := ctx.Deadline(); ok && d.Before(c.Deadline) {
		c.Deadline = d
	}
	r := &request{call: c, outcome: make(chan Outcome, 1)}
	select {
	case w.requests <- r:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-w.done:
		return 0, errUnavailable
	}
	select {
	case outcome := <-r.outcome:
		return outcome, nil
	case <-ctx.Done():
	}
	if r.decided.CompareAndSwap(false, true) {
		return 0, ctx.Err()
	}
	return <-r.outcome, nil
}

// run makes the store calls of the bucket until ctx ends.
func (w *bucketWriter) run(ctx context.Context) {
	defer close(w.done)
	defer w.failPending()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		call, answers := w.bucket.NextStoreCall(time.Now())
		w.deliver(answers)
		if call.Operation != None {
			// A store call in progress is completed even if the service is stopped.
			reply := w.execute(context.WithoutCancel(ctx), call)
			w.deliver(w.bucket.HandleReply(reply))
			w.takeRequests()
			continue
		}
		if due := w.bucket.NextDue(); !due.IsZero() {
			timer.Reset(time.Until(due))
		}
		select {
		case r := <-w.requests:
			w.add(r)
			w.takeRequests()
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// takeRequests adds the requests that arrived during a store call, so that they share
// the next write.
func (w *bucketWriter) takeRequests() {
	for {
		select {
		case r := <-w.requests:
			w.add(r)
		default:
			return
		}
	}
}

// add assigns an id to the call of a request and adds it to the bucket.
func (w *bucketWriter) add(r *request) {
	w.lastID++
	r.call.ID = w.lastID
	w.unanswered[w.lastID] = r
	w.bucket.AddCall(r.call)
}

// deliver passes the answers to the waiting callers. It voids a granted claim whose
// caller has stopped waiting.
func (w *bucketWriter) deliver(answers []Answer) {
	for _, a := range answers {
		r := w.unanswered[a.CallID]
		delete(w.unanswered, a.CallID)
		if r.decided.CompareAndSwap(false, true) {
			r.outcome <- a.Outcome
			continue
		}
		if a.Outcome == Granted { // the caller has stopped waiting, so its request was not sent
			c := r.call
			c.Void, c.Deadline = true, time.Now().Add(maxClaimWait)
			w.add(&request{call: c, outcome: make(chan Outcome, 1)})
		}
	}
}

// failPending answers all unanswered requests as Unavailable.
func (w *bucketWriter) failPending() {
	for _, r := range w.unanswered {
		if r.decided.CompareAndSwap(false, true) {
			r.outcome <- Unavailable
		}
	}
}

// execute makes a store call.
func (w *bucketWriter) execute(ctx context.Context, c StoreCall) StoreReply {
	key := store.Key("claim/" + strconv.Itoa(w.index) + "." + strconv.FormatInt(int64(c.Period), 10))
	switch c.Operation {
	case Read:
		return w.get(ctx, key)
	case Write:
		return w.put(ctx, key, c)
	}
	_ = w.records.Delete(ctx, key, store.Always()) // best effort; repeating it is harmless
	return StoreReply{}
}

func (w *bucketWriter) get(ctx context.Context, key store.Key) StoreReply {
	stored, err := w.records.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return StoreReply{Status: Absent}
	}
	if err != nil {
		return StoreReply{Status: Failed}
	}
	r, err := Decode(stored.Value)
	if err != nil {
		return StoreReply{Status: Failed} // no claim is granted on a corrupt record
	}
	return StoreReply{Record: r, Revision: stored.Revision}
}

func (w *bucketWriter) put(ctx context.Context, key store.Key, c StoreCall) StoreReply {
	value, err := c.Record.Encode()
	if err != nil {
		return StoreReply{Status: Failed}
	}
	cond := store.IfAbsent()
	if c.Revision != 0 {
		cond = store.IfRevision(c.Revision)
	}
	revision, err := w.records.Put(ctx, key, value, cond, "")
	switch {
	case err == nil:
		return StoreReply{Revision: revision}
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return StoreReply{Status: Conflict}
	case errors.Is(err, store.ErrUnavailable):
		return StoreReply{Status: Failed}
	}
	return StoreReply{Status: Unknown}
}
