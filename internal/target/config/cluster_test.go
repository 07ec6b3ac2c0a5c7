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

// cluster is a set of entries with real membership and configuration, over a
// store and peer connections in memory. It runs on the clock of synctest.
type cluster struct {
	t       *testing.T
	records *memory.Records
	started int

	mu      sync.Mutex
	entries map[unit.EntryID]*entry
}

type entry struct {
	*Service
	id      unit.EntryID
	cluster *cluster
	handle  *memory.Handle
	members *membership.Service
	kernel  *registry.Kernel
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	cut      bool // from all peers
	side     int  // of a partition; entries reach only those on their own side
	delays   *rand.Rand
	handlers map[message.Kind]message.Handler
	beats    func(to unit.EntryID) message.Heartbeat
	heard    func(from unit.EntryID, sent time.Time, answer message.Heartbeat)
}

func newCluster(t *testing.T, entries int) *cluster {
	c := &cluster{t: t, records: memory.NewRecords(), entries: map[unit.EntryID]*entry{}}
	for range entries {
		c.start(nil)
	}
	return c
}

// start starts one more entry; prepare may set faults of its store handle.
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
	for _, s := range []registry.Service{e.handle, journal.NewService(time.Now()), e.members, fabric{e}, e.Service} {
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

// kill ends an entry whose store handle is down, so that its lasting record stays.
func (c *cluster) kill(e *entry) {
	c.t.Helper()
	if err := e.kernel.Stop(context.Background()); !errors.Is(err, store.ErrUnavailable) {
		c.t.Errorf("end %s: %v, want %v", e.id, err, store.ErrUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, e.id)
}

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

func (c *cluster) stop() {
	c.t.Helper()
	for _, e := range c.all() {
		e.handle.SetFault(nil)
		if err := e.kernel.Stop(context.Background()); err != nil {
			c.t.Error(err)
		}
	}
	time.Sleep(4 * time.Second) // for messages that are still on their way
}

func (e *entry) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

func (e *entry) setSide(side int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.side = side
}

func (e *entry) sideOf() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.side
}

func (e *entry) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// fabric is the peer service of an entry in memory.
type fabric struct{ *entry }

func (f fabric) Name() registry.Name { return "peers" }

func (f fabric) Start(context.Context, *registry.Kernel) error {
	var ctx context.Context
	ctx, f.entry.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(f.done)
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				f.heartbeats()
			}
		}
	}()
	return nil
}

func (f fabric) Stop(context.Context) error { f.entry.cancel(); return nil }
func (f fabric) Done() <-chan struct{}      { return f.done }

func (f fabric) heartbeats() {
	for _, p := range f.members.View().Entries {
		peer, err := f.reach(p.ID)
		if p.ID == f.id || err != nil {
			continue
		}
		peer.mu.Lock()
		beats := peer.beats
		peer.mu.Unlock()
		f.entry.mu.Lock()
		heard := f.entry.heard
		f.entry.mu.Unlock()
		if beats != nil && heard != nil {
			heard(p.ID, time.Now(), beats(f.id))
		}
	}
}

func (f fabric) reach(to unit.EntryID) (*entry, error) {
	f.cluster.mu.Lock()
	peer := f.cluster.entries[to]
	f.cluster.mu.Unlock()
	if peer == nil || peer.isCut() || f.isCut() || peer.sideOf() != f.sideOf() {
		return nil, errors.Errorf("%s is out of reach", to)
	}
	return peer, nil
}

func (f fabric) Call(ctx context.Context, to unit.EntryID, m message.Message) (message.Message, error) {
	peer, err := f.reach(to)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond) // a round trip
	if f.entry.late() {
		go func() { // the message arrives long after its sender has given up
			time.Sleep(3 * time.Second)
			peer.deliver(context.Background(), f.id, m)
		}()
		<-ctx.Done()
		return nil, errors.Errorf("call %s: %w", to, ctx.Err())
	}
	return peer.deliver(ctx, f.id, m)
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

// late draws whether the next message is delayed.
func (e *entry) late() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delays != nil && e.delays.IntN(4) == 0
}

func (e *entry) setDelays(seed uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delays = rand.New(rand.NewPCG(seed, 2))
}

func (f fabric) Handle(k message.Kind, handler message.Handler) {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	f.handlers[k] = handler
}

func (f fabric) SetHeartbeatFuncs(beats func(unit.EntryID) message.Heartbeat, heard func(unit.EntryID, time.Time, message.Heartbeat)) {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	f.entry.beats, f.entry.heard = beats, heard
}

func zones(names ...string) spec.Document {
	d := spec.Document{Classes: []spec.Class{}}
	for _, n := range names {
		d.Zones = append(d.Zones, spec.Zone{Name: unit.ZoneID(n)})
	}
	return d
}

// apply makes a change with a new operation id and a bounded wait.
func (e *entry) apply(base unit.Revision, operation string, d spec.Document, wait time.Duration) (change.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return e.Apply(ctx, change.Change{Base: base, Author: "meera", Operation: unit.OperationID(operation), Document: d})
}

func down(string, store.Key) memory.Fault { return memory.FaultDown }

// lose loses the answers of the writes of keys under a prefix.
func lose(method string, prefix store.Key) func(string, store.Key) memory.Fault {
	return func(m string, key store.Key) memory.Fault {
		if m == method && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			return memory.FaultLost
		}
		return memory.FaultNone
	}
}

// flaky draws a fault for each call.
func flaky(seed uint64, downs, losses float64) func(string, store.Key) memory.Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func(string, store.Key) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch x := random.Float64(); {
		case x < downs:
			return memory.FaultDown
		case x < downs+losses:
			return memory.FaultLost
		}
		return memory.FaultNone
	}
}
