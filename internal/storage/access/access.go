// Package access calls the store directly or, while the store does not answer this
// entry, through another entry.
package access

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name under which a kernel holds the service.
const ServiceName = kv.ServiceName

// kindStore is the kind of mesh call that relays a store request to a peer.
const kindStore mesh.Kind = 1

// Timeouts and intervals of calls.
const (
	// callTimeout limits each call other than a watch that waits, and for a read the time
	// until the next part of its answer. The store answers in 4 ms, and in 240 ms while it
	// is slow.
	callTimeout = 800 * time.Millisecond
	// watchGrace is how long the answer of a watch may come after its wait has passed.
	watchGrace = 600 * time.Millisecond
	// probeInterval is the time between two direct calls while the store does not answer
	// this entry.
	probeInterval = 300 * time.Millisecond
	// outageProbeInterval is the time between two attempts while the store answers no
	// entry.
	outageProbeInterval = 150 * time.Millisecond
)

// maxRelayPeers is the maximum number of peers that are asked to relay one call.
const maxRelayPeers = 2

// network calls other entries and handles their calls.
type network interface {
	Peers() []unit.EntryID
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// Service implements kv.Doer for the other services of an entry.
type Service struct {
	*registry.Tasks
	log    logr.Logger
	direct kv.Doer
	peers  network
	limit  answerLimit
	// outageBegan signals that the store answers no entry any more.
	outageBegan chan struct{}

	mu               sync.Mutex
	directFailing    bool         // direct calls get no answer
	directAnsweredAt time.Time    // when the last direct call was answered
	nextProbe        time.Time    // next direct call while directFailing
	outage           bool         // relayed calls get no answer either
	nextAttempt      time.Time    // next attempt during an outage
	outageEnded      time.Time    // when the last outage ended
	outageStarted    time.Time    // when the current outage began
	lastRelay        unit.EntryID // peer that last relayed a call
	reports          peerReports  // of the peers asked to relay a call
}

// New returns a service over a direct client of the store.
func New(log logr.Logger, direct kv.Doer) *Service {
	return &Service{
		Tasks: registry.NewTasks(), log: log, direct: direct,
		outageBegan: make(chan struct{}, 1), reports: peerReports{},
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	peers, err := registry.Find[network](k, mesh.ServiceName)
	if err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	s.peers = peers
	peers.Handle(kindStore, s.handleRelay)
	s.Begin(ctx, s.probeOutages)
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.log.Info("store calls of this process", "calls", metric.StoreCalls.String())
	return s.Tasks.Stop(ctx)
}

// Outage reports whether the store answers neither this entry nor, according to their
// recent reports, its peers. An entry that does not reach most of its peers cannot tell,
// and reports false.
func (s *Service) Outage() bool {
	peers := len(s.peers.Peers())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage && s.reports.showOutage(peers, time.Now())
}

// Do implements kv.Doer. It returns ErrUnavailable only if neither the direct nor the
// relayed call had an effect.
func (s *Service) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	startedAt := time.Now()
	tryDirect, tryPeers := s.planCall(r, startedAt)
	last := errors.Errorf("store not reached lately: %w", kv.ErrUnavailable)
	unknown := false
	if tryDirect {
		response, err := s.callDirect(ctx, r)
		if r.Waits() && noAnswer(err) {
			// Such a watch may hang on a silent connection or in the store, so it does not show
			// whether the store is reachable. The caller lists again, which does.
			return kv.Response{}, err
		}
		if timedOut(err) && ctx.Err() == nil && s.answeredSince(startedAt) {
			// A second direct call costs less than a relayed one, for which this entry and a
			// peer may first have to connect.
			unknown = errors.Is(err, kv.ErrUnknown)
			response, err = s.callDirect(ctx, r)
		}
		if noAnswer(err) && ctx.Err() != nil {
			return kv.Response{}, markUnknown(err, unknown) // the caller gave up, which shows nothing about the store
		}
		s.recordResult(true, err)
		if !noAnswer(err) {
			return response, err
		}
		last, unknown = err, unknown || errors.Is(err, kv.ErrUnknown)
	}
	if tryPeers {
		response, err := s.relay(ctx, r)
		if !noAnswer(err) || ctx.Err() == nil {
			s.recordResult(false, err)
		}
		if !noAnswer(err) {
			return response, err
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown)
		last = err
	}
	return kv.Response{}, markUnknown(last, unknown)
}

// markUnknown adds ErrUnknown to the error of the last attempt if an earlier attempt may
// have had an effect.
func markUnknown(last error, unknown bool) error {
	if unknown && !errors.Is(last, kv.ErrUnknown) {
		return errors.Errorf("store call: %v: %w", last, kv.ErrUnknown)
	}
	return last
}

// timedOut reports whether the store did not answer the call in time, as opposed to
// refusing it.
func timedOut(err error) bool { return noAnswer(err) && errors.Is(err, context.DeadlineExceeded) }

// answeredSince reports whether the store has answered another direct call since t.
func (s *Service) answeredSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directAnsweredAt.After(t)
}

