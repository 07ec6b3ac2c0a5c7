package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// workerItem is the item of a worker in the tests of the instance list.
type workerItem struct {
	Sequence    int                   `json:"seq"` // of the heartbeats
	Draining    bool                  `json:"draining,omitempty"`
	Incarnation scheduler.Incarnation `json:"born"`
	Address     string                `json:"addr"`
	Labels      []string              `json:"labels"`
}

// itemFleet decodes items of workers.
type itemFleet struct{ *scriptedFleet }

func (itemFleet) Prefix() kv.Key { return "workers/" }

func (itemFleet) Worker(k kv.Key) unit.InstanceID {
	return unit.InstanceID(strings.TrimPrefix(string(k), "workers/"))
}

func (f itemFleet) Listing(i kv.Item) (scheduler.Listing, error) {
	var w workerItem
	if err := json.Unmarshal(i.Value, &w); err != nil {
		return scheduler.Listing{}, errors.Errorf("decode worker: %w", err)
	}
	return scheduler.Listing{ID: f.Worker(i.Key), Address: w.Address, Labels: w.Labels, Draining: w.Draining, Incarnation: w.Incarnation}, nil
}

// eventLog is a store with the items of workers.
type eventLog struct {
	coalesces bool // a read of changes shows only the last event of each key

	mu        sync.Mutex
	calls     int
	revision  unit.Revision
	compacted unit.Revision // the history up to it is gone
	events    []kv.Item
	items     map[kv.Key]kv.Item
}

func newEventLog() *eventLog { return &eventLog{items: map[kv.Key]kv.Item{}} }

// put writes the item of a worker, or removes it if the value is nil.
func (l *eventLog) put(id unit.InstanceID, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	key := kv.Key("workers/") + kv.Key(id)
	item := kv.Item{Key: key, Value: value, Revision: l.revision, Deleted: value == nil}
	l.items[key] = item
	if item.Deleted {
		delete(l.items, key)
	}
	l.events = append(l.events, item)
}

// compact forgets the history.
func (l *eventLog) compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.compacted, l.events = l.revision, nil
}

// lastEvents returns the last event of each key.
func lastEvents(events []kv.Item) []kv.Item {
	last := map[kv.Key]unit.Revision{}
	for _, e := range events {
		last[e.Key] = e.Revision
	}
	return slices.DeleteFunc(events, func(e kv.Item) bool { return e.Revision != last[e.Key] })
}

// callCount returns the number of calls.
func (l *eventLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// listPageItems is the number of items on a page of a list.
const listPageItems = 100

// Do implements kv.Doer.
func (l *eventLog) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	answer := kv.Response{Revision: l.revision}
	if r.Op == kv.OpWatch {
		if r.Since < l.compacted {
			return kv.Response{}, kv.ErrCompacted
		}
		i, _ := slices.BinarySearchFunc(l.events, r.Since+1, func(e kv.Item, after unit.Revision) int { return cmp.Compare(e.Revision, after) })
		answer.Items = slices.Clone(l.events[i:])
		if l.coalesces {
			answer.Items = lastEvents(answer.Items)
		}
		return answer, nil
	}
	for _, key := range slices.Sorted(maps.Keys(l.items)) {
		if key > r.After && len(answer.Items) < listPageItems {
			answer.Items = append(answer.Items, l.items[key])
		}
	}
	answer.More = len(answer.Items) == listPageItems
	return answer, nil
}

// changingOwnership is an ownership with other entries that come and leave.
type changingOwnership struct {
	confirmedOwnership
	mu      sync.Mutex
	entries []unit.EntryID
}

func (o *changingOwnership) StartRelays() []unit.EntryID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries
}

func (o *changingOwnership) set(entries ...unit.EntryID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = entries
}

// listOwner is an owner that only reads the instance list.
type listOwner struct {
	shard   *shard
	source  *listSource
	link    *sharedLink
	network *linkedNetwork
	log     *eventLog
	self    *testEntry
}

