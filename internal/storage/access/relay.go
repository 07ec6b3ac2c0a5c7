package access

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// relayStatus is the result of a relayed call as a peer sends it.
type relayStatus uint8

const (
	statusOK relayStatus = iota
	statusNotFound
	statusConflict
	statusCompacted
	statusLeaseEnded
	statusUnavailable
	statusUnknown
	statusOversized
)

var relayStatuses = []struct {
	status relayStatus
	err    error
}{
	{statusNotFound, kv.ErrNotFound},
	{statusConflict, kv.ErrConflict},
	{statusCompacted, kv.ErrCompacted},
	{statusLeaseEnded, kv.ErrLeaseEnded},
	{statusUnavailable, kv.ErrUnavailable},
	{statusUnknown, kv.ErrUnknown},
	{statusOversized, kv.ErrOversized},
}

// relayAnswer is the answer of a peer to a relayed call.
type relayAnswer struct {
	Status   relayStatus `cbor:"1,keyasint,omitempty"`
	Response kv.Response `cbor:"2,keyasint"`
	Text     string      `cbor:"3,keyasint,omitempty"`
}

// errNotReached means that the store did not answer this entry lately.
var errNotReached = errors.New("not reached lately")

// handleRelay relays a call of a peer to the store. It calls the store only directly.
func (s *Service) handleRelay(ctx context.Context, _ mesh.Fingerprint, request []byte) ([]byte, error) {
	var r kv.Request
	if err := cbor.Unmarshal(request, &r); err != nil {
		return nil, errors.Errorf("decode store request: %w", err)
	}
	answer := encodeAnswer(s.DoDirect(ctx, r))
	body, err := cbor.Marshal(answer)
	if err == nil && len(body) >= mesh.MaxMessage {
		body, err = cbor.Marshal(relayAnswer{Status: statusOversized, Text: "too large to relay"})
	}
	if err != nil {
		return nil, errors.Errorf("encode store answer: %w", err)
	}
	return body, nil
}

// DoDirect calls the store for another entry, and so only directly. It returns
// ErrUnavailable at once while the store does not answer this entry.
func (s *Service) DoDirect(ctx context.Context, r kv.Request) (kv.Response, error) {
	if direct, _ := s.planCall(r, time.Now()); !direct {
		return kv.Response{}, errors.Join(errNotReached, kv.ErrUnavailable)
	}
	response, err := s.callDirect(ctx, r)
	if !r.Waits() && ctx.Err() == nil {
		s.recordResult(true, err)
	}
	return response, err
}

func encodeAnswer(response kv.Response, err error) relayAnswer {
	answer := relayAnswer{Response: response}
	if err == nil {
		return answer
	}
	answer.Status, answer.Text = statusUnknown, err.Error()
	if errors.Is(err, errNotReached) {
		answer.Text = errNotReached.Error()
	}
	for _, v := range relayStatuses {
		if errors.Is(err, v.err) {
			answer.Status = v.status
			break
		}
	}
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		answer.Response.Items = conflict.Items
	}
	return answer
}

func (a relayAnswer) decode() (kv.Response, error) {
	if a.Status == statusOK {
		return a.Response, nil
	}
	if a.Status == statusConflict {
		return kv.Response{}, &kv.ConflictError{Items: a.Response.Items}
	}
	for _, v := range relayStatuses {
		if v.status == a.Status {
			return kv.Response{}, errors.Errorf("relayed: %s: %w", a.Text, v.err)
		}
	}
	return kv.Response{}, errors.Errorf("relayed: verdict %d: %w", a.Status, kv.ErrUnknown)
}

// relay asks peers to relay a call, beginning with the one that relayed the last.
func (s *Service) relay(ctx context.Context, r kv.Request) (kv.Response, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return kv.Response{}, errors.Errorf("encode store request: %w", errors.Join(err, kv.ErrUnavailable))
	}
	last := errors.Errorf("no other entry: %w", kv.ErrUnavailable)
	for _, id := range s.relayCandidates() {
		response, err := s.relayTo(ctx, id, r, body)
		if !noAnswer(err) {
			s.mu.Lock()
			s.lastRelay = id
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
	callCtx, cancel := context.WithTimeout(ctx, timeoutOf(r)+watchGrace)
	defer cancel()
	raw, err := s.peers.Call(callCtx, id, kindStore, body)
	if err != nil && ctx.Err() == nil { // otherwise the caller gave up, which shows nothing about the peer
		s.recordReport(id, false)
	}
	if errors.Is(err, mesh.ErrUnreachable) {
		return kv.Response{}, errors.Errorf("relay by %s: %v: %w", id, err, kv.ErrUnavailable)
	}
	if err != nil {
		return kv.Response{}, errors.Errorf("relay by %s: %v: %w", id, err, kv.ErrUnknown)
	}
	answer, err := decodeRelayAnswer(raw)
	if err != nil {
		return kv.Response{}, errors.Errorf("relay by %s: decode: %v: %w", id, err, kv.ErrUnknown)
	}
	if answer.Status == statusUnavailable || answer.Status == statusUnknown {
		s.recordReport(id, true)
	}
	return answer.decode()
}

func decodeRelayAnswer(raw []byte) (relayAnswer, error) {
	defer metric.PeersTimer.Since(time.Now())
	var answer relayAnswer
	err := cbor.Unmarshal(raw, &answer)
	return answer, err
}

// recordReport records what a peer that was asked to relay a call has shown.
func (s *Service) recordReport(id unit.EntryID, noStore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.settle(id, noStore, time.Now())
}

// relayCandidates returns the peers to ask, in order: the one that relayed the last call,
// or during an outage those that were not asked for longest.
func (s *Service) relayCandidates() []unit.EntryID {
	peers := s.peers.Peers() // in random order, as the keys of a map
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.reports.forget(now)
	if s.outage {
		slices.SortStableFunc(peers, func(a, b unit.EntryID) int { return s.reports[a].askedAt.Compare(s.reports[b].askedAt) })
	} else if i := slices.Index(peers, s.lastRelay); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	peers = peers[:min(len(peers), maxRelayPeers)]
	for _, id := range peers {
		s.reports.ask(id, now)
	}
	return peers
}
