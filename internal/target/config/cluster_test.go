package config

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/standin/memory"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// cluster is a set of entries with the real membership and configuration services
// and an in-memory store and peer service. It runs on the clock of synctest.
type cluster struct {
	t       *testing.T
	records *memory.Records
	started int

	mu      sync.Mutex
	entries map[unit.EntryID]*entry
}

// entry is one entry of a cluster.
type entry struct {
	*Service
	id      unit.EntryID
	cluster *cluster
	handle  *memory.Handle
	members *membership.Service
	kernel  *registry.Kernel
	cancel  context.CancelFunc
	done    chan struct{}

	mu        sync.Mutex
	isolated  bool       // whether it reaches no peer
	partition int        // entries reach only those of the same partition
	delays    *rand.Rand // decides which messages are delayed; nil for none
	handlers  map[message.Kind]message.Handler
	heartbeat func(to unit.EntryID) message.Heartbeat
	observe   func(from unit.EntryID, sent time.Time, answer message.Heartbeat)
}

func newCluster(t *testing.T, entries int) *cluster {
	c := &cluster{t: t, records: memory.NewRecords(), entries: map[unit.EntryID]*entry{}}
	for range entries {
		c.start(nil)
	}
	return c
}

// start starts another entry. prepare, if not nil, may set faults of its store handle.
func (c *cluster) start(prepare func(*memory.Handle)) *entry {
	c.t.Helper()
	c.started++
	e := &entry{
		id:       unit.EntryID("e" + strconv.Itoa(c.started)),
		cluster:  c,
		handle:   memory.NewHandle(c.records),
		kernel:   registry.New(),
		done:     make(chan struct{}),
		handlers: map[message.Kind]message.Handler{},
	}
	if prepare != nil {
		prepare(e.handle)
	}
	e.members = membership.New(logr.Discard(), roster.Entry{ID: e.id, Zone: "z"})
	e.Service = New(logr.Discard())
	for _, s := range []registry.Service{e.handle, journal.NewService(time.Now()), e.members, memoryPeers{e}, e.Service} {
		if err := e.kernel.Register(s); err != nil {
			c.t.Fatal(err)
		}
	}
	if err := e.kernel.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[e.id] = e
	return e
}

// remove stops an entry gracefully.
func (c *cluster) remove(e *entry) {
	c.t.Helper()
	if err := e.kernel.Stop(context.Background()); err != nil {
		c.t.Error(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, e.id)
}

// kill ends an entry whose store handle is down, so that its lasting record remains.
func (c *cluster) kill(e *entry) {
	c.t.Helper()
	if err := e.kernel.Stop(context.Background()); !errors.Is(err, store.ErrUnavailable) {
		c.t.Errorf("end %s: %v, want %v", e.id, err, store.ErrUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, e.id)
}

// all returns the running entries in the order of their start.
func (c *cluster) all() []*entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*entry
	for i := range c.started {
		if e := c.entries[unit.EntryID("e"+strconv.Itoa(i+1))]; e != nil {
			all = append(all, e)
		}
	}
	return all
}

// stop clears all faults and stops all entries.
func (c *cluster) stop() {
	c.t.Helper()
	for _, e := range c.all() {
		e.handle.SetFault(nil)
		if err := e.kernel.Stop(context.Background()); err != nil {
			c.t.Error(err)
		}
	}
	time.Sleep(4 * time.Second) // until delayed messages have arrived
}

func (e *entry) setIsolated(isolated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isolated = isolated
}

func (e *entry) setPartition(partition int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partition = partition
}

func (e *entry) currentPartition() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.partition
}

func (e *entry) isIsolated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isolated
}

// memoryPeers is the in-memory peer service of an entry.
type memoryPeers struct{ *entry }

func (p memoryPeers) Name() registry.Name { return "peers" }

func (p memoryPeers) Start(context.Context, *registry.Kernel) error {
	var ctx context.Context
	ctx, p.entry.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(p.done)
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				p.heartbeats()
			}
		}
	}()
	return nil
}

