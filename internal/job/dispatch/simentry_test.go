package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// simEntry is an entry with the parts of the shell that matter to the cores.
type simEntry struct {
	sim     *sim
	number  int
	zone    unit.ZoneID
	ppm     int64
	life    int
	paused  bool
	backlog []func()

	id        unit.EntryID
	session   store.LeaseID
	renewed   time.Time // send time of the last answered renewal of session
	renewing  bool
	lastRenew time.Time
	confirmed time.Time
	document  *spec.Document
	lastLook  time.Time
	view      shard.View
	seen      unit.Revision // job records up to here were passed on
	since     map[unit.ShardID]time.Time
	ranked    map[unit.ShardID]string
	used      map[unit.ShardID]unit.Epoch // for which a core was made
	hosts     map[unit.ShardID]*simHost
	former    []*simHost // lost their shard
}

// simHost is a core and what the shell knows about its shard.
type simHost struct {
	entry   *simEntry
	id      unit.ShardID
	core    *Core
	epoch   unit.Epoch
	session store.LeaseID
	held    shard.StoredRecord
	ended   bool

	listed   int // version of the list of workers that the core has
	document *spec.Document
}

func (e *simEntry) link(to string) string { return fmt.Sprint(e.number, "/", to) }

// clock returns the entry's monotonic clock.
func (e *simEntry) clock() time.Time {
	d := int64(e.sim.now)
	return time.Unix(int64(1e6*(e.number+1)), 0).Add(time.Duration(d + d/1e6*e.ppm))
}

func (e *simEntry) boot() {
	e.life++
	e.id = unit.EntryID(fmt.Sprintf("e%d.%d", e.number, e.life))
	e.paused, e.backlog, e.session, e.renewing = false, nil, "", false
	e.renewed, e.lastRenew, e.confirmed, e.lastLook = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	e.document, e.seen, e.former, e.view = nil, 0, nil, shard.View{}
	e.since, e.ranked = map[unit.ShardID]time.Time{}, map[unit.ShardID]string{}
	e.used, e.hosts = map[unit.ShardID]unit.Epoch{}, map[unit.ShardID]*simHost{}
	e.ticking(e.life)
}

func (e *simEntry) ticking(life int) {
	if e.life != life {
		return
	}
	if !e.paused {
		e.tick()
	}
	e.sim.after(e.sim.tick, func() { e.ticking(life) })
}

// bound returns f as it runs within the present life of the entry: not at all
// after its end, and after the pause if it is paused.
func (e *simEntry) bound(f func(any, Fault)) func(any, Fault) {
	life := e.life
	return func(v any, fault Fault) {
		run := func() {
			if e.life == life {
				f(v, fault)
			}
		}
		if e.paused {
			e.backlog = append(e.backlog, run)
			return
		}
		run()
	}
}

func (e *simEntry) resume() {
	e.paused = false
	backlog := e.backlog
	e.backlog = nil
	// The goroutines of a resumed process go on in any order.
	e.sim.rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, run := range backlog {
		run()
	}
}

func (e *simEntry) tick() {
	now := e.clock()
	if !e.renewing && now.Sub(e.lastRenew) >= 2*time.Second {
		e.renewing, e.lastRenew = true, now
		e.register(now)
	}
	if now.Sub(e.lastLook) >= time.Second {
		e.lastLook = now
		e.look(now)
	}
	for _, h := range e.all() {
		h.step(Tick{})
	}
}

func (e *simEntry) all() []*simHost {
	var all []*simHost
	for _, zone := range simZones {
		if h := e.hosts[unit.ShardID{Zone: zone}]; h != nil {
			all = append(all, h)
		}
	}
	return append(all, e.former...)
}

// register renews the registration, or makes a new one if it has ended.
func (e *simEntry) register(sent time.Time) {
	st, session := &e.sim.store, e.session
	e.sim.call(e, "store", func() any {
		st.expire(e.sim.now)
		if st.down {
			return FaultNoEffect
		}
		if session != "" {
			if _, ok := st.leases[session]; !ok {
				return FaultConflict
			}
			st.leases[session] = e.sim.now + 6*time.Second
			return session
		}
		st.grants++
		id := store.LeaseID(fmt.Sprint("l", st.grants))
		st.leases[id] = e.sim.now + 6*time.Second
		st.entries[e.id] = simRegistration{id, e.zone}
		st.next()
		return id
	}, func(v any, f Fault) {
		e.renewing = false
		switch v := v.(type) {
		case store.LeaseID:
			e.session, e.renewed = v, sent
		case Fault:
			if v == FaultConflict {
				e.session = ""
			}
		}
	})
}

type simLook struct {
	view     shard.View
	shards   map[unit.ShardID]shard.StoredRecord
	document *spec.Document
	jobs     []JobChanged
	revision unit.Revision
}

