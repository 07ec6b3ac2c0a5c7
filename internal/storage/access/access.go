// Package access reaches the store directly or, while the store turns this entry
// away, through another entry that it serves.
package access

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName = kv.ServiceName

// kindStore is the kind of the calls that carry a store request to a peer.
const kindStore mesh.Kind = 1

// Times of calls.
const (
	// callTimeout bounds a call that does not wait. The store answers in 4 ms,
	// and in 240 ms while it is slow.
	callTimeout = 800 * time.Millisecond
	// watchSlack is how long after its wait the answer of a watch is overdue.
	watchSlack = 600 * time.Millisecond
	// probePause is the time between two direct calls while the store does not
	// answer this entry.
	probePause = 300 * time.Millisecond
	// outagePause is the time between two attempts while no entry reaches it.
	outagePause = 150 * time.Millisecond
)

// maxRelays is the number of peers that are asked to carry one call.
const maxRelays = 2

// network reaches other entries.
type network interface {
	Peers() []unit.EntryID
	Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error)
	Handle(k mesh.Kind, h mesh.Handler)
}

// Service implements kv.Doer for the other services of an entry.
type Service struct {
	log    logr.Logger
	direct kv.Doer
	peers  network
	done   chan struct{}

	mu      sync.Mutex
	cut     bool      // direct calls fail
	probe   time.Time // next direct attempt while cut
	outage  bool      // relayed calls fail, too
	attempt time.Time // next attempt during an outage
	back    time.Time // when the last outage ended
	since   time.Time // when the present outage began
	helper  unit.EntryID
	agreed  time.Time // when a peer last said that it does not reach the store either
}

// New returns a service over a direct client of the store.
func New(log logr.Logger, direct kv.Doer) *Service {
	return &Service{log: log, direct: direct, done: make(chan struct{})}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(_ context.Context, k *registry.Kernel) error {
	peers, err := registry.Find[network](k, mesh.ServiceName)
	if err != nil {
		return errors.Errorf("find mesh: %w", err)
	}
	s.peers = peers
	peers.Handle(kindStore, s.relayed)
	return nil
}

// Stop implements registry.Service.
func (s *Service) Stop(context.Context) error {
	s.log.Info("store calls of this process", "calls", metric.StoreCalls.String())
	close(s.done)
	return nil
}

// Done implements registry.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// agreementLimit is how long the word of a peer counts that the store is away.
const agreementLimit = 2 * time.Second

// Outage reports whether the store answers neither this entry nor, by their own
// word, peers. An entry that reaches nobody does not know.
func (s *Service) Outage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage && time.Since(s.agreed) < agreementLimit
}

// Do implements kv.Doer. ErrUnavailable is returned only if neither way had an
// effect.
func (s *Service) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	tryDirect, tryPeers := s.plan(time.Now())
	last := errors.Errorf("store not reached lately: %w", kv.ErrUnavailable)
	unknown := false
	if tryDirect {
		response, err := s.do(ctx, r)
		if r.Op == kv.OpWatch && unreached(err) {
			// A watch may hang on a silent connection or in the store; the caller
			// lists again, which shows whether the store is reached.
			return kv.Response{}, err
		}
		s.note(true, err)
		if !unreached(err) {
			return response, err
		}
		last, unknown = err, errors.Is(err, kv.ErrUnknown)
	}
	if tryPeers {
		response, err := s.relay(ctx, r)
		s.note(false, err)
		if !unreached(err) {
			return response, err
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown)
		last = err
	}
	if unknown && !errors.Is(last, kv.ErrUnknown) {
		return kv.Response{}, errors.Errorf("store call: %v: %w", last, kv.ErrUnknown)
	}
	return kv.Response{}, last
}

// plan decides which ways a call tries. While the store answers nobody, one call
// at a time looks for it and the others fail at once.
func (s *Service) plan(now time.Time) (direct, peers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		if now.Before(s.attempt) {
			return false, false
		}
		s.attempt = now.Add(outagePause)
		return true, true
	}
	if s.cut && now.Before(s.probe) {
		return false, true
	}
	if s.cut {
		s.probe = now.Add(probePause)
	}
	return true, true
}

func (s *Service) note(direct bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := [2]bool{s.cut, s.outage}
	failed := unreached(err)
	switch {
	case direct:
		s.cut = failed
		if failed {
			s.probe = now.Add(probePause)
		} else {
			if s.outage {
				s.back = now
			}
			s.outage = false
		}
	default:
		if s.outage && !failed {
			s.back = now
		}
		if failed && s.cut && !s.outage {
			s.since = now
		}
		s.outage = failed && s.cut
		s.attempt = now.Add(outagePause)
	}
	if after := [2]bool{s.cut, s.outage}; after != before {
		s.log.Info("store reachability changed", "direct", !s.cut, "any", !s.outage, "error", err)
	}
}

// OutageDuration returns for how long the store has answered nobody, or 0.
func (s *Service) OutageDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.outage {
		return 0
	}
	return time.Since(s.since)
}

// LastOutageEnd returns when the last outage of the store ended.
func (s *Service) LastOutageEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

// do calls the store directly within its time.
func (s *Service) do(ctx context.Context, r kv.Request) (kv.Response, error) {
	metric.StoreCalls.Add(r.Op.String(), 1)
	ctx, cancel := context.WithTimeout(ctx, limit(r))
	defer cancel()
	started := time.Now()
	response, err := s.direct.Do(ctx, r)
	if r.Op != kv.OpWatch {
		metric.StoreLatency.Record(time.Since(started))
	}
	return response, err
}

