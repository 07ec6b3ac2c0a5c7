package config

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Bounds of a change.
const (
	// applyTimeout bounds a call whose context has no deadline: long enough to be
	// accepted when every entry answers, short enough for an operator to wait.
	applyTimeout = 5 * time.Second
	retryPause   = 100 * time.Millisecond
	maxName      = 128 // bytes of an operator's name or an operation id
)

// Apply writes a change on top of its base and waits until it is in effect
// everywhere or the context ends. Repeating a change with the same operation id
// is safe. The error says that the change was surely not written.
func (s *Service) Apply(ctx context.Context, c change.Change) (change.Result, error) {
	if err := validate(c); err != nil {
		return change.Result{}, err
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	a, first := begin(spec.Revision{
		Number:    c.Base + 1,
		Base:      c.Base,
		Author:    c.Author,
		Operation: c.Operation,
		Time:      time.Now().UnixMilli(),
		Document:  spec.Canonical(&c.Document),
	})
	s.carryOut(ctx, a, first)
	switch a.verdict {
	case verdictWritten:
		s.publish(ctx, a)
		s.trim(ctx, a.revision.Number)
		return s.await(ctx, a.revision), nil
	case verdictDecided:
		s.remember(a.revision.Number)
		return change.Result{Outcome: change.Pending, Revision: a.revision}, nil
	case verdictUnknown:
		s.remember(a.revision.Number)
		return change.Result{Outcome: change.Unknown, Revision: a.revision}, nil
	case verdictConflict:
		return s.conflict(ctx, a.conflict)
	default:
		return change.Result{}, errors.Errorf("apply change: %w", a.cause)
	}
}

// SetZone takes a zone out of service or returns it. If other changes come
// first, it is applied on top of them, unless one of them changed this zone.
func (s *Service) SetZone(ctx context.Context, zone unit.ZoneID, out bool, author unit.Operator, operation unit.OperationID) (change.Result, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	base, err := s.latest(ctx)
	if err != nil {
		return change.Result{}, errors.Errorf("set zone %s: %w", zone, err)
	}
	before, ok := zoneOf(&base.Document, zone)
	if !ok {
		return change.Result{}, errors.Errorf("set zone %s: %w", zone, change.ErrUnknownZone)
	}
	if before.Out == out {
		return s.await(ctx, base), nil
	}
	for {
		document := spec.Canonical(&base.Document)
		for i := range document.Zones {
			if document.Zones[i].Name == zone {
				document.Zones[i].Out = out
			}
		}
		result, err := s.Apply(ctx, change.Change{Base: base.Number, Author: author, Operation: operation, Document: document})
		if err != nil || result.Outcome != change.Conflict || result.Revision.Number <= base.Number {
			return result, err
		}
		for n := base.Number + 1; n <= result.Revision.Number; n++ {
			r, err := s.getRevision(ctx, n)
			if err != nil {
				return change.Result{}, errors.Errorf("set zone %s: %w", zone, err)
			}
			if now, ok := zoneOf(&r.Document, zone); !ok || now != before {
				return result, nil
			}
			base = r
		}
	}
}

// Status tells what is known now about a change.
func (s *Service) Status(ctx context.Context, q change.Query) (change.Result, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	n := q.Revision
	if n == 0 && q.Base != 0 {
		n = q.Base + 1
	}
	if n == 0 {
		return s.search(ctx, q.Operation)
	}
	r, err := s.getRevision(ctx, n)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return change.Result{Outcome: change.Unknown}, nil
	case err != nil:
		return change.Result{}, errors.Errorf("status of change: %w", err)
	case q.Operation != "" && r.Operation != q.Operation:
		return s.conflict(ctx, n)
	}
	s.remember(n)
	return s.evaluate(r), nil
}

// History returns the last revisions, newest first. The store keeps 200.
func (s *Service) History(ctx context.Context, limit int) ([]spec.Revision, error) {
	var revisions []spec.Revision
	err := s.walk(ctx, min(limit, kept), func(r spec.Revision) bool {
		revisions = append(revisions, r)
		return true
	})
	return revisions, err
}

// walk passes the revisions to visit, newest first, until it returns false.
func (s *Service) walk(ctx context.Context, limit int, visit func(spec.Revision) bool) error {
	h, err := s.getHead(ctx)
	if err != nil {
		return err
	}
	for n := h.Number; n > 0 && limit > 0; n, limit = n-1, limit-1 {
		r, err := s.getRevision(ctx, n)
		if errors.Is(err, store.ErrNotFound) {
			return nil // trimmed
		}
		if err != nil {
			return err
		}
		if !visit(r) {
			return nil
		}
	}
	return nil
}

// search looks for an operation whose base is not known.
func (s *Service) search(ctx context.Context, operation unit.OperationID) (change.Result, error) {
	result := change.Result{Outcome: change.Unknown}
	err := s.walk(ctx, kept, func(r spec.Revision) bool {
		if r.Operation != operation {
			return true
		}
		result = s.evaluate(r)
		return false
	})
	return result, err
}