// look reads the configuration, the view, the shard records and the jobs.
func (e *simEntry) look(sent time.Time) {
	st, seen := &e.sim.store, e.seen
	e.sim.call(e, "store", func() any {
		st.expire(e.sim.now)
		if st.down {
			return FaultNoEffect
		}
		l := simLook{document: st.document, shards: maps.Clone(st.shards), revision: st.revision}
		l.view.Revision = st.revision
		for _, id := range slices.Sorted(maps.Keys(st.entries)) {
			l.view.Entries = append(l.view.Entries, shard.Entry{ID: id, Zone: st.entries[id].zone})
		}
		for _, j := range st.watch {
			if j.Revision > seen {
				l.jobs = append(l.jobs, j)
			}
		}
		return l
	}, func(v any, _ Fault) {
		l, ok := v.(simLook)
		if !ok || !sent.After(e.confirmed) || l.revision < e.seen {
			return
		}
		e.confirmed, e.document, e.seen = sent, l.document, l.revision
		// The service reads the view on its own, up to a second before the records.
		if last := e.view; len(last.Entries) > 0 && e.sim.chance(0.5) {
			e.view, l.view = l.view, last
		} else {
			e.view = l.view
		}
		for _, j := range l.jobs {
			for _, h := range e.all() {
				h.step(j)
			}
		}
		for _, zone := range simZones {
			e.decide(unit.ShardID{Zone: zone}, l)
		}
	})
}

func (e *simEntry) decide(id unit.ShardID, l simLook) {
	now, held := e.clock(), l.shards[id]
	ranked := fmt.Sprint(shard.Ranking(id, l.view), shard.Claimable(held, l.view))
	if e.ranked[id] != ranked {
		e.ranked[id], e.since[id] = ranked, now
	}
	self := shard.LocalEntry{ID: e.id, Session: e.session, Since: e.since[id]}
	h := e.hosts[id]
	if h != nil && held.Revision < h.held.Revision {
		return // read before the claim was answered
	}
	if h != nil {
		self.Epoch = h.epoch
		if held.Record.Owner == e.id && held.Record.Epoch == h.epoch {
			h.held, h.session = held, held.Record.Session
		}
	}
	step := shard.Decide(id, self, held, l.view, now)
	switch {
	case step == shard.ActionAdopt && e.used[id] != held.Record.Epoch && e.session != "":
		e.host(id, held, false)
	case step == shard.ActionClaim, step == shard.ActionAdopt && e.session != "":
		r := shard.ClaimRecord(self, held)
		e.writeShard(id, held, r, func(rev unit.Revision) {
			if e.hosts[id] == nil {
				e.host(id, shard.StoredRecord{Record: r, Revision: rev}, held.Record.CleanlyReleased())
			}
		})
	case step == shard.ActionRenew && e.session != "":
		e.writeShard(id, held, shard.RenewRecord(self, held), func(unit.Revision) {})
	case step == shard.ActionRelease:
		h.step(ReleaseRequested{})
	case step == shard.ActionLost:
		delete(e.hosts, id)
		e.former = append(e.former, h)
		h.step(OwnershipLost{})
	}
}

func (e *simEntry) host(id unit.ShardID, held shard.StoredRecord, clean bool) {
	h := &simHost{entry: e, id: id, epoch: held.Record.Epoch, session: held.Record.Session, held: held}
	var placer Placer = &firstFit{}
	if e.sim.advise {
		placer = &advised{sim: e.sim}
	}
	h.core = NewCore(Settings{
		Shard: id, Epoch: h.epoch, Placer: placer,
		InheritedExpiry: lease.InheritedExpiry(e.clock(), clean),
	})
	e.used[id], e.hosts[id] = h.epoch, h
	h.step(Tick{})
}

func (e *simEntry) writeShard(id unit.ShardID, held shard.StoredRecord, r shard.Record, written func(unit.Revision)) {
	st := &e.sim.store
	e.sim.call(e, "store", func() any {
		if st.down || st.shards[id].Revision != held.Revision {
			return FaultConflict
		}
		st.shards[id] = shard.StoredRecord{Record: r, Revision: st.next()}
		return st.revision
	}, func(v any, _ Fault) {
		if rev, ok := v.(unit.Revision); ok {
			written(rev)
		}
	})
}

// step gives an event to the core, preceded by what the shell samples.
func (h *simHost) step(event Event) {
	e := h.entry
	if h.ended {
		return
	}
	c := StartConditions{Document: e.document}
	if !e.confirmed.IsZero() {
		c.StartUntil, c.NotAfter = e.confirmed.Add(3*time.Second), e.confirmed.Add(4*time.Second)
	}
	if e.session == h.session && e.session != "" {
		c.ValidUntil = e.renewed.Add(registrationSpan)
	}
	events := []Event{c, event}
	if h.listed != e.sim.listed || h.document != e.document {
		h.listed, h.document = e.sim.listed, e.document
		events = []Event{c, h.fleet(), event}
	}
	for _, ev := range events {
		for _, a := range h.core.Step(e.clock(), ev) {
			h.carryOut(a)
		}
	}
}

