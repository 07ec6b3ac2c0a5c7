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

// simEntry models an entry with the parts of Service that the cores depend on.
type simEntry struct {
	sim         *sim
	index       int
	zone        unit.ZoneID
	ppm         int64 // clock drift in parts per million
	incarnation int
	paused      bool
	deferred    []func() // answers that arrived during the pause

	id            unit.EntryID
	session       store.LeaseID
	lastRenewed   time.Time // send time of the last successful renewal of session
	renewing      bool
	renewalSent   time.Time // send time of the last renewal
	confirmed     time.Time // send time of the last successful review
	document      *spec.Document
	lastReview    time.Time
	view          shard.View
	jobsSeen      unit.Revision // job records up to this revision were delivered
	rankedSince   map[unit.ShardID]time.Time
	rankings      map[unit.ShardID]string
	startedEpochs map[unit.ShardID]unit.Epoch // last epoch for which a core was created
	runners       map[unit.ShardID]*simRunner
	formerRunners []*simRunner // lost their shard and only renew leases
}

// simRunner runs a core and holds what runner and Service know about its shard.
type simRunner struct {
	entry        *simEntry
	id           unit.ShardID
	core         *Core
	epoch        unit.Epoch
	session      store.LeaseID
	storedRecord shard.StoredRecord
	ended        bool

	listVersion int // version of the instance list that the core has
	document    *spec.Document
}

func (e *simEntry) link(to string) string { return fmt.Sprint(e.index, "/", to) }

// clock returns the time on the entry's monotonic clock.
func (e *simEntry) clock() time.Time {
	d := int64(e.sim.now)
	return time.Unix(int64(1e6*(e.index+1)), 0).Add(time.Duration(d + d/1e6*e.ppm))
}

// boot starts a new incarnation of the entry, which knows nothing of earlier ones.
func (e *simEntry) boot() {
	e.incarnation++
	e.id = unit.EntryID(fmt.Sprintf("e%d.%d", e.index, e.incarnation))
	e.paused, e.deferred, e.session, e.renewing = false, nil, "", false
	e.lastRenewed, e.renewalSent, e.confirmed, e.lastReview = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	e.document, e.jobsSeen, e.formerRunners, e.view = nil, 0, nil, shard.View{}
	e.rankedSince, e.rankings = map[unit.ShardID]time.Time{}, map[unit.ShardID]string{}
	e.startedEpochs, e.runners = map[unit.ShardID]unit.Epoch{}, map[unit.ShardID]*simRunner{}
	e.scheduleTicks(e.incarnation)
}

func (e *simEntry) scheduleTicks(incarnation int) {
	if e.incarnation != incarnation {
		return
	}
	if !e.paused {
		e.tick()
	}
	e.sim.schedule(e.sim.tick, func() { e.scheduleTicks(incarnation) })
}

// bind returns a function that calls f only in the present incarnation of the
// entry, and after the pause if the entry is paused.
func (e *simEntry) bind(f func(any, Fault)) func(any, Fault) {
	incarnation := e.incarnation
	return func(v any, fault Fault) {
		run := func() {
			if e.incarnation == incarnation {
				f(v, fault)
			}
		}
		if e.paused {
			e.deferred = append(e.deferred, run)
			return
		}
		run()
	}
}

func (e *simEntry) resume() {
	e.paused = false
	deferred := e.deferred
	e.deferred = nil
	// The goroutines of a resumed process continue in any order.
	e.sim.rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, run := range deferred {
		run()
	}
}

func (e *simEntry) tick() {
	now := e.clock()
	if !e.renewing && now.Sub(e.renewalSent) >= 2*time.Second {
		e.renewing, e.renewalSent = true, now
		e.register(now)
	}
	if now.Sub(e.lastReview) >= time.Second {
		e.lastReview = now
		e.reviewShards(now)
	}
	for _, r := range e.allRunners() {
		r.handleEvent(Tick{})
	}
}

func (e *simEntry) allRunners() []*simRunner {
	var all []*simRunner
	for _, zone := range simZones {
		if r := e.runners[unit.ShardID{Zone: zone}]; r != nil {
			all = append(all, r)
		}
	}
	return append(all, e.formerRunners...)
}

// register renews the registration or, if it has ended, creates a new one.
func (e *simEntry) register(sent time.Time) {
	st, session := &e.sim.store, e.session
	e.sim.call(e, "store", func() any {
		st.expireLeases(e.sim.now)
		if st.unavailable {
			return FaultNoEffect
		}
		if session != "" {
			if _, ok := st.leases[session]; !ok {
				return FaultConflict
			}
			st.leases[session] = e.sim.now + 6*time.Second
			return session
		}
		st.leasesGranted++
		id := store.LeaseID(fmt.Sprint("l", st.leasesGranted))
		st.leases[id] = e.sim.now + 6*time.Second
		st.entries[e.id] = simRegistration{id, e.zone}
		st.nextRevision()
		return id
	}, func(v any, f Fault) {
		e.renewing = false
		switch v := v.(type) {
		case store.LeaseID:
			e.session, e.lastRenewed = v, sent
		case Fault:
			if v == FaultConflict {
				e.session = ""
			}
		}
	})
}

