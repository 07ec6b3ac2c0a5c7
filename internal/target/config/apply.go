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

// Limits of a change.
const (
	// applyTimeout bounds a call whose context has no deadline. It is long enough for
	// a change to be accepted when every entry answers, and short enough for an
	// operator to wait.
	applyTimeout  = 5 * time.Second
	retryDelay    = 100 * time.Millisecond
	maxNameLength = 128 // bytes, of an operator's name or an operation id
)

// Apply writes a change on top of its base and waits until it is in effect
// everywhere or the context ends. A change may be retried with the same operation
// id. If Apply returns an error, the change was certainly not written.
func (s *Service) Apply(ctx context.Context, c change.Change) (change.Result, error) {
	if err := validate(c); err != nil {
		return change.Result{}, err
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	w, first := newRevisionWrite(spec.Revision{
		Number:    c.Base + 1,
		Base:      c.Base,
		Author:    c.Author,
		Operation: c.Operation,
		Time:      time.Now().UnixMilli(),
		Document:  spec.Canonical(&c.Document),
	})
	s.runWrite(ctx, w, first)
	switch w.result {
	case resultWritten:
		s.publish(ctx, w)
		s.trimLog(ctx, w.revision.Number)
		return s.awaitAccepted(ctx, w.revision), nil
	case resultLogged:
		s.markUnfinished(w.revision.Number)
		return change.Result{Outcome: change.Pending, Revision: w.revision}, nil
	case resultUnknown:
		s.markUnfinished(w.revision.Number)
		return change.Result{Outcome: change.Unknown, Revision: w.revision}, nil
	case resultConflict:
		return s.conflictResult(ctx, w.conflict)
	default:
		return change.Result{}, errors.Errorf("apply change: %w", w.err)
	}
}

// SetZone takes a zone out of service or returns it to service. If other changes are
// written first, it is applied on top of them, unless one of them changed this zone.
func (s *Service) SetZone(ctx context.Context, zone unit.ZoneID, out bool, author unit.Operator, operation unit.OperationID) (change.Result, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	base, err := s.readLatest(ctx)
	if err != nil {
		return change.Result{}, errors.Errorf("set zone %s: %w", zone, err)
	}
	before, ok := findZone(&base.Document, zone)
	if !ok {
		return change.Result{}, errors.Errorf("set zone %s: %w", zone, change.ErrUnknownZone)
	}
	if before.Out == out {
		return s.awaitAccepted(ctx, base), nil
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
			if after, ok := findZone(&r.Document, zone); !ok || after != before {
				return result, nil
			}
			base = r
		}
	}
}

// Status returns the known state of a change.
func (s *Service) Status(ctx context.Context, q change.Query) (change.Result, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	n := q.Revision
	if n == 0 && q.Base != 0 {
		n = q.Base + 1
	}
	if n == 0 {
		return s.findOperation(ctx, q.Operation)
	}
	r, err := s.getRevision(ctx, n)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return change.Result{Outcome: change.Unknown}, nil
	case err != nil:
		return change.Result{}, errors.Errorf("status of change: %w", err)
	case q.Operation != "" && r.Operation != q.Operation:
		return s.conflictResult(ctx, n)
	}
	s.markUnfinished(n)
	return s.currentResult(r), nil
}

// History returns up to limit revisions, newest first. The store keeps 200.
func (s *Service) History(ctx context.Context, limit int) ([]spec.Revision, error) {
	var revisions []spec.Revision
	err := s.walkLog(ctx, min(limit, keptRevisions), func(r spec.Revision) bool {
		revisions = append(revisions, r)
		return true
	})
	return revisions, err
}

