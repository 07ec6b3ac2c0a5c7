package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/delta"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
)

const (
	// answerInterval is the shortest time between two answers of a session. Each costs both
	// entries a wake-up and some packets, and most heartbeats bring no end of a run.
	answerInterval = 30 * time.Millisecond
	// maxAnswerDelay is how long a call waits for the first answer of a worker.
	maxAnswerDelay = 100 * time.Millisecond
	// maxAnswers and maxAnswerItems are the largest numbers of answers, and of runs and ends
	// in them beside the first answer, that one call returns. The first reports after a
	// takeover may list hundreds of ends each, and the owner's link may be small.
	maxAnswers     = 256
	maxAnswerItems = 1024
)

// session holds what another entry has passed on in one session of heartbeats.
type session struct {
	id       owner.SessionID
	answered chan struct{} // has an element while there are results

	mu         sync.Mutex
	calls      uint64
	usedAt     time.Time // by the last call
	answeredAt time.Time // when the last call was answered
	workers    map[owner.WorkerNumber]*sessionWorker
	underWay   int
	results    []result
}

// sessionWorker is a worker in a session.
type sessionWorker struct {
	key         workerKey
	incarnation scheduler.Incarnation // of the last renewal
	delta       delta.Encoder         // used only by takeAnswers
}

// result is the outcome of a heartbeat.
type result struct {
	number owner.HeartbeatNumber
	worker *sessionWorker
	report scheduler.Report
	clock  unit.WorkerTime
	err    error
}

// ExchangeHeartbeats implements the interface of the owner for heartbeats that go through
// another entry.
func (s *Service) ExchangeHeartbeats(ctx context.Context, via unit.EntryID, b owner.HeartbeatBatch) ([]owner.RelayedAnswer, error) {
	began := time.Now()
	request, err := record.Marshal(b)
	metric.PeersTimer.Since(began)
	if err != nil {
		return nil, errors.Errorf("encode heartbeats: %w", err)
	}
	body, err := s.peers.Call(ctx, via, kindHeartbeats, request)
	if err != nil {
		return nil, errors.Errorf("relay heartbeats: %w", err)
	}
	defer metric.PeersTimer.Since(time.Now())
	var answers []owner.RelayedAnswer
	if err := cbor.Unmarshal(body, &answers); err != nil {
		return nil, errors.Errorf("decode answers to heartbeats: %w", err)
	}
	return answers, nil
}

// handleHeartbeats sends the heartbeats of a call and returns the answers that have come
// since the last one. It fails after the deadline of the call, which ends the session: while
// the clocks are that far apart all calls of it would be late.
func (s *Service) handleHeartbeats(ctx context.Context, from mesh.Fingerprint, request []byte) ([]byte, error) {
	var b owner.HeartbeatBatch
	if err := cbor.Unmarshal(request, &b); err != nil {
		return nil, errors.Errorf("decode heartbeats: %w", err)
	}
	if len(b.Heartbeats) > owner.MaxHeartbeatBatch {
		return nil, errors.Errorf("%d heartbeats in a call, want at most %d", len(b.Heartbeats), owner.MaxHeartbeatBatch)
	}
	now := time.Now()
	if now.After(b.Deadline.Add(maxClockSkew)) {
		return nil, errors.New("deadline passed")
	}
	session, err := s.sessionOf(from, b, now)
	if err != nil {
		return nil, err
	}
	for _, h := range b.Heartbeats {
		w, renewal, err := session.begin(h)
		if err != nil {
			return nil, err
		}
		s.heartbeats.Go(func() { session.finish(s.sendHeartbeat(&b, w, h, renewal)) })
	}
	body, err := record.Marshal(session.awaitAnswers(ctx))
	if err != nil {
		return nil, errors.Errorf("encode answers to heartbeats: %w", err)
	}
	return body, nil
}

