package dispatch

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// firstFit is a placer that takes the first worker by id with room.
type firstFit struct {
	order   []unit.InstanceID
	workers map[unit.InstanceID]*fitted
}

type fitted struct {
	capacity unit.Resources
	open     bool
	tasks    map[worker.Ref]unit.Resources
}

// advised is a placer that gives tasks other sizes than the declared ones, which
// change with time, and at times admits no batch task.
type advised struct {
	firstFit
	sim *sim
}

func (a *advised) Describe(*queue.Job) {}

func (a *advised) Admit(j *queue.Job) (why string, ok bool) {
	return "closed", j.Class != "batch" || a.sim.now/(5*time.Second)%4 != 0
}

func (a *advised) Size(j *queue.Job) unit.Resources {
	size := j.Size
	size.Cores = min(size.Cores*unit.Millicores(1+a.sim.now/(7*time.Second)%4)/2, max(simCapacity.Cores, size.Cores))
	return size
}

func (a *advised) Refusal(*queue.Job) (why string, nearest unit.InstanceID) { return "no room", "" }

func (f *firstFit) free(id unit.InstanceID) unit.Resources {
	free := f.workers[id].capacity
	for _, size := range f.workers[id].tasks {
		free = free.Sub(size)
	}
	return free
}

func (f *firstFit) Place(_ unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	for _, id := range f.order {
		if f.workers[id].open && size.Fits(f.free(id)) {
			return id, true
		}
	}
	return "", false
}

func (f *firstFit) Reserve(id unit.InstanceID, ref worker.Ref, _ unit.ClassID, size unit.Resources) bool {
	if f.workers[id] == nil || !size.Fits(f.free(id)) {
		return false
	}
	f.workers[id].tasks[ref] = size
	return true
}

func (f *firstFit) Release(id unit.InstanceID, ref worker.Ref) {
	if w := f.workers[id]; w != nil {
		delete(w.tasks, ref)
	}
}

func (f *firstFit) Upsert(id unit.InstanceID, _ unit.RackID, capacity unit.Resources, open bool) {
	if f.workers == nil {
		f.workers = map[unit.InstanceID]*fitted{}
	}
	w := f.workers[id]
	if w == nil {
		w = &fitted{tasks: map[worker.Ref]unit.Resources{}}
		f.workers[id] = w
		f.order = append(f.order, id)
		slices.Sort(f.order)
	}
	w.capacity, w.open = capacity, open
}

func (f *firstFit) Remove(id unit.InstanceID) {
	delete(f.workers, id)
	f.order = slices.DeleteFunc(f.order, func(o unit.InstanceID) bool { return o == id })
}

// happening is something that takes place at a point of true time.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simTimeout is how long an entry waits for an answer.
const simTimeout = 2 * time.Second

// simTick is the time between two ticks of an entry.
const simTick = 250 * time.Millisecond

var simZones = []unit.ZoneID{"z1", "z2", "z3"}

var simCapacity = unit.Resources{Cores: 4000, Memory: 4000}

// sim is a model of the store, the workers and the entries around real cores.
// Faults of the network are drawn from a generator with a drawn seed.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	advise  bool          // the placers advise
	now     time.Duration // true time
	seq     int
	agenda  agenda
	store   simStore
	entries []*simEntry
	workers []*simWorker
	cut     map[string]bool // broken links, entry/destination
	drop    float64         // of messages
	slow    float64
	double  float64
	tasks   map[unit.TaskID]*simTask
	jobs    int
	starts  int
	broken  string // first violation
}

// simTask is the history of a task as a check of the invariants needs it.
type simTask struct {
	started map[unit.Attempt]bool
	highest unit.Attempt
	acked   unit.Attempt // highest one whose checkpoint the owner of the task has taken over
	done    bool         // and the owner of the task has taken that over
}

func newSim(t *rapid.T, seed uint64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}, tasks: map[unit.TaskID]*simTask{},
		store: simStore{
			leases: map[store.LeaseID]time.Duration{}, entries: map[unit.EntryID]simRegistration{},
			shards: map[unit.ShardID]shard.Held{}, ledgers: map[unit.ShardID]simRecord{},
			jobs: map[unit.JobID]JobChanged{}, out: map[unit.ZoneID]time.Duration{},
		},
	}
	s.store.publish()
	for i, zone := range simZones {
		e := &simEntry{sim: s, number: i, zone: zone, ppm: s.rng.Int64N(800) - 400}
		s.entries = append(s.entries, e)
		e.boot()
		for n := range 2 {
			w := &simWorker{
				sim: s, zone: zone, id: unit.InstanceID(fmt.Sprintf("%s-w%d", zone, n)),
				ppm: s.rng.Int64N(800) - 400,
			}
			w.boot(s.rng.Int64N(1e12))
			s.workers = append(s.workers, w)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.agenda, happening{s.now + d, s.seq, do})
}