// walkLog calls visit with up to limit revisions, newest first, until it returns
// false.
func (s *Service) walkLog(ctx context.Context, limit int, visit func(spec.Revision) bool) error {
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

// findOperation searches the log for an operation whose base is not known.
func (s *Service) findOperation(ctx context.Context, operation unit.OperationID) (change.Result, error) {
	result := change.Result{Outcome: change.Unknown}
	err := s.walkLog(ctx, keptRevisions, func(r spec.Revision) bool {
		if r.Operation != operation {
			return true
		}
		result = s.currentResult(r)
		return false
	})
	return result, err
}

// runWrite executes the commands of a write until it or the context ends.
func (s *Service) runWrite(ctx context.Context, w *revisionWrite, c command) {
	for c.kind != commandEnd {
		if c.backoff {
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
		if ctx.Err() != nil {
			w.abandon(errors.Join(store.ErrUnavailable, ctx.Err()))
			return
		}
		c = w.handle(s.execute(ctx, w, c))
	}
}

// execute makes the store call of a command.
func (s *Service) execute(ctx context.Context, w *revisionWrite, c command) response {
	var resp response
	switch c.kind {
	case commandReadHead:
		resp.head, resp.err = s.getHead(ctx)
	case commandReadRevision:
		resp.revision, resp.err = s.getRevision(ctx, c.number)
	case commandCreate:
		var value []byte
		if value, resp.err = encodeRecord(w.revision); resp.err == nil {
			resp.storeRevision, resp.err = s.store.Put(ctx, revisionKey(c.number), value, store.IfAbsent(), "")
		}
	case commandAdvance:
		var value []byte
		if value, resp.err = encodeRecord(c.head); resp.err == nil {
			resp.storeRevision, resp.err = s.store.Put(ctx, headKey, value, c.cond, "")
		}
	}
	return resp
}

// publish adopts a written revision and pushes it to all peers concurrently. A peer
// that does not answer reads it from the store or learns of it from a heartbeat.
func (s *Service) publish(ctx context.Context, w *revisionWrite) {
	s.mu.Lock()
	if w.headStoreRevision > s.core.head.storeRevision {
		s.core.head = head{
			Number: w.revision.Number, Operation: w.revision.Operation, Author: w.revision.Author, storeRevision: w.headStoreRevision,
		}
	}
	s.mu.Unlock()
	s.adopt(w.revision, "operator")
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range s.members.View().Entries {
		if e.ID == s.members.Self() {
			continue
		}
		wg.Go(func() { s.push(ctx, e.ID, w.revision) })
	}
	wg.Wait()
}

// push sends a revision to a peer and records the revision that it acknowledges.
func (s *Service) push(ctx context.Context, peer unit.EntryID, r spec.Revision) {
	answer, err := s.peers.Call(ctx, peer, message.Push{Revision: r})
	if err != nil {
		return // the peer counts once a heartbeat reports its revision
	}
	if ack, ok := answer.(message.Ack); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.core.rollout.RecordRevision(peer, ack.Configuration)
		s.notifyProgress()
	}
}

// awaitAccepted waits until a revision is in effect everywhere or the context ends.
func (s *Service) awaitAccepted(ctx context.Context, r spec.Revision) change.Result {
	for {
		s.mu.Lock()
		progress := s.rolloutChanged
		outcome, missing := s.core.outcome(time.Now(), r.Number)
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

// currentResult returns the result of a revision of the log as known now.
func (s *Service) currentResult(r spec.Revision) change.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, missing := s.core.outcome(time.Now(), r.Number)
	return change.Result{Outcome: outcome, Revision: r, Missing: missing}
}

// conflictResult returns a conflict with the latest revision. If that cannot be read,
// such as after the end of the context, it returns the newest revision known here.
func (s *Service) conflictResult(ctx context.Context, atLeast unit.Revision) (change.Result, error) {
	current, err := s.readLatest(ctx)
	if err != nil || current.Number < atLeast {
		current = s.Current()
	}
	return change.Result{Outcome: change.Conflict, Revision: current}, nil
}

// readLatest returns the revision at the head of the log.
func (s *Service) readLatest(ctx context.Context) (spec.Revision, error) {
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

// trimLog deletes the revision that is no longer kept after n was written, and the
// two before it, which an earlier call may have failed to delete.
func (s *Service) trimLog(ctx context.Context, n unit.Revision) {
	for old := n; old > keptRevisions && old+3 > n; old-- {
		if err := s.store.Delete(ctx, revisionKey(old-keptRevisions), store.Always()); err != nil {
			return // already deleted, or left to a later call
		}
	}
}

// markUnfinished makes the next read of the head probe the log for revision n, in
// case the head has not reached it.
func (s *Service) markUnfinished(n unit.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfinished = max(s.unfinished, n)
}

// validate returns change.ErrInvalid with all faults of a change, or nil.
func validate(c change.Change) error {
	var faults []error
	if c.Author == "" || len(c.Author) > maxNameLength {
		faults = append(faults, errors.Errorf("author: want 1 to %d bytes", maxNameLength))
	}
	if c.Operation == "" || len(c.Operation) > maxNameLength {
		faults = append(faults, errors.Errorf("operation id: want 1 to %d bytes", maxNameLength))
	}
	if err := spec.Check(&c.Document); err != nil {
		faults = append(faults, err)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Join(append([]error{change.ErrInvalid}, faults...)...)
}

// findZone returns a zone of the document.
func findZone(d *spec.Document, zone unit.ZoneID) (spec.Zone, bool) {
	for _, z := range d.Zones {
		if z.Name == zone {
			return z, true
		}
	}
	return spec.Zone{}, false
}

// encodeRecord encodes v as JSON without HTML escapes, which would make a document
// with & in its routes larger than its text.
func encodeRecord(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.Errorf("encode record: %w", err)
	}
	return b.Bytes(), nil
}

// withDefaultTimeout bounds a context that has no deadline by applyTimeout.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, applyTimeout)
}
