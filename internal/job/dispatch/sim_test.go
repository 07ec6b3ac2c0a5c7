package dispatch

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

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
	listed  int           // version of the list of workers, from 1
	tick    time.Duration // between two ticks of an entry
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
		listed: 1, tick: simTick,
		store: simStore{
			leases: map[store.LeaseID]time.Duration{}, entries: map[unit.EntryID]simRegistration{},
			shards: map[unit.ShardID]shard.StoredRecord{}, ledgers: map[unit.ShardID]simRecord{},
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

// advanceLong lets a long time pass with fewer ticks, which take most of the
// processor time of the test.
func (s *sim) advanceLong(d time.Duration) {
	s.tick = time.Second
	s.advance(d)
	s.tick = simTick
}

func (s *sim) violate(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) delay() time.Duration {
	if s.chance(s.slow) { // around the deadlines of starts as often as beyond leases
		longest := []time.Duration{6 * time.Second, 30 * time.Second}[s.rng.IntN(2)]
		return time.Duration(s.rng.Int64N(int64(longest)))
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
	s.store.putJob(r)
}