// advance lets true time pass.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.agenda) > 0 && s.agenda[0].at <= end {
		h := heap.Pop(&s.agenda).(happening)
		s.now = h.at
		h.do()
		if s.broken != "" {
			s.t.Fatal(s.broken)
		}
	}
	s.now = end
	s.store.expire(s.now)
}

func (s *sim) violate(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) delay() time.Duration {
	if s.chance(s.slow) {
		return time.Duration(s.rng.Int64N(int64(30 * time.Second)))
	}
	return time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
}

// call carries a request from an entry to a destination. The answer comes once,
// with a fault if it is lost, while the request may still arrive later and twice.
func (s *sim) call(e *simEntry, to string, serve func() any, answer func(any, Fault)) {
	answered := false
	deliver := e.bound(func(v any, f Fault) {
		if !answered {
			answered = true
			answer(v, f)
		}
	})
	if s.cut[e.link(to)] {
		if s.chance(0.5) {
			s.after(time.Millisecond, func() { deliver(nil, FaultNoEffect) })
			return
		}
		s.after(simTimeout, func() { deliver(nil, FaultUnknown) })
		return
	}
	copies := 1
	if s.chance(s.double) {
		copies = 2
	}
	for range copies {
		if s.chance(s.drop) {
			continue
		}
		s.after(s.delay(), func() {
			v := serve()
			if !s.chance(s.drop) {
				s.after(s.delay(), func() { deliver(v, FaultNone) })
			}
		})
	}
	s.after(simTimeout, func() { deliver(nil, FaultUnknown) })
}

// simStore is the key-value service, by kind of record.
type simStore struct {
	revision unit.Revision
	down     bool
	grants   int
	leases   map[store.LeaseID]time.Duration // deadlines
	entries  map[unit.EntryID]simRegistration
	shards   map[unit.ShardID]shard.Held
	ledgers  map[unit.ShardID]simRecord
	jobs     map[unit.JobID]JobChanged
	out      map[unit.ZoneID]time.Duration // since when
	document *spec.Document
}

type simRegistration struct {
	lease store.LeaseID
	zone  unit.ZoneID
}

type simRecord struct {
	value    []byte
	revision unit.Revision
}

func (s *simStore) next() unit.Revision {
	s.revision++
	return s.revision
}

func (s *simStore) expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id] > now {
			continue
		}
		delete(s.leases, id)
		for e, r := range s.entries {
			if r.lease == id {
				delete(s.entries, e)
				s.next()
			}
		}
	}
}

// publish makes the target document that says which zones are out.
func (s *simStore) publish() {
	d := &spec.Document{
		Classes: []spec.Class{
			{Name: "batch", Kind: spec.KindBatch},
			{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 1}},
		},
		Teams: []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 20, Memory: 1 << 20}}},
	}
	for _, z := range simZones {
		_, out := s.out[z]
		d.Zones = append(d.Zones, spec.Zone{Name: z, Out: out})
	}
	s.document = d
}

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
	held    shard.Held
	ended   bool
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
	e.document, e.seen, e.former = nil, 0, nil
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
	e.sim.after(simTick, func() { e.ticking(life) })
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
	shards   map[unit.ShardID]shard.Held
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
		for _, id := range slices.Sorted(maps.Keys(st.jobs)) {
			if st.jobs[id].Revision > seen {
				l.jobs = append(l.jobs, st.jobs[id])
			}
		}
		return l
	}, func(v any, _ Fault) {
		l, ok := v.(simLook)
		if !ok || !sent.After(e.confirmed) || l.revision < e.seen {
			return
		}
		e.confirmed, e.document, e.seen = sent, l.document, l.revision
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
	self := shard.Self{ID: e.id, Session: e.session, Since: e.since[id]}
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
	case step == shard.StepAdopt && e.used[id] != held.Record.Epoch && e.session != "":
		e.host(id, held, false)
	case step == shard.StepClaim, step == shard.StepAdopt && e.session != "":
		r := shard.Claim(self, held)
		e.writeShard(id, held, r, func(rev unit.Revision) {
			if e.hosts[id] == nil {
				e.host(id, shard.Held{Record: r, Revision: rev}, held.Record.CleanlyReleased())
			}
		})
	case step == shard.StepRenew && e.session != "":
		e.writeShard(id, held, shard.Renew(self, held), func(unit.Revision) {})
	case step == shard.StepRelease:
		h.step(Release{})
	case step == shard.StepLost:
		delete(e.hosts, id)
		e.former = append(e.former, h)
		h.step(Lost{})
	}
}