func (p memoryPeers) Stop(context.Context) error { p.entry.cancel(); return nil }
func (p memoryPeers) Done() <-chan struct{}      { return p.done }

func (p memoryPeers) heartbeats() {
	for _, other := range p.members.View().Entries {
		peer, err := p.connect(other.ID)
		if other.ID == p.id || err != nil {
			continue
		}
		peer.mu.Lock()
		heartbeat := peer.heartbeat
		peer.mu.Unlock()
		p.entry.mu.Lock()
		observe := p.entry.observe
		p.entry.mu.Unlock()
		if heartbeat != nil && observe != nil {
			observe(other.ID, time.Now(), heartbeat(p.id))
		}
	}
}

func (p memoryPeers) connect(to unit.EntryID) (*entry, error) {
	p.cluster.mu.Lock()
	peer := p.cluster.entries[to]
	p.cluster.mu.Unlock()
	if peer == nil || peer.isIsolated() || p.isIsolated() || peer.currentPartition() != p.currentPartition() {
		return nil, errors.Errorf("%s is unreachable", to)
	}
	return peer, nil
}

func (p memoryPeers) Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error) {
	peer, err := p.connect(to)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond) // one round trip
	if p.entry.drawDelay() {
		go func() { // the message arrives long after the call has timed out
			time.Sleep(3 * time.Second)
			peer.deliver(context.Background(), p.id, m)
		}()
		<-ctx.Done()
		return nil, errors.Errorf("call %s: %w", to, ctx.Err())
	}
	return peer.deliver(ctx, p.id, m)
}

func (e *entry) deliver(ctx context.Context, from unit.EntryID, m message.Message) (message.Message, error) {
	e.mu.Lock()
	handler := e.handlers[m.Kind()]
	e.mu.Unlock()
	if handler == nil {
		return nil, errors.New("no handler")
	}
	return handler(ctx, from, m)
}

// drawDelay draws whether the next message is delayed.
func (e *entry) drawDelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delays != nil && e.delays.IntN(4) == 0
}

func (e *entry) setDelaySeed(seed uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delays = rand.New(rand.NewPCG(seed, 2))
}

func (p memoryPeers) Handle(k message.Kind, handler message.Handler) {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.handlers[k] = handler
}

func (p memoryPeers) SetHeartbeatFuncs(heartbeat func(unit.EntryID) message.Heartbeat, observe func(unit.EntryID, time.Time, message.Heartbeat)) {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.entry.heartbeat, p.entry.observe = heartbeat, observe
}

// zones returns a document with the named zones.
func zones(names ...string) spec.Document {
	d := spec.Document{Classes: []spec.Class{}}
	for _, n := range names {
		d.Zones = append(d.Zones, spec.Zone{Name: unit.ZoneID(n)})
	}
	return d
}

// apply applies a change and waits for at most the given time.
func (e *entry) apply(base unit.Revision, operation string, d spec.Document, wait time.Duration) (change.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return e.Apply(ctx, change.Change{Base: base, Author: "meera", Operation: unit.OperationID(operation), Document: d})
}

func storeDown(string, store.Key) memory.Fault { return memory.FaultUnavailable }

// loseAnswers loses the answers to calls of a method for keys with a prefix.
func loseAnswers(method string, prefix store.Key) func(string, store.Key) memory.Fault {
	return func(m string, key store.Key) memory.Fault {
		if m == method && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			return memory.FaultReplyLost
		}
		return memory.FaultNone
	}
}

// drawFaults draws a fault for each call, with the given probabilities.
func drawFaults(seed uint64, down, lost float64) func(string, store.Key) memory.Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func(string, store.Key) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch x := random.Float64(); {
		case x < down:
			return memory.FaultUnavailable
		case x < down+lost:
			return memory.FaultReplyLost
		}
		return memory.FaultNone
	}
}