// sessionOf returns the session of a call, which begins with the first call. What an earlier
// session of the same entry has not returned is lost.
func (s *Service) sessionOf(from mesh.Fingerprint, b owner.HeartbeatBatch, now time.Time) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.sessions[from]
	if b.Call == 1 {
		current = &session{id: b.Session, answered: make(chan struct{}, 1), workers: map[owner.WorkerNumber]*sessionWorker{}}
		s.sessions[from] = current
	}
	if current == nil || current.id != b.Session {
		return nil, errors.Errorf("session %d is not known", b.Session)
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	if current.calls++; b.Call != current.calls {
		return nil, errors.Errorf("call %d of session %d, want %d", b.Call, b.Session, current.calls)
	}
	current.usedAt = now
	return current, nil
}

// begin counts a heartbeat as under way and returns its worker and what it tells that one.
func (s *session) begin(h owner.RelayedHeartbeat) (*sessionWorker, scheduler.Renewal, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.underWay >= owner.MaxHeartbeatsUnderWay {
		return nil, scheduler.Renewal{}, errors.Errorf("%d heartbeats under way", s.underWay)
	}
	w := s.workers[h.Worker]
	if w == nil {
		if h.ID == "" || len(s.workers) >= owner.MaxHeartbeatsUnderWay {
			return nil, scheduler.Renewal{}, errors.Errorf("worker %d is not known", h.Worker)
		}
		w = &sessionWorker{key: workerKey{h.ID, h.Address}}
		s.workers[h.Worker] = w
	}
	s.underWay++
	if h.Incarnation != 0 {
		w.incarnation = h.Incarnation
	}
	return w, scheduler.Renewal{Incarnation: w.incarnation, Until: h.Until, Acked: h.Cursor}, nil
}

// finish adds the outcome of a heartbeat to those that the next call returns.
func (s *session) finish(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay--
	s.results = append(s.results, r)
	select {
	case s.answered <- struct{}{}:
	default:
	}
}

// sendHeartbeat sends a heartbeat to its worker.
func (s *Service) sendHeartbeat(b *owner.HeartbeatBatch, w *sessionWorker, h owner.RelayedHeartbeat, renewal scheduler.Renewal) result {
	r := result{number: h.Number, worker: w}
	c := s.acquire(w.key)
	defer s.release(c)
	ctx, cancel := context.WithTimeout(s.heartbeatCtx, owner.HeartbeatTimeout)
	defer cancel()
	r.err = guard.Call(func() (err error) {
		r.report, r.clock, err = c.worker.Heartbeat(ctx, b.Fence, renewal, h.Wait)
		return err
	})
	return r
}

// awaitAnswers waits for the first result, no less than answerInterval after the last
// answer, and returns all results.
func (s *session) awaitAnswers(ctx context.Context) []owner.RelayedAnswer {
	s.mu.Lock()
	now := time.Now()
	earliest, latest := s.answeredAt.Add(answerInterval), now.Add(maxAnswerDelay)
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-s.answered:
		sleepUntil(ctx, earliest)
	}
	return s.takeAnswers(time.Now())
}

// sleepUntil waits until t or the end of the context.
func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// countAnswers returns how many of the results one call returns.
func countAnswers(results []result) int {
	items := 0
	for n, r := range results {
		items += len(r.report.Running) + len(r.report.Ended)
		if n == maxAnswers || (n > 0 && items > maxAnswerItems) {
			return n
		}
	}
	return len(results)
}

// takeAnswers removes results and returns them in their compact form.
func (s *session) takeAnswers(now time.Time) []owner.RelayedAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
	n := countAnswers(s.results)
	answers := make([]owner.RelayedAnswer, n)
	for i, r := range s.results[:n] {
		answers[i] = owner.RelayedAnswer{Number: r.number, Clock: r.clock}
		if r.err != nil {
			answers[i].Error = r.err.Error()
			continue
		}
		answers[i].Report = r.worker.delta.Encode(r.report)
	}
	s.results = slices.Clone(s.results[n:])
	select {
	case <-s.answered: // of results that are returned now
	default:
	}
	if len(s.results) > 0 {
		s.answered <- struct{}{}
	}
	return answers
}

// dropSessions drops the sessions that were last used before the given time.
func (s *Service) dropSessions(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.sessions, func(_ mesh.Fingerprint, held *session) bool {
		held.mu.Lock()
		defer held.mu.Unlock()
		return held.usedAt.Before(before)
	})
}