func (e *simEntry) host(id unit.ShardID, held shard.Held, clean bool) {
	h := &simHost{entry: e, id: id, epoch: held.Record.Epoch, session: held.Record.Session, held: held}
	var placer Placer = &firstFit{}
	if e.sim.advise {
		placer = &advised{sim: e.sim}
	}
	h.core = New(Settings{
		Shard: id, Epoch: h.epoch, Placer: placer,
		Inherited: lease.InheritedExpiry(e.clock(), clean),
	})
	e.used[id], e.hosts[id] = h.epoch, h
	h.step(Tick{})
}

func (e *simEntry) writeShard(id unit.ShardID, held shard.Held, r shard.Record, written func(unit.Revision)) {
	st := &e.sim.store
	e.sim.call(e, "store", func() any {
		if st.down || st.shards[id].Revision != held.Revision {
			return FaultConflict
		}
		st.shards[id] = shard.Held{Record: r, Revision: st.next()}
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
	c := Confirmed{Document: e.document}
	if !e.confirmed.IsZero() {
		c.StartUntil, c.NotAfter = e.confirmed.Add(3*time.Second), e.confirmed.Add(4*time.Second)
	}
	if e.session == h.session && e.session != "" {
		c.ValidUntil = e.renewed.Add(registrationSpan)
	}
	fleet := Fleet{Siblings: 1}
	for _, w := range e.sim.workers {
		fleet.Largest = fleet.Largest.Include(w.id, simCapacity)
		if w.zone == h.id.Zone {
			fleet.Workers = append(fleet.Workers, Listed{ID: w.id, Capacity: simCapacity, Live: !w.leaving})
		}
	}
	for _, zone := range simZones {
		if e.document != nil && !e.document.ZoneOut(zone) && zone != h.id.Zone {
			fleet.Targets = append(fleet.Targets, unit.ShardID{Zone: zone})
		}
	}
	for _, ev := range []Event{c, fleet, event} {
		for _, a := range h.core.Step(e.clock(), ev) {
			h.carryOut(a)
		}
	}
}

// carryOut sends after a moment, in which the process may be paused.
func (h *simHost) carryOut(a Action) {
	if _, ok := a.(Note); ok {
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
			st.jobs[a.Job] = JobChanged{Job: a.Job, Record: a.Record, Revision: st.next()}
			return st.revision
		}, func(v any, f Fault) {
			rev, _ := v.(unit.Revision)
			h.step(JobWritten{Job: a.Job, Revision: rev, Fault: f})
		})
	case SendOrders:
		sent := e.clock()
		if late(a.Deadline) {
			h.step(Ordered{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.orders(a) }, func(v any, f Fault) {
			reply, ok := v.(worker.OrderReply)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			h.step(Ordered{Worker: a.Worker, Sent: sent, Received: e.clock(), Reply: reply, Fault: f})
		})
	case SendHeartbeat:
		sent := e.clock()
		if late(a.Deadline) {
			h.step(Reported{Worker: a.Worker, Fault: FaultNoEffect})
			return
		}
		w := s.worker(a.Worker)
		s.call(e, string(a.Worker), func() any { return w.heartbeat(a.Heartbeat) }, func(v any, f Fault) {
			report, ok := v.(worker.Report)
			if f == FaultNone && !ok {
				f = v.(Fault)
			}
			h.step(Reported{Worker: a.Worker, Sent: sent, Received: e.clock(), Report: report, Fault: f})
		})
	case GiveUp:
		h.end()
		e.writeShard(h.id, h.held, shard.Release(h.held, a.Inherited), func(unit.Revision) {})
	case End:
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

// simWorker is a worker that follows the protocol but starts whatever it is told
// to: it does not refuse a start for lack of room, so that overcommitment shows.
type simWorker struct {
	sim      *sim
	id       unit.InstanceID
	zone     unit.ZoneID
	ppm      int64
	boots    int
	zero     time.Duration // true time of the boot
	start    int64         // reading at the boot
	leaving  bool
	refusing bool // refuses starts as full, without a reason
	epochs   map[string]unit.Epoch
	attempts map[worker.Ref]*simAttempt
	over     map[worker.Ref]bool
}

type simAttempt struct {
	worker.Status
	due  unit.WorkerTime // when its work is done; 0 is never
	fail bool
}

func (s *sim) worker(id unit.InstanceID) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == id })]
}

