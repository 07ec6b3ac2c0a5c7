package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// sharedLink is the link of an owner, which parts of answers share.
type sharedLink struct {
	rate unit.Bytes // in a second

	mu      sync.Mutex
	cut     bool
	freeAt  time.Time
	carried unit.Bytes
}

var errLinkCut = errors.New("link cut")

// linkPartBytes is the size of a part of an answer.
const linkPartBytes unit.Bytes = 1500

// carry returns once an answer has arrived, or an error once the link is cut.
func (l *sharedLink) carry(ctx context.Context, size unit.Bytes) error {
	for ; size > 0; size -= linkPartBytes {
		part := min(size, linkPartBytes)
		l.mu.Lock()
		if l.cut {
			l.mu.Unlock()
			<-ctx.Done()
			return errors.Join(errLinkCut, ctx.Err())
		}
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(part) * time.Second / time.Duration(l.rate))
		l.carried += part
		arrival := l.freeAt
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(arrival)):
			kv.ReportProgress(ctx)
		}
	}
	return nil
}

// carryAtOnce carries an answer that takes no time, or returns an error if the link is cut.
func (l *sharedLink) carryAtOnce(size unit.Bytes) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return errors.Join(errLinkCut, kv.ErrUnavailable)
	}
	l.carried += size
	return nil
}

// setCut cuts the link or ends the cut.
func (l *sharedLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// bytes returns what the link has carried.
func (l *sharedLink) bytes() unit.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// Sizes of answers on the wire.
const (
	answerOverhead  unit.Bytes = 120
	storeItemBytes  unit.Bytes = 130 // of an item, beside its value in base64
	storeCutTimeout            = 800 * time.Millisecond
)

// linkedStore is the store behind a link.
type linkedStore struct {
	*eventLog
	link *sharedLink
}

// Do implements kv.Doer.
func (s linkedStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	answer, err := s.eventLog.Do(ctx, r)
	size := answerOverhead
	for _, item := range answer.Items {
		size += storeItemBytes + unit.Bytes(len(item.Value))*4/3
	}
	if r.Op == kv.OpRange { // at once, as the clock of a test stands still while a reader waits for the list of another
		return answer, s.link.carryAtOnce(size)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(storeCutTimeout, cancel)
	defer stalled.Stop()
	ctx = kv.WithProgress(ctx, func() { stalled.Reset(storeCutTimeout) })
	if linkErr := s.link.carry(ctx, size); linkErr != nil {
		return kv.Response{}, errors.Join(linkErr, kv.ErrUnavailable)
	}
	return answer, err
}

// linkedNetwork passes the calls of an owner to other entries, whose answers come over its
// link. A lost answer does not come.
type linkedNetwork struct {
	link *sharedLink

	mu       sync.Mutex
	handlers map[unit.EntryID]mesh.Handler
	lost     bool // the answers
	calls    int
}

func newLinkedNetwork(link unit.BitRate) *linkedNetwork {
	return &linkedNetwork{link: &sharedLink{rate: unit.Bytes(link) / 8}, handlers: map[unit.EntryID]mesh.Handler{}}
}

// Call implements the network of a follower.
func (n *linkedNetwork) Call(ctx context.Context, to unit.EntryID, _ mesh.Kind, request []byte) ([]byte, error) {
	n.mu.Lock()
	n.calls++
	handler, lost := n.handlers[to], n.lost
	n.mu.Unlock()
	if handler == nil {
		return nil, &mesh.FaultError{Text: "no handler for this kind of call"}
	}
	answer, err := handler(ctx, "", request)
	if lost {
		<-ctx.Done()
	}
	size := answerOverhead + unit.Bytes(len(answer))
	if linkErr := n.link.carry(ctx, size); linkErr != nil {
		return nil, errors.Join(linkErr, mesh.ErrUnknown)
	}
	if err != nil {
		return nil, &mesh.FaultError{Text: err.Error()}
	}
	return answer, nil
}

// callCount returns the number of calls.
func (n *linkedNetwork) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// entryNetwork is the network as an entry sees it: it only answers calls.
type entryNetwork struct {
	*registry.Tasks
	network *linkedNetwork
	id      unit.EntryID
}

func (entryNetwork) Name() registry.Name { return mesh.ServiceName }

func (e entryNetwork) Start(ctx context.Context, _ *registry.Kernel) error {
	e.Begin(ctx, untilDone)
	return nil
}

func (e entryNetwork) Call(ctx context.Context, to unit.EntryID, k mesh.Kind, request []byte) ([]byte, error) {
	return e.network.Call(ctx, to, k, request)
}

func (e entryNetwork) Handle(_ mesh.Kind, h mesh.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.id] = h
}

// entryStore is the store as an entry calls it directly. It may be unavailable there.
type entryStore struct {
	*registry.Tasks
	store *eventLog

	mu   sync.Mutex
	down bool
}

func (*entryStore) Name() registry.Name { return kv.ServiceName }

func (s *entryStore) Start(ctx context.Context, _ *registry.Kernel) error {
	s.Begin(ctx, untilDone)
	return nil
}

func (s *entryStore) DoDirect(ctx context.Context, r kv.Request) (kv.Response, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return kv.Response{}, kv.ErrUnavailable
	}
	return s.store.Do(ctx, r)
}

func (s *entryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// testEntry is an entry that only follows the instance list.
type testEntry struct {
	follower *follower.Service
	store    *entryStore
	kernel   *registry.Kernel
	stopOnce sync.Once
}

// startEntry starts an entry, which replaces one with the same id.
func startEntry(ctx context.Context, id unit.EntryID, network *linkedNetwork, log *eventLog) (*testEntry, error) {
	e := &testEntry{
		follower: follower.New(logr.Discard(), itemFleet{}),
		store:    &entryStore{Tasks: registry.NewTasks(), store: log},
		kernel:   registry.New(),
	}
	services := []registry.Service{entryNetwork{Tasks: registry.NewTasks(), network: network, id: id}, e.store, e.follower}
	for _, s := range services {
		if err := e.kernel.Register(s); err != nil {
			return nil, errors.Errorf("register: %w", err)
		}
	}
	return e, e.kernel.Start(ctx)
}

// stop stops the entry unless that was done.
func (e *testEntry) stop() {
	e.stopOnce.Do(func() { _ = e.kernel.Stop(context.Background()) })
}

// untilDone is the goroutine of a service that has nothing to do.
func untilDone(ctx context.Context) { <-ctx.Done() }