func limit(r kv.Request) time.Duration {
	if r.Op == kv.OpWatch {
		return r.Wait + watchSlack
	}
	return callTimeout
}

// unreached reports whether the store gave no answer to the call.
func unreached(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknown)
}

// verdict is the kind of failure of a relayed call.
type verdict uint8

const (
	verdictOK verdict = iota
	verdictNotFound
	verdictConflict
	verdictCompacted
	verdictLeaseEnded
	verdictUnavailable
	verdictUnknown
)

var verdicts = []struct {
	verdict verdict
	err     error
}{
	{verdictNotFound, kv.ErrNotFound},
	{verdictConflict, kv.ErrConflict},
	{verdictCompacted, kv.ErrCompacted},
	{verdictLeaseEnded, kv.ErrLeaseEnded},
	{verdictUnavailable, kv.ErrUnavailable},
	{verdictUnknown, kv.ErrUnknown},
}

// relayAnswer is the answer of a peer to a relayed call.
type relayAnswer struct {
	Verdict  verdict     `cbor:"1,keyasint,omitempty"`
	Response kv.Response `cbor:"2,keyasint"`
	Text     string      `cbor:"3,keyasint,omitempty"`
}

// relayed carries the call of a peer to the store, directly only.
func (s *Service) relayed(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var r kv.Request
	if err := cbor.Unmarshal(request, &r); err != nil {
		return nil, errors.Errorf("decode store request: %w", err)
	}
	var answer relayAnswer
	if direct, _ := s.plan(time.Now()); !direct {
		answer = relayAnswer{Verdict: verdictUnavailable, Text: "not reached lately"}
	} else {
		response, err := s.do(ctx, r)
		if r.Op != kv.OpWatch {
			s.note(true, err)
		}
		answer = encodeAnswer(response, err)
	}
	body, err := cbor.Marshal(answer)
	if err != nil {
		return nil, errors.Errorf("encode store answer: %w", err)
	}
	return body, nil
}

func encodeAnswer(response kv.Response, err error) relayAnswer {
	answer := relayAnswer{Response: response}
	if err == nil {
		return answer
	}
	answer.Verdict, answer.Text = verdictUnknown, err.Error()
	for _, v := range verdicts {
		if errors.Is(err, v.err) {
			answer.Verdict = v.verdict
			break
		}
	}
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		answer.Response.Items = conflict.Items
	}
	return answer
}

func (a relayAnswer) decode() (kv.Response, error) {
	if a.Verdict == verdictOK {
		return a.Response, nil
	}
	if a.Verdict == verdictConflict {
		return kv.Response{}, &kv.ConflictError{Items: a.Response.Items}
	}
	for _, v := range verdicts {
		if v.verdict == a.Verdict {
			return kv.Response{}, errors.Errorf("relayed: %s: %w", a.Text, v.err)
		}
	}
	return kv.Response{}, errors.Errorf("relayed: verdict %d: %w", a.Verdict, kv.ErrUnknown)
}

// relay asks peers to carry a call, the one that helped last first.
func (s *Service) relay(ctx context.Context, r kv.Request) (kv.Response, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return kv.Response{}, errors.Errorf("encode store request: %w", errors.Join(err, kv.ErrUnavailable))
	}
	last := errors.Errorf("no other entry: %w", kv.ErrUnavailable)
	for _, id := range s.helpers() {
		response, err := s.relayTo(ctx, id, r, body)
		if !unreached(err) {
			s.mu.Lock()
			s.helper = id
			s.mu.Unlock()
			return response, err
		}
		if errors.Is(last, kv.ErrUnknown) && !errors.Is(err, kv.ErrUnknown) {
			err = errors.Errorf("%v: %w", err, kv.ErrUnknown)
		}
		last = err
	}
	return kv.Response{}, last
}

func (s *Service) relayTo(ctx context.Context, id unit.EntryID, r kv.Request, body []byte) (kv.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit(r)+watchSlack)
	defer cancel()
	raw, err := s.peers.Call(ctx, id, kindStore, body)
	if errors.Is(err, mesh.ErrUnreachable) {
		return kv.Response{}, errors.Errorf("relay by %s: %v: %w", id, err, kv.ErrUnavailable)
	}
	if err != nil {
		return kv.Response{}, errors.Errorf("relay by %s: %v: %w", id, err, kv.ErrUnknown)
	}
	var answer relayAnswer
	if err := cbor.Unmarshal(raw, &answer); err != nil {
		return kv.Response{}, errors.Errorf("relay by %s: decode: %v: %w", id, err, kv.ErrUnknown)
	}
	if answer.Verdict == verdictUnavailable || answer.Verdict == verdictUnknown {
		s.mu.Lock()
		s.agreed = time.Now()
		s.mu.Unlock()
	}
	return answer.decode()
}

func (s *Service) helpers() []unit.EntryID {
	s.mu.Lock()
	helper := s.helper
	s.mu.Unlock()
	ids := make([]unit.EntryID, 0, maxRelays)
	peers := s.peers.Peers() // in random order, as of a map
	for _, id := range peers {
		if id == helper {
			ids = append(ids, id)
		}
	}
	for _, id := range peers {
		if id != helper && len(ids) < maxRelays {
			ids = append(ids, id)
		}
	}
	return ids
}