func (w *simWorker) boot(start int64) {
	w.boots++
	w.zero, w.start = w.sim.now, start
	w.epochs, w.attempts, w.over = map[string]unit.Epoch{}, map[worker.Ref]*simAttempt{}, map[worker.Ref]bool{}
}

func (w *simWorker) bootID() string { return fmt.Sprint("boot", w.boots) }

func (w *simWorker) clock() unit.WorkerTime {
	d := int64(w.sim.now - w.zero)
	return unit.WorkerTime(w.start + d + d/1e6*w.ppm)
}

// settle ends the attempts that are done or whose lease has ended.
func (w *simWorker) settle() {
	now := w.clock()
	for _, a := range w.attempts {
		switch {
		case a.Phase != worker.PhaseRunning:
		case a.LeaseEnd <= now && (a.due == 0 || a.LeaseEnd < a.due):
			a.Phase = worker.PhaseExpired
		case a.due != 0 && a.due <= now && a.fail:
			a.Phase = worker.PhaseFailed
		case a.due != 0 && a.due <= now:
			a.Phase = worker.PhaseDone
		}
	}
}

func (w *simWorker) admit(f worker.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

func (w *simWorker) orders(a SendOrders) any {
	if !w.admit(a.Batch.Fence) {
		return FaultStale
	}
	w.settle()
	reply := worker.OrderReply{Clock: w.clock()}
	for _, o := range a.Batch.Orders {
		r := worker.Result{Ref: o.Ref, Code: worker.CodeOK}
		at := w.attempts[o.Ref]
		switch {
		case o.Action == worker.ActionStart:
			r.Code = w.begin(o, a.Boot)
		case at == nil:
			r.Code = worker.CodeMissing
		case at.Phase != worker.PhaseRunning:
			r.Code = worker.CodeOver
		case o.Action == worker.ActionCheckpoint:
			at.Phase = worker.PhaseCheckpointed
			at.Checkpoint = unit.CheckpointID(fmt.Sprint(o.Attempt))
		case o.Action == worker.ActionStop:
			at.Phase = worker.PhaseStopped
		case o.Action == worker.ActionThrottle:
			at.Share = o.Share
		}
		reply.Results = append(reply.Results, r)
	}
	return reply
}

func (w *simWorker) begin(o worker.Order, boot string) worker.Code {
	s := w.sim
	switch {
	case w.over[o.Ref] || w.attempts[o.Ref] != nil && w.attempts[o.Ref].Phase != worker.PhaseRunning:
		return worker.CodeOver
	case w.attempts[o.Ref] != nil:
		return worker.CodeOK
	case boot != w.bootID():
		return worker.CodeLate // its times are readings of an earlier boot
	case w.clock() > o.NotAfter || w.clock() >= o.LeaseEnd:
		return worker.CodeLate
	case w.leaving:
		return worker.CodeDraining
	case w.refusing && s.chance(0.5):
		return worker.CodeFull
	}
	a := &simAttempt{
		Status: worker.Status{Ref: o.Ref, Phase: worker.PhaseRunning, Class: o.Class, Size: o.Size, LeaseEnd: o.LeaseEnd},
		fail:   o.Payload == "fail",
	}
	if o.Work > 0 {
		a.due = w.clock().Add(o.Work.Std())
	}
	w.attempts[o.Ref] = a
	s.started(w, o)
	return worker.CodeOK
}

func (w *simWorker) heartbeat(h worker.Heartbeat) any {
	if !w.admit(h.Fence) {
		return FaultStale
	}
	w.settle()
	for _, r := range h.Renew {
		if a := w.attempts[r.Ref]; a != nil && a.Phase == worker.PhaseRunning {
			a.LeaseEnd = max(a.LeaseEnd, r.LeaseEnd)
		}
	}
	for _, ref := range h.Forget {
		if a := w.attempts[ref]; a != nil && a.Phase != worker.PhaseRunning {
			w.sim.forgotten(w, a)
			w.over[ref] = true
			delete(w.attempts, ref)
		}
	}
	r := worker.Report{
		Clock: w.clock(), Boot: w.bootID(), State: worker.StateServing, Capacity: simCapacity,
	}
	if w.leaving {
		r.State = worker.StateDraining
	}
	for _, ref := range sortedRefs(w.attempts) {
		r.Tasks = append(r.Tasks, w.attempts[ref].Status)
	}
	return r
}

func (s *sim) task(id unit.TaskID) *simTask {
	if s.tasks[id] == nil {
		s.tasks[id] = &simTask{started: map[unit.Attempt]bool{}}
	}
	return s.tasks[id]
}

// started checks the invariants at the start of an attempt.
func (s *sim) started(w *simWorker, o worker.Order) {
	s.starts++
	var used unit.Resources
	for _, other := range s.workers {
		other.settle()
		for ref, a := range other.attempts {
			if a.Phase != worker.PhaseRunning {
				continue
			}
			if other == w {
				used = used.Add(a.Size)
			}
			if ref.Task == o.Task && (other != w || ref.Attempt != o.Attempt) {
				s.violate("P2: %v starts on %s while attempt %d runs on %s", o.Ref, w.id, ref.Attempt, other.id)
			}
		}
	}
	if !used.Fits(simCapacity) {
		s.violate("P1: %s runs %v of %v", w.id, used, simCapacity)
	}
	if since, out := s.store.out[w.zone]; out && s.now > since+5*time.Second {
		s.violate("P4: %v starts on %s, %v after its zone was taken out", o.Ref, w.id, s.now-since)
	}
	t := s.task(o.Task)
	var from unit.Attempt
	fmt.Sscan(string(o.Checkpoint), &from)
	switch {
	case t.started[o.Attempt]:
		s.violate("P3: %v starts twice", o.Ref)
	case o.Attempt < t.highest:
		s.violate("P3: %v starts after attempt %d", o.Ref, t.highest)
	case t.done:
		s.violate("P3: %v starts after the task was done", o.Ref)
	case from < t.acked || from >= o.Attempt:
		s.violate("P3: %v resumes from attempt %d, want %d", o.Ref, from, t.acked)
	}
	t.started[o.Attempt], t.highest = true, o.Attempt
}

// forgotten notes what an owner has taken over from a worker. A result counts
// if it came to the shard that has the task before a later attempt started.
func (s *sim) forgotten(w *simWorker, a *simAttempt) {
	t := s.task(a.Task)
	assigned := s.store.jobs[a.Task.Job].Record.Assigned(unit.ShardID{Zone: w.zone})
	if t.highest > a.Attempt || !slices.ContainsFunc(assigned, func(p ledger.Part) bool { return p.Has(a.Task.Index) }) {
		return
	}
	switch a.Phase {
	case worker.PhaseDone:
		t.done = true
	case worker.PhaseCheckpointed:
		t.acked = max(t.acked, a.Attempt)
	}
}

// submit writes a job record, split over the shards.
func (s *sim) submit(j queue.Job, standing bool) {
	s.jobs++
	j.ID = unit.JobID(fmt.Sprint("j", s.jobs))
	j.Team = "desk"
	r := ledger.Record{Job: j, Standing: standing}
	h := fnv.New32a()
	h.Write([]byte(j.ID))
	first := int(h.Sum32())
	for n := range simZones {
		id := unit.ShardID{Zone: simZones[(first+n)%len(simZones)]}
		count := (j.Tasks + unit.TaskIndex(n)) / unit.TaskIndex(len(simZones))
		if standing {
			r.Parts = append(r.Parts, ledger.Part{Shard: id, First: unit.TaskIndex(n * 16), Count: 16})
		} else if count > 0 {
			var at unit.TaskIndex
			for _, p := range r.Parts {
				at += p.Count
			}
			r.Parts = append(r.Parts, ledger.Part{Shard: id, First: at, Count: count})
		}
	}
	s.store.jobs[j.ID] = JobChanged{Job: j.ID, Record: r, Revision: s.store.next()}
}