// planCall decides whether a call is tried directly and through peers. During an outage
// one call per outageProbeInterval is tried, and the others fail at once. A transaction is
// not sent to a store that does not answer, as its caller could not be told whether it has
// had an effect.
func (s *Service) planCall(r kv.Request, now time.Time) (direct, peers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := r.Op == kv.OpCommit
	if s.outage {
		if writes || now.Before(s.nextAttempt) {
			return false, false
		}
		s.nextAttempt = now.Add(outageProbeInterval)
		return true, true
	}
	if s.directFailing && (writes || now.Before(s.nextProbe)) {
		return false, true
	}
	if s.directFailing {
		s.nextProbe = now.Add(probeInterval)
	}
	return true, true
}

// recordResult updates the reachability of the store after a direct or a relayed call.
func (s *Service) recordResult(direct bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	old := [2]bool{s.directFailing, s.outage}
	failed := noAnswer(err)
	switch {
	case direct:
		s.directFailing = failed
		if failed {
			s.nextProbe = now.Add(probeInterval)
		} else {
			s.directAnsweredAt = now
			if s.outage {
				s.outageEnded = now
			}
			s.outage = false
		}
	default:
		if s.outage && !failed {
			s.outageEnded = now
		}
		if failed && s.directFailing && !s.outage {
			s.outageStarted = now
		}
		s.outage = failed && s.directFailing
		if s.outage {
			s.signalOutage()
		}
		s.nextAttempt = now.Add(outageProbeInterval)
	}
	if after := [2]bool{s.directFailing, s.outage}; after != old {
		s.log.Info("store reachability changed", "direct", !s.directFailing, "any", !s.outage, "error", err)
	}
}

// OutageDuration returns for how long the store has answered no entry, or 0.
func (s *Service) OutageDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.outage {
		return 0
	}
	return time.Since(s.outageStarted)
}

// LastOutageEnd returns when the last outage of the store ended.
func (s *Service) LastOutageEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outageEnded
}

// callDirect calls the store directly, within the timeout of the request.
func (s *Service) callDirect(ctx context.Context, r kv.Request) (kv.Response, error) {
	metric.StoreCalls.Add(r.Op.String(), 1)
	ctx, cancel := s.limit.apply(ctx, r)
	defer cancel()
	started := time.Now()
	var began time.Time // when the first part of the answer arrived
	ctx = kv.WithProgress(ctx, func() {
		if began.IsZero() {
			began = time.Now()
		}
	})
	response, err := s.direct.Do(ctx, r)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = errors.Join(err, errStalled)
	}
	if r.Waits() {
		return response, err
	}
	ended := time.Now()
	metric.StoreLatency.Record(ended.Sub(started))
	if began.IsZero() {
		began = ended
	}
	if !noAnswer(err) {
		s.limit.record(began.Sub(started))
	}
	return response, err
}

// noAnswer reports whether the store did not answer the call.
func noAnswer(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknown)
}