// fleet returns the workers of the shard and where its tasks may be moved.
func (h *simHost) fleet() Fleet {
	e, fleet := h.entry, Fleet{ZoneShards: 1}
	for _, w := range e.sim.workers {
		fleet.Largest = fleet.Largest.Include(w.id, simCapacity)
		if w.zone == h.id.Zone {
			fleet.Workers = append(fleet.Workers, ListedWorker{ID: w.id, Capacity: simCapacity, Live: !w.leaving})
		}
	}
	for _, zone := range simZones {
		if e.document != nil && !e.document.ZoneOut(zone) && zone != h.id.Zone {
			fleet.MoveTargets = append(fleet.MoveTargets, unit.ShardID{Zone: zone})
		}
	}
	return fleet
}

// carryOut sends after a moment, in which the process may be paused.
func (h *simHost) carryOut(a Action) {
	if _, ok := a.(RecordEvent); ok {
		return
	}
	run := h.entry.bound(func(any, Fault) { h.send(a) })
	h.entry.sim.after(time.Duration(h.entry.sim.rng.Int64N(2e6)), func() { run(nil, FaultNone) })
}

func (h *simHost) send(a Action) {
	e, s := h.entry, h.entry.sim
	st := &s.store
	toStore := func(serve func() any, answer func(any, Fault)) {
		s.call(e, "store", func() any {
			if st.down {
				return FaultNoEffect
			}
			return serve()
		}, func(v any, f Fault) {
			if fault, ok := v.(Fault); ok {
				v, f = nil, fault
			}
			answer(v, f)
		})
	}
	late := func(deadline time.Time) bool { return !deadline.IsZero() && !e.clock().Before(deadline) }
	switch a := a.(type) {
	case ReadLedger:
		toStore(func() any { return st.ledgers[h.id] }, func(v any, f Fault) {
			r, _ := v.(simRecord)
			h.step(LedgerRead{Value: r.value, Revision: r.revision, Fault: f})
		})
	case WriteLedger:
		toStore(func() any {
			if st.ledgers[h.id].revision != a.Revision {
				return FaultConflict
			}
			st.ledgers[h.id] = simRecord{a.Value, st.next()}
			return st.revision
		}, func(v any, f Fault) {
			rev, _ := v.(unit.Revision)
			h.step(LedgerWritten{Revision: rev, Fault: f})
		})
	case ListJobs:
		toStore(func() any {
			var jobs []JobChanged
			for _, id := range slices.Sorted(maps.Keys(st.jobs)) {
				jobs = append(jobs, st.jobs[id])
			}
			return jobs
		}, func(v any, f Fault) {
			jobs, _ := v.([]JobChanged)
			h.step(JobsListed{Jobs: jobs, Fault: f})
		})
	case ReadJob:
		toStore(func() any { return st.jobs[a.Job] }, func(v any, f Fault) {
			if f != FaultNone {
				h.send(a)
				return
			}
			h.step(v.(JobChanged))
		})
	case WriteJob:
		toStore(func() any {
			if st.jobs[a.Job].Revision != a.Revision {
				return FaultConflict
			}
			st.putJob(a.Record)
			return st.revision
		}, func(v any, f Fault) {
			rev, _ := v.(unit.Revision)
			h.step(JobWritten{Job: a.Job, Revision: rev, Fault: f})
		})
	case SendOrders:
		sent := e.clock()
		if late(a.Deadline) {
			h.step(OrdersSent{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.orders(a) }, func(v any, f Fault) {
			reply, ok := v.(worker.OrderReply)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			h.step(OrdersSent{Worker: a.Worker, Sent: sent, Received: e.clock(), Reply: reply, Fault: f})
		})
	case SendHeartbeat:
		sent := e.clock()
		if late(a.Deadline) {
			h.step(HeartbeatSent{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.heartbeat(a.Heartbeat) }, func(v any, f Fault) {
			report, ok := v.(worker.Report)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			h.step(HeartbeatSent{Worker: a.Worker, Sent: sent, Received: e.clock(), Report: report, Fault: f})
		})
	case ReleaseShard:
		h.end()
		e.writeShard(h.id, h.held, shard.ReleaseRecord(h.held, a.Inherited), func(unit.Revision) {})
	case Shutdown:
		h.end()
	}
}

func (h *simHost) end() {
	h.ended = true
	if h.entry.hosts[h.id] == h {
		delete(h.entry.hosts, h.id)
	}
	h.entry.former = slices.DeleteFunc(h.entry.former, func(o *simHost) bool { return o == h })
}