// carryOut performs the commands of an attempt until it ends or the context does.
func (s *Service) carryOut(ctx context.Context, a *attempt, c command) {
	for c.task != taskEnd {
		if c.pause {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
		if ctx.Err() != nil {
			a.abandon(errors.Join(store.ErrUnavailable, ctx.Err()))
			return
		}
		c = a.handle(s.perform(ctx, a, c))
	}
}

func (s *Service) perform(ctx context.Context, a *attempt, c command) event {
	var e event
	switch c.task {
	case taskReadHead:
		e.head, e.err = s.getHead(ctx)
	case taskReadRevision:
		e.revision, e.err = s.getRevision(ctx, c.number)
	case taskCreate:
		var value []byte
		if value, e.err = encode(a.revision); e.err == nil {
			e.written, e.err = s.store.Put(ctx, revisionKey(c.number), value, store.IfAbsent(), "")
		}
	case taskAdvance:
		var value []byte
		if value, e.err = encode(c.head); e.err == nil {
			e.written, e.err = s.store.Put(ctx, headKey, value, c.cond, "")
		}
	}
	return e
}

// publish adopts a written revision and pushes it to all peers at once. A peer
// that does not answer reads it from the store or learns of it by heartbeat.
func (s *Service) publish(ctx context.Context, a *attempt) {
	s.mu.Lock()
	if a.written > s.core.head.written {
		s.core.head = head{
			Number: a.revision.Number, Operation: a.revision.Operation, Author: a.revision.Author, written: a.written,
		}
	}
	s.mu.Unlock()
	s.adopt(a.revision, "operator")
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range s.members.View().Entries {
		if e.ID == s.members.Self() {
			continue
		}
		wg.Go(func() { s.push(ctx, e.ID, a.revision) })
	}
	wg.Wait()
}

func (s *Service) push(ctx context.Context, peer unit.EntryID, r spec.Revision) {
	answer, err := s.peers.Call(ctx, peer, message.Push{Revision: r})
	if err != nil {
		return // the peer is not counted until a heartbeat tells its revision
	}
	if ack, ok := answer.(message.Ack); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.core.departures.RecordRevision(peer, ack.Configuration)
		s.wake()
	}
}

// await waits until a revision is in effect everywhere or the context ends.
func (s *Service) await(ctx context.Context, r spec.Revision) change.Result {
	for {
		s.mu.Lock()
		progress := s.progress
		outcome, missing := s.core.effect(time.Now(), r.Number)
		s.mu.Unlock()
		if outcome == change.Accepted || ctx.Err() != nil {
			return change.Result{Outcome: outcome, Revision: r, Missing: missing}
		}
		select {
		case <-ctx.Done():
		case <-progress:
		}
	}
}

func (s *Service) evaluate(r spec.Revision) change.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, missing := s.core.effect(time.Now(), r.Number)
	return change.Result{Outcome: outcome, Revision: r, Missing: missing}
}

// conflict returns the revision that a change lost against. The context may have
// ended: then the newest revision known here has to do.
func (s *Service) conflict(ctx context.Context, atLeast unit.Revision) (change.Result, error) {
	current, err := s.latest(ctx)
	if err != nil || current.Number < atLeast {
		current = s.Current()
	}
	return change.Result{Outcome: change.Conflict, Revision: current}, nil
}

// latest reads the revision at the head of the log.
func (s *Service) latest(ctx context.Context) (spec.Revision, error) {
	h, err := s.getHead(ctx)
	if err != nil {
		return spec.Revision{}, err
	}
	if h.Number == 0 {
		return spec.Revision{}, nil
	}
	if current := s.Current(); current.Number == h.Number {
		return current, nil
	}
	return s.getRevision(ctx, h.Number)
}

// trim deletes the revision that fell out of the kept ones, and those before it
// that an earlier call may have left behind.
func (s *Service) trim(ctx context.Context, n unit.Revision) {
	for old := n; old > kept && old+3 > n; old-- {
		if err := s.store.Delete(ctx, revisionKey(old-kept), store.Always()); err != nil {
			return // absent, or left to a later call
		}
	}
}

// remember makes the next read look for a revision behind the head.
func (s *Service) remember(n unit.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfinished = max(s.unfinished, n)
}

func validate(c change.Change) error {
	var faults []error
	if c.Author == "" || len(c.Author) > maxName {
		faults = append(faults, errors.Errorf("author: want 1 to %d bytes", maxName))
	}
	if c.Operation == "" || len(c.Operation) > maxName {
		faults = append(faults, errors.Errorf("operation id: want 1 to %d bytes", maxName))
	}
	if err := spec.Check(&c.Document); err != nil {
		faults = append(faults, err)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Join(append([]error{change.ErrInvalid}, faults...)...)
}

func zoneOf(d *spec.Document, zone unit.ZoneID) (spec.Zone, bool) {
	for _, z := range d.Zones {
		if z.Name == zone {
			return z, true
		}
	}
	return spec.Zone{}, false
}

// encode returns the JSON form without HTML escapes, which would make a document
// with & in its routes larger than its text.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.Errorf("encode record: %w", err)
	}
	return b.Bytes(), nil
}

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, applyTimeout)
}