// simReview is the result of a read for reviewShards.
type simReview struct {
	view     shard.View
	shards   map[unit.ShardID]shard.StoredRecord
	document *spec.Document
	jobs     []JobChanged
	revision unit.Revision
}

// reviewShards reads the configuration, the view, the shard records and the job
// records, and then decides about each shard.
func (e *simEntry) reviewShards(sent time.Time) {
	st, seen := &e.sim.store, e.jobsSeen
	e.sim.call(e, "store", func() any {
		st.expireLeases(e.sim.now)
		if st.unavailable {
			return FaultNoEffect
		}
		review := simReview{document: st.document, shards: maps.Clone(st.shards), revision: st.revision}
		review.view.Revision = st.revision
		for _, id := range slices.Sorted(maps.Keys(st.entries)) {
			review.view.Entries = append(review.view.Entries, shard.Entry{ID: id, Zone: st.entries[id].zone})
		}
		for _, j := range st.jobWrites {
			if j.Revision > seen {
				review.jobs = append(review.jobs, j)
			}
		}
		return review
	}, func(v any, _ Fault) {
		review, ok := v.(simReview)
		if !ok || !sent.After(e.confirmed) || review.revision < e.jobsSeen {
			return
		}
		e.confirmed, e.document, e.jobsSeen = sent, review.document, review.revision
		// The service reads the view separately, up to a second before the
		// records.
		if last := e.view; len(last.Entries) > 0 && e.sim.chance(0.5) {
			e.view, review.view = review.view, last
		} else {
			e.view = review.view
		}
		for _, j := range review.jobs {
			for _, r := range e.allRunners() {
				r.handleEvent(j)
			}
		}
		for _, zone := range simZones {
			e.reviewShard(unit.ShardID{Zone: zone}, review)
		}
	})
}

func (e *simEntry) reviewShard(id unit.ShardID, review simReview) {
	now, stored := e.clock(), review.shards[id]
	ranking := fmt.Sprint(shard.Ranking(id, review.view), shard.Claimable(stored, review.view))
	if e.rankings[id] != ranking {
		e.rankings[id], e.rankedSince[id] = ranking, now
	}
	self := shard.LocalEntry{ID: e.id, Session: e.session, Since: e.rankedSince[id]}
	r := e.runners[id]
	if r != nil && stored.Revision < r.storedRecord.Revision {
		return // the records were read before the claim was answered
	}
	if r != nil {
		self.Epoch = r.epoch
		if stored.Record.Owner == e.id && stored.Record.Epoch == r.epoch {
			r.storedRecord, r.session = stored, stored.Record.Session
		}
	}
	action := shard.Decide(id, self, stored, review.view, now)
	switch {
	case action == shard.ActionAdopt && e.startedEpochs[id] != stored.Record.Epoch && e.session != "":
		e.startRunner(id, stored, false)
	case action == shard.ActionClaim, action == shard.ActionAdopt && e.session != "":
		claim := shard.ClaimRecord(self, stored)
		e.writeShard(id, stored, claim, func(rev unit.Revision) {
			if e.runners[id] == nil {
				e.startRunner(id, shard.StoredRecord{Record: claim, Revision: rev}, stored.Record.CleanlyReleased())
			}
		})
	case action == shard.ActionRenew && e.session != "":
		e.writeShard(id, stored, shard.RenewRecord(self, stored), func(unit.Revision) {})
	case action == shard.ActionRelease:
		r.handleEvent(ReleaseRequested{})
	case action == shard.ActionLost:
		delete(e.runners, id)
		e.formerRunners = append(e.formerRunners, r)
		r.handleEvent(OwnershipLost{})
	}
}

func (e *simEntry) startRunner(id unit.ShardID, stored shard.StoredRecord, clean bool) {
	r := &simRunner{entry: e, id: id, epoch: stored.Record.Epoch, session: stored.Record.Session, storedRecord: stored}
	var placer Placer = &firstFit{}
	if e.sim.withPolicy {
		placer = &policyPlacer{sim: e.sim}
	}
	r.core = NewCore(Settings{
		Shard: id, Epoch: r.epoch, Placer: placer,
		InheritedExpiry: lease.InheritedExpiry(e.clock(), clean),
	})
	e.startedEpochs[id], e.runners[id] = r.epoch, r
	r.handleEvent(Tick{})
}

func (e *simEntry) writeShard(id unit.ShardID, stored shard.StoredRecord, r shard.Record, written func(unit.Revision)) {
	st := &e.sim.store
	e.sim.call(e, "store", func() any {
		if st.unavailable || st.shards[id].Revision != stored.Revision {
			return FaultConflict
		}
		st.shards[id] = shard.StoredRecord{Record: r, Revision: st.nextRevision()}
		return st.revision
	}, func(v any, _ Fault) {
		if rev, ok := v.(unit.Revision); ok {
			written(rev)
		}
	})
}

