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

// timedCall is a function to call at a point of true time.
type timedCall struct {
	at  time.Duration
	seq int
	run func()
}

// callQueue is a heap of calls by time and, at equal times, in the order of their
// scheduling.
type callQueue []timedCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timedCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simTimeout is how long an entry waits for an answer.
const simTimeout = 2 * time.Second

// simTick is the time between two ticks of an entry.
const simTick = 250 * time.Millisecond

var simZones = []unit.ZoneID{"z1", "z2", "z3"}

var simCapacity = unit.Resources{Cores: 4000, Memory: 4000}

// sim models the store, the workers and the entries around real cores. Network
// faults come from a random generator whose seed rapid draws.
type sim struct {
	t             *rapid.T
	rng           *rand.Rand
	withPolicy    bool          // the placers are also placement policies
	now           time.Duration // true time
	seq           int
	pending       callQueue
	store         simStore
	entries       []*simEntry
	workers       []*simWorker
	brokenLinks   map[string]bool // broken links, by entry/destination
	dropRate      float64         // probability that a message is lost
	delayRate     float64         // probability that a message is delayed for long
	duplicateRate float64         // probability that a request arrives twice
	tasks         map[unit.TaskID]*simTask
	listVersion   int           // version of the instance list, from 1
	tick          time.Duration // time between two ticks of an entry
	jobs          int
	starts        int    // number of started attempts
	violation     string // first violation of an invariant, or empty
}

// simTask is the history of a task for the checks of the invariants.
type simTask struct {
	started      map[unit.Attempt]bool
	highest      unit.Attempt // highest attempt that has started
	checkpointed unit.Attempt // highest attempt whose checkpoint the owner has recorded
	done         bool         // the task is done, and the owner has recorded it
}

func newSim(t *rapid.T, seed uint64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), brokenLinks: map[string]bool{}, tasks: map[unit.TaskID]*simTask{},
		listVersion: 1, tick: simTick,
		store: simStore{
			leases: map[store.LeaseID]time.Duration{}, entries: map[unit.EntryID]simRegistration{},
			shards: map[unit.ShardID]shard.StoredRecord{}, ledgers: map[unit.ShardID]simRecord{},
			jobs: map[unit.JobID]JobChanged{}, zonesOut: map[unit.ZoneID]time.Duration{},
		},
	}
	s.store.publishDocument()
	for i, zone := range simZones {
		e := &simEntry{sim: s, index: i, zone: zone, ppm: s.rng.Int64N(800) - 400}
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

// schedule calls a function after a span of true time.
func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.pending, timedCall{s.now + d, s.seq, run})
}

// advance advances the true time and runs what is due.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := heap.Pop(&s.pending).(timedCall)
		s.now = next.at
		next.run()
		if s.violation != "" {
			s.t.Fatal(s.violation)
		}
	}
	s.now = end
	s.store.expireLeases(s.now)
}

// advanceLong advances the true time with fewer ticks, since ticks take most of
// the test's CPU time.
func (s *sim) advanceLong(d time.Duration) {
	s.tick = time.Second
	s.advance(d)
	s.tick = simTick
}

func (s *sim) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) messageDelay() time.Duration {
	if s.chance(s.delayRate) {
		// Half of the long delays are near the deadlines of starts. The others may
		// also exceed lease.TTL.
		longest := []time.Duration{6 * time.Second, 30 * time.Second}[s.rng.IntN(2)]
		return time.Duration(s.rng.Int64N(int64(longest)))
	}
	return time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
}

// call sends a request from an entry to a destination. The caller gets one
// answer, which is a fault if the answer is lost. The request itself may still
// arrive later, or twice.
func (s *sim) call(e *simEntry, to string, serve func() any, answer func(any, Fault)) {
	answered := false
	deliver := e.bind(func(v any, f Fault) {
		if !answered {
			answered = true
			answer(v, f)
		}
	})
	if s.brokenLinks[e.link(to)] {
		if s.chance(0.5) {
			s.schedule(time.Millisecond, func() { deliver(nil, FaultNoEffect) })
			return
		}
		s.schedule(simTimeout, func() { deliver(nil, FaultUnknown) })
		return
	}
	copies := 1
	if s.chance(s.duplicateRate) {
		copies = 2
	}
	for range copies {
		if s.chance(s.dropRate) {
			continue
		}
		s.schedule(s.messageDelay(), func() {
			v := serve()
			if !s.chance(s.dropRate) {
				s.schedule(s.messageDelay(), func() { deliver(v, FaultNone) })
			}
		})
	}
	s.schedule(simTimeout, func() { deliver(nil, FaultUnknown) })
}

func (s *sim) taskHistory(id unit.TaskID) *simTask {
	if s.tasks[id] == nil {
		s.tasks[id] = &simTask{started: map[unit.Attempt]bool{}}
	}
	return s.tasks[id]
}

// checkStart checks the invariants at the start of an attempt.
func (s *sim) checkStart(w *simWorker, o worker.Order) {
	s.starts++
	var used unit.Resources
	for _, other := range s.workers {
		other.endDue()
		for ref, a := range other.attempts {
			if a.Phase != worker.PhaseRunning {
				continue
			}
			if other == w {
				used = used.Add(a.Size)
			}
			if ref.Task == o.Task && (other != w || ref.Attempt != o.Attempt) {
				s.reportViolation("P2: %v starts on %s while attempt %d runs on %s", o.Ref, w.id, ref.Attempt, other.id)
			}
		}
	}
	if !used.Fits(simCapacity) {
		s.reportViolation("P1: %s runs %v of %v", w.id, used, simCapacity)
	}
	if since, out := s.store.zonesOut[w.zone]; out && s.now > since+5*time.Second {
		s.reportViolation("P4: %v starts on %s, %v after its zone was taken out", o.Ref, w.id, s.now-since)
	}
	t := s.taskHistory(o.Task)
	var from unit.Attempt
	fmt.Sscan(string(o.Checkpoint), &from)
	switch {
	case t.started[o.Attempt]:
		s.reportViolation("P3: %v starts twice", o.Ref)
	case o.Attempt < t.highest:
		s.reportViolation("P3: %v starts after attempt %d", o.Ref, t.highest)
	case t.done:
		s.reportViolation("P3: %v starts after the task was done", o.Ref)
	case from < t.checkpointed || from >= o.Attempt:
		s.reportViolation("P3: %v resumes from attempt %d, want %d", o.Ref, from, t.checkpointed)
	}
	t.started[o.Attempt], t.highest = true, o.Attempt
}

// recordForgotten records the result of an attempt that an owner lets a worker
// forget. The result counts only if its shard still has the task and no later
// attempt has started.
func (s *sim) recordForgotten(w *simWorker, a *simAttempt) {
	t := s.taskHistory(a.Task)
	assigned := s.store.jobs[a.Task.Job].Record.ActiveParts(unit.ShardID{Zone: w.zone})
	if t.highest > a.Attempt || !slices.ContainsFunc(assigned, func(p ledger.Part) bool { return p.Has(a.Task.Index) }) {
		return
	}
	switch a.Phase {
	case worker.PhaseDone:
		t.done = true
	case worker.PhaseCheckpointed:
		t.checkpointed = max(t.checkpointed, a.Attempt)
	}
}

// submit writes the record of a job whose tasks are split over the shards.
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