// startListOwner starts the reads of an owner on the given network. The other entries are
// registered, whether or not they have been started.
func startListOwner(ctx context.Context, network *linkedNetwork, link unit.BitRate, log *eventLog, entries ...unit.EntryID) (*listOwner, error) {
	o := &listOwner{link: network.link, network: network, log: log}
	var err error
	if o.self, err = startEntry(ctx, "self", o.network, log); err != nil {
		return nil, err
	}
	s := New(logr.Discard(), itemFleet{}, nil, Options{Link: link})
	s.ownership, s.outage = &changingOwnership{entries: entries}, fixedOutage(false)
	s.store, s.follower = kv.Client{Doer: linkedStore{log, o.link}}, o.self.follower
	o.shard = newShard(ctx, s, ownership.Term{Epoch: 1})
	items, revision, err := kv.Client{Doer: log}.List(ctx, "workers/")
	if err != nil {
		return nil, err
	}
	r := o.shard.newWorkerReader()
	handler := &listingsHandler{shard: o.shard}
	handler.set(items, true)
	r.handler, o.source = handler, r.source
	o.shard.workersConfirmed.record(time.Now())
	r.start(revision)
	return o, nil
}

func (o *listOwner) stop() {
	o.shard.cancel()
	o.shard.goroutines.Wait()
	o.self.stop()
}

// listings returns the view of the owner.
func (o *listOwner) listings() map[unit.InstanceID]scheduler.Listing {
	o.shard.mu.Lock()
	defer o.shard.mu.Unlock()
	return maps.Clone(o.shard.listings)
}

// listingsHandler applies the instance list to the listings of a shard without a core.
type listingsHandler struct {
	shard  *shard
	listed []kv.Item
}

func (h *listingsHandler) applyChanges(events []kv.Item, _ unit.Revision, _ time.Time) {
	h.set(events, false)
}

func (h *listingsHandler) applyPage(p listPage) {
	if p.first {
		h.listed = nil
	}
	h.listed = append(h.listed, p.items...)
	if p.last {
		h.set(h.listed, true)
	}
}

func (h *listingsHandler) set(items []kv.Item, all bool) {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if all {
		clear(h.shard.listings)
	}
	for _, item := range items {
		h.shard.applyListing(item)
	}
}

// beatingWorkers writes their items to a store.
type beatingWorkers struct {
	log     *eventLog
	mu      sync.Mutex
	workers []*workerItem // nil: gone
}

// set changes a worker and writes its item.
func (b *beatingWorkers) set(i int, change func(*workerItem)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b.workers[i])
	b.write(i)
}

// add adds a worker.
func (b *beatingWorkers) add(incarnation scheduler.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers = append(b.workers, &workerItem{
		Incarnation: incarnation, Address: fmt.Sprintf("10.0.%d.7:9000", len(b.workers)),
		Labels: []string{"rack", "r1-2", strings.Repeat("capacity,", 12)},
	})
	b.write(len(b.workers) - 1)
}

// remove removes a worker.
func (b *beatingWorkers) remove(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers[i] = nil
	b.log.put(workerName(i), nil)
}

func (b *beatingWorkers) write(i int) {
	b.workers[i].Sequence++
	value, err := json.Marshal(b.workers[i])
	if err != nil {
		panic(err)
	}
	b.log.put(workerName(i), value)
}

func workerName(i int) unit.InstanceID { return unit.InstanceID(fmt.Sprintf("w%04d", i)) }

// run writes each item again each workerWriteInterval.
func (b *beatingWorkers) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		b.mu.Lock()
		n := len(b.workers)
		if b.workers[i%n] != nil {
			b.write(i % n)
		}
		b.mu.Unlock()
		time.Sleep(workerWriteInterval / time.Duration(n))
	}
}

// decodeAll returns the listings of a store.
func decodeAll(t *testing.T, log *eventLog) map[unit.InstanceID]scheduler.Listing {
	t.Helper()
	items, _, err := kv.Client{Doer: log}.List(t.Context(), "workers/")
	if err != nil {
		t.Fatal(err)
	}
	listings := map[unit.InstanceID]scheduler.Listing{}
	for _, item := range items {
		if l, err := (itemFleet{}).Listing(item); err == nil {
			listings[l.ID] = l
		}
	}
	return listings
}
