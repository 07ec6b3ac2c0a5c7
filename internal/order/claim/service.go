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

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "claims"

// buckets is the number of buckets, which all entries of a deployment share.
const buckets = 64

// patience bounds a claim whose context has no earlier deadline.
const patience = 2 * time.Second

// records is the part of the store that holds the claims.
type records interface {
	Get(ctx context.Context, key store.Key) (store.Record, error)
	Put(ctx context.Context, key store.Key, value []byte, cond store.Condition, lease store.LeaseID) (unit.Revision, error)
	Delete(ctx context.Context, key store.Key, cond store.Condition) error
}

// Result is the result of a claim.
type Result struct {
	Outcome Outcome // Granted, Taken, Full or Unavailable
	nonce   Nonce
}

// Service claims ids in the store. It has one goroutine for each bucket.
type Service struct {
	records records
	writers [buckets]*bucketWriter
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a service that is not yet started.
func New() *Service { return &Service{done: make(chan struct{})} }

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.records, err = registry.Find[records](k, store.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for i := range s.writers {
		s.writers[i] = &bucketWriter{
			number:  i,
			records: s.records,
			calls:   make(chan *request),
			waiting: map[CallID]*request{},
			done:    make(chan struct{}),
		}
		go s.writers[i].run(ctx)
	}
	go func() {
		defer close(s.done)
		for _, k := range s.writers {
			<-k.done
		}
	}()
	return nil
}

// Stop implements registry.Service. Calls that are not answered yet end as
// Unavailable.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// Claim claims the id of a non-idempotent request, which may be sent only if the
// verdict is Granted. The error gives the cause of Unavailable.
func (s *Service) Claim(ctx context.Context, id unit.RequestID) (Result, error) {
	// Nonces have to differ between entries, so they come from a source that is
	// seeded per process.
	c := Call{Key: KeyOf(id), Nonce: Nonce(rand.Uint64())}
	v, err := s.writer(c.Key).submit(ctx, c)
	if err != nil {
		return Result{Outcome: Unavailable}, errors.Errorf("claim request: %w", err)
	}
	return Result{Outcome: v, nonce: c.Nonce}, nil
}

// Void gives up a claim whose request surely did not run, so that the id can be
// claimed again. After an error the id may stay claimed.
func (s *Service) Void(ctx context.Context, id unit.RequestID, r Result) error {
	if r.Outcome != Granted {
		return nil
	}
	c := Call{Key: KeyOf(id), Nonce: r.nonce, Void: true}
	v, err := s.writer(c.Key).submit(ctx, c)
	if err == nil && v != Voided {
		err = errUnavailable
	}
	if err != nil {
		return errors.Errorf("void claim: %w", err)
	}
	return nil
}

func (s *Service) writer(k Key) *bucketWriter { return s.writers[int(k[0])%buckets] }

// errUnavailable says that the store did not confirm a change.
var errUnavailable = errors.New("store does not answer")

// bucketWriter runs one bucket. All fields belong to its goroutine but for the channels.
type bucketWriter struct {
	number  int
	records records
	calls   chan *request
	done    chan struct{}

	bucket  Bucket
	waiting map[CallID]*request
	last    CallID
}

// request is a call with the channel for its verdict. Whoever sets ended first,
// the waiting caller or the bucketWriter, decides whether the verdict counts.
type request struct {
	call    Call
	verdict chan Outcome
	ended   atomic.Bool
}

func (k *bucketWriter) submit(ctx context.Context, c Call) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	c.Deadline = time.Now().Add(patience)
	if d, ok := ctx.Deadline(); ok && d.Before(c.Deadline) {
		c.Deadline = d
	}
	r := &request{call: c, verdict: make(chan Outcome, 1)}
	select {
	case k.calls <- r:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-k.done:
		return 0, errUnavailable
	}
	select {
	case v := <-r.verdict:
		return v, nil
	case <-ctx.Done():
	}
	if r.ended.CompareAndSwap(false, true) {
		return 0, ctx.Err()
	}
	return <-r.verdict, nil
}

func (k *bucketWriter) run(ctx context.Context) {
	defer close(k.done)
	defer k.abort()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		action, answers := k.bucket.NextStoreCall(time.Now())
		k.deliver(answers)
		if action.Operation != None {
			// A write in progress is completed even while the service stops.
			reply := k.perform(context.WithoutCancel(ctx), action)
			k.deliver(k.bucket.HandleReply(reply))
			k.collect()
			continue
		}
		if due := k.bucket.NextDue(); !due.IsZero() {
			timer.Reset(time.Until(due))
		}
		select {
		case r := <-k.calls:
			k.add(r)
			k.collect()
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// collect takes the calls that arrived during a store call, to share a write.
func (k *bucketWriter) collect() {
	for {
		select {
		case r := <-k.calls:
			k.add(r)
		default:
			return
		}
	}
}

func (k *bucketWriter) add(r *request) {
	k.last++
	r.call.ID = k.last
	k.waiting[k.last] = r
	k.bucket.AddCall(r.call)
}

func (k *bucketWriter) deliver(answers []Answer) {
	for _, a := range answers {
		r := k.waiting[a.CallID]
		delete(k.waiting, a.CallID)
		if r.ended.CompareAndSwap(false, true) {
			r.verdict <- a.Outcome
			continue
		}
		if a.Outcome == Granted { // the caller has gone and its request was not sent
			c := r.call
			c.Void, c.Deadline = true, time.Now().Add(patience)
			k.add(&request{call: c, verdict: make(chan Outcome, 1)})
		}
	}
}

func (k *bucketWriter) abort() {
	for _, r := range k.waiting {
		if r.ended.CompareAndSwap(false, true) {
			r.verdict <- Unavailable
		}
	}
}

func (k *bucketWriter) perform(ctx context.Context, a StoreCall) StoreReply {
	key := store.Key("claim/" + strconv.Itoa(k.number) + "." + strconv.FormatInt(int64(a.Period), 10))
	switch a.Operation {
	case Read:
		return k.get(ctx, key)
	case Write:
		return k.put(ctx, key, a)
	}
	_ = k.records.Delete(ctx, key, store.Always()) // best effort, and harmless if repeated
	return StoreReply{}
}

func (k *bucketWriter) get(ctx context.Context, key store.Key) StoreReply {
	found, err := k.records.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return StoreReply{Status: Absent}
	}
	if err != nil {
		return StoreReply{Status: Failed}
	}
	r, err := Decode(found.Value)
	if err != nil {
		return StoreReply{Status: Failed} // a damaged record grants nothing
	}
	return StoreReply{Record: r, Revision: found.Revision}
}

func (k *bucketWriter) put(ctx context.Context, key store.Key, a StoreCall) StoreReply {
	value, err := a.Record.Encode()
	if err != nil {
		return StoreReply{Status: Failed}
	}
	cond := store.IfAbsent()
	if a.Revision != 0 {
		cond = store.IfRevision(a.Revision)
	}
	revision, err := k.records.Put(ctx, key, value, cond, "")
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