// handleEvent passes the sampled inputs and an event to the core.
func (r *simRunner) handleEvent(event Event) {
	e := r.entry
	if r.ended {
		return
	}
	c := StartConditions{Document: e.document}
	if !e.confirmed.IsZero() {
		c.StartUntil, c.NotAfter = e.confirmed.Add(3*time.Second), e.confirmed.Add(4*time.Second)
	}
	if e.session == r.session && e.session != "" {
		c.ValidUntil = e.lastRenewed.Add(registrationValidity)
	}
	events := []Event{c, event}
	if r.listVersion != e.sim.listVersion || r.document != e.document {
		r.listVersion, r.document = e.sim.listVersion, e.document
		events = []Event{c, r.fleet(), event}
	}
	for _, ev := range events {
		for _, a := range r.core.Step(e.clock(), ev) {
			r.execute(a)
		}
	}
}

// fleet returns the workers of the shard and the shards to which its tasks may be
// moved.
func (r *simRunner) fleet() Fleet {
	e, fleet := r.entry, Fleet{ZoneShards: 1}
	for _, w := range e.sim.workers {
		fleet.Largest = fleet.Largest.Include(w.id, simCapacity)
		if w.zone == r.id.Zone {
			fleet.Workers = append(fleet.Workers, ListedWorker{ID: w.id, Capacity: simCapacity, Live: !w.leaving})
		}
	}
	for _, zone := range simZones {
		if e.document != nil && !e.document.ZoneOut(zone) && zone != r.id.Zone {
			fleet.MoveTargets = append(fleet.MoveTargets, unit.ShardID{Zone: zone})
		}
	}
	return fleet
}

// execute executes an action after a short delay, during which the process may be
// paused.
func (r *simRunner) execute(a Action) {
	if _, ok := a.(RecordEvent); ok {
		return
	}
	run := r.entry.bind(func(any, Fault) { r.send(a) })
	r.entry.sim.schedule(time.Duration(r.entry.sim.rng.Int64N(2e6)), func() { run(nil, FaultNone) })
}

// send makes the call of an action and passes the answer to the core.
func (r *simRunner) send(a Action) {
	e, s := r.entry, r.entry.sim
	st := &s.store
	toStore := func(serve func() any, answer func(any, Fault)) {
		s.call(e, "store", func() any {
			if st.unavailable {
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
		toStore(func() any { return st.ledgers[r.id] }, func(v any, f Fault) {
			stored, _ := v.(simRecord)
			r.handleEvent(LedgerRead{Value: stored.value, Revision: stored.revision, Fault: f})
		})
	case WriteLedger:
		toStore(func() any {
			if st.ledgers[r.id].revision != a.Revision {
				return FaultConflict
			}
			st.ledgers[r.id] = simRecord{a.Value, st.nextRevision()}
			return st.revision
		}, func(v any, f Fault) {
			rev, _ := v.(unit.Revision)
			r.handleEvent(LedgerWritten{Revision: rev, Fault: f})
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
			r.handleEvent(JobsListed{Jobs: jobs, Fault: f})
		})
	case ReadJob:
		toStore(func() any { return st.jobs[a.Job] }, func(v any, f Fault) {
			if f != FaultNone {
				r.send(a)
				return
			}
			r.handleEvent(v.(JobChanged))
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
			r.handleEvent(JobWritten{Job: a.Job, Revision: rev, Fault: f})
		})
	case SendOrders:
		sent := e.clock()
		if late(a.Deadline) {
			r.handleEvent(OrdersSent{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.handleOrders(a) }, func(v any, f Fault) {
			reply, ok := v.(worker.OrderReply)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			r.handleEvent(OrdersSent{Worker: a.Worker, Sent: sent, Received: e.clock(), Reply: reply, Fault: f})
		})
	case SendHeartbeat:
		sent := e.clock()
		if late(a.Deadline) {
			r.handleEvent(HeartbeatSent{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.handleHeartbeat(a.Heartbeat) }, func(v any, f Fault) {
			report, ok := v.(worker.Report)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			r.handleEvent(HeartbeatSent{Worker: a.Worker, Sent: sent, Received: e.clock(), Report: report, Fault: f})
		})
	case ReleaseShard:
		r.end()
		e.writeShard(r.id, r.storedRecord, shard.ReleaseRecord(r.storedRecord, a.Inherited), func(unit.Revision) {})
	case Shutdown:
		r.end()
	}
}

func (r *simRunner) end() {
	r.ended = true
	if r.entry.runners[r.id] == r {
		delete(r.entry.runners, r.id)
	}
	r.entry.formerRunners = slices.DeleteFunc(r.entry.formerRunners, func(o *simRunner) bool { return o == r })
}
