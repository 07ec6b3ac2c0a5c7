package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// evictionTime is how long an eviction may take: an order, the checkpoint, a
	// stop in its place after 10 s, and the report. After it the task counts as
	// running on, and may be acted on again.
	evictionTime = 30 * time.Second
	// roomInterval is the time between two evictions for replicas without a
	// worker: the checkpoint of the first and the start of the replica.
	roomInterval = 10 * time.Second
	// idleTime is the time without a signal after which a worker counts as serving
	// no requests of a class, so that batch work is not held back for requests that
	// nobody sends. Entries send every 2 s, and hear of a new owner within 2 s.
	idleTime = 10 * time.Second
	// jobMemory is how long a job without a task here is remembered. It bounds the
	// memory, at the price of trying the job with few tasks again.
	jobMemory = 10 * time.Minute
)

// Worker is what a core has to know of a worker besides its room for tasks.
type Worker struct {
	Service unit.ServiceID
	Cores   unit.Millicores // of the whole worker
	Slots   int             // for requests
}

// Core follows the targets on one shard. Every method that decides takes the time.
// The zero value is not usable; call NewCore.
type Core struct {
	index   *placement.Index
	advisor *interference.Advisor
	sizes   *interference.SizeEstimator
	loop    *control.Loop
	gate    Admission
	classes map[unit.ClassID]spec.Class
	zones   map[unit.ZoneID]bool // of the document, and whether they are out
	fleet   map[unit.InstanceID]Worker
	hosts   map[unit.InstanceID]*host
	jobs    map[unit.JobID]*work
	runs    map[worker.Ref]*run
	claims  map[unit.ClassID]unit.Resources // replicas without a worker since the last step
	roomed  time.Time                       // of the last evictions for a replica
	events  []journal.Event
	born    time.Time // of the first document
	now     time.Time // of the last document, step or signal
}

// host is a worker of the shard.
type host struct {
	open     bool
	capacity unit.Resources // for tasks
	signals  merge
	heard    map[unit.ClassID]time.Time // last signal
}

// work is a job as far as it matters here.
type work struct {
	queue.Job
	trial   SizeTrial
	touched time.Time
}

// run is an attempt with a reservation.
type run struct {
	ref      worker.Ref
	worker   unit.InstanceID
	class    unit.ClassID
	size     unit.Resources
	share    float64 // of its cores
	asked    bool    // the share was asked for here
	started  time.Time
	since    time.Time     // of the present share
	worked   time.Duration // before since, at full cores
	used     unit.Resources
	peak     unit.Resources
	measured bool
	ended    bool
	evicted  time.Time // of the last checkpoint or stop; zero if none
}

// NewCore returns a core without workers.
func NewCore() *Core {
	advisor := interference.NewAdvisor()
	return &Core{
		index: placement.New(advisor), advisor: advisor, sizes: interference.NewSizeEstimator(), loop: control.New(advisor),
		hosts: map[unit.InstanceID]*host{}, jobs: map[unit.JobID]*work{}, runs: map[worker.Ref]*run{},
		claims: map[unit.ClassID]unit.Resources{},
	}
}

// Configure takes a target document.
func (c *Core) Configure(now time.Time, d *spec.Document) {
	c.now = now
	if c.born.IsZero() {
		c.born = now
	}
	zones := map[unit.ZoneID]bool{}
	for _, z := range d.Zones {
		zones[z.Name] = z.Out
		if out, known := c.zones[z.Name]; known && z.Out && !out {
			c.gate.RecordZoneOut(now)
			c.note(now, "batch starts wait", "zone "+string(z.Name)+" went out of service; the load that moves is not in the reports yet",
				journal.Subject{Kind: journal.KindZone, ID: string(z.Name)})
		}
	}
	c.zones = zones
	c.classes = map[unit.ClassID]spec.Class{}
	for _, class := range d.Classes {
		c.classes[class.Name] = class
		c.advisor.SetTarget(class.Name, class.Kind, class.Target)
		if class.Kind == spec.KindRequest {
			c.loop.SetTarget(class.Name, class.Target)
		}
	}
	for id := range c.hosts {
		c.advise(id)
	}
}

// SetFleet takes the workers of the instance list. The map must not be changed.
func (c *Core) SetFleet(fleet map[unit.InstanceID]Worker) {
	c.fleet = fleet
	for id := range c.hosts {
		c.advise(id)
	}
}

// advise tells the advisor the cores of a worker and which classes of requests it
// serves. Before signals can have come, it is taken to serve all of its service.
func (c *Core) advise(id unit.InstanceID) {
	at, h := c.fleet[id], c.hosts[id]
	var serves []unit.ClassID
	for name, class := range c.classes {
		busy := c.now.Sub(c.born) < idleTime || c.now.Sub(h.heard[name]) < idleTime
		if class.Kind == spec.KindRequest && class.Service == at.Service && busy {
			serves = append(serves, name)
		}
	}
	slices.Sort(serves)
	c.advisor.UpsertWorker(id, max(at.Cores, h.capacity.Cores), serves)
}

// Upsert adds or changes a worker. Reservations stay.
func (c *Core) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	h, ok := c.hosts[id]
	if !ok {
		h = &host{heard: map[unit.ClassID]time.Time{}}
		c.hosts[id] = h
	}
	h.capacity, h.open = capacity, open
	c.index.Upsert(id, rack, capacity, open)
	c.advise(id)
}

// Remove forgets a worker and its reservations.
func (c *Core) Remove(id unit.InstanceID) {
	for ref, r := range c.runs {
		if r.worker == id {
			c.drop(ref)
		}
	}
	delete(c.hosts, id)
	c.index.Remove(id)
	c.advisor.RemoveWorker(id)
	c.loop.Remove(id)
}

// Place proposes an open worker on which a task fits, and reserves nothing.
func (c *Core) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	id, ok := c.index.Place(class, size)
	if !ok {
		c.gate.RecordUnplaced()
		if c.classes[class].Kind == spec.KindStanding {
			c.claims[class] = size
		}
	}
	return id, ok
}

// Reserve takes the resources of an attempt, and reports false without a change
// if they are not free.
func (c *Core) Reserve(now time.Time, id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	if !c.index.Reserve(id, ref, class, size) {
		return false
	}
	if c.runs[ref] == nil {
		c.runs[ref] = &run{ref: ref, worker: id, class: class, size: size, share: 1, started: now, since: now}
		c.advisor.AdjustLoad(id, class, 1, size.Cores)
		c.work(now, ref.Task.Job).trial.RecordStart(now)
	}
	return true
}

// Release returns the resources of an attempt.
func (c *Core) Release(id unit.InstanceID, ref worker.Ref) {
	if r := c.runs[ref]; r != nil && r.worker == id {
		c.drop(ref)
	}
	c.index.Release(id, ref)
}

func (c *Core) drop(ref worker.Ref) {
	r := c.runs[ref]
	delete(c.runs, ref)
	c.advisor.AdjustLoad(r.worker, r.class, -1, -unit.Millicores(float64(r.size.Cores)*r.share))
	if j := c.jobs[ref.Task.Job]; j != nil {
		j.trial.Running--
	}
}

// work returns what is known of a job.
func (c *Core) work(now time.Time, id unit.JobID) *work {
	j, ok := c.jobs[id]
	if !ok {
		j = &work{}
		c.jobs[id] = j
	}
	j.touched = now
	return j
}

// Describe tells of a job that has or may get tasks on the shard.
func (c *Core) Describe(now time.Time, j *queue.Job) { c.work(now, j.ID).Job = *j }

// Admit reports whether a task of a job may be placed now, and if not, why.
func (c *Core) Admit(now time.Time, j *queue.Job) (why string, ok bool) {
	known := c.work(now, j.ID)
	switch {
	case c.classes[j.Class].Kind != spec.KindBatch:
		return "", true
	case c.gate.DelayedByZoneOut(now, c.classes[j.Class].Target.Start.Std()):
		return "a zone went out of service, and the load that moves is not in the reports yet", false
	case c.gate.TrialLimited(now, &known.trial):
		return "other tasks wait, and the first tasks of this job have to show its size", false
	}
	return "", true
}

// Size returns what to reserve for a task of a job. Cores follow the estimates: a
// task with too few runs longer. Memory is never below what is declared, since the
// protocol of the workers has no word for a task that ran out of memory.
func (c *Core) Size(j *queue.Job) unit.Resources {
	size := j.Size
	known := c.jobs[j.ID]
	if known == nil || c.classes[j.Class].Kind != spec.KindBatch {
		return size
	}
	estimate, _ := c.sizes.Size(j.Class, size, known.trial.Peak)
	var most unit.Resources
	for _, h := range c.hosts {
		most.Cores, most.Memory = max(most.Cores, h.capacity.Cores), max(most.Memory, h.capacity.Memory)
	}
	size.Cores = min(estimate.Cores, max(most.Cores, size.Cores))
	size.Memory = min(max(estimate.Memory, size.Memory), max(most.Memory, size.Memory))
	return size
}

// Refusal says why Place found no worker for a task of a job, and which worker
// came nearest, if any.
func (c *Core) Refusal(j *queue.Job) (why string, nearest unit.InstanceID) {
	size := c.Size(j)
	r := c.index.Explain(size)
	if r.Resource != "combination" {
		return r.String(), r.Worker
	}
	var fits []unit.InstanceID
	for id, h := range c.hosts {
		if _, held := c.index.QuarantinedUntil(id); h.open && !held && size.Fits(c.index.Free(id)) {
			fits = append(fits, id)
		}
	}
	if len(fits) == 0 {
		return r.String(), r.Worker
	}
	slices.Sort(fits)
	return "the classes of requests would miss their targets beside " + string(j.Class) +
		", or it is being tried on enough workers, on each worker that has the resources free", fits[0]
}

// ObserveReport takes a report of a worker.
func (c *Core) ObserveReport(now time.Time, id unit.InstanceID, r worker.Report) {
	if c.hosts[id] == nil {
		return
	}
	for _, u := range r.Usage {
		if t := c.runs[u.Ref]; t != nil && t.worker == id {
			c.measure(now, t, unit.Resources{Cores: u.Cores, Memory: u.Memory})
		}
	}
	for _, s := range r.Tasks {
		t := c.runs[s.Ref]
		if t == nil || t.worker != id || t.ended {
			continue
		}
		switch s.Phase {
		case worker.PhaseRunning:
			if share := cmp.Or(s.Share, 1); !t.asked && share != t.share {
				c.setShare(now, t, share) // an earlier owner of the shard asked for it
			}
		case worker.PhaseDone, worker.PhaseFailed:
			t.ended = true
			c.ended(now, t, s.Phase == worker.PhaseFailed)
		}
	}
}

// measure learns the size of a job from a running task. What a throttled task
// uses says little of its size.
func (c *Core) measure(now time.Time, t *run, used unit.Resources) {
	t.used = used
	if t.share < 1 {
		return
	}
	t.peak.Cores, t.peak.Memory = max(t.peak.Cores, used.Cores), max(t.peak.Memory, used.Memory)
	if c.classes[t.class].Kind == spec.KindBatch {
		t.measured = c.work(now, t.ref.Task.Job).trial.RecordUsage(used, t.size, now.Sub(t.started), t.measured)
	}
}

// ended learns from an attempt that ended by itself.
func (c *Core) ended(now time.Time, t *run, failed bool) {
	job := t.ref.Task.Job
	_, before := c.index.QuarantinedUntil(t.worker)
	c.index.RecordOutcome(t.worker, job, failed, now)
	if until, held := c.index.QuarantinedUntil(t.worker); held != before {
		what, why := "quarantined", "tasks of several jobs failed in a row, the last of "+string(t.class)+
			"; one task is tried after "+until.Sub(now).Round(time.Second).String()
		if !held {
			what, why = "quarantine over", "a task of "+string(t.class)+" was done"
		}
		c.note(now, what, why, subject(journal.KindWorker, string(t.worker)),
			subject(journal.KindTask, t.ref.Task.String()), subject(journal.KindClass, string(t.class)))
	}
	j := c.work(now, job)
	if failed || c.classes[t.class].Kind != spec.KindBatch || j.ID == "" {
		return
	}
	peak := InferDemand(t.peak, t.size)
	if peak.Cores > 0 {
		j.trial.RecordPeak(peak, t.measured)
	}
	c.sizes.Observe(interference.TaskUsage{
		Class: t.class, Declared: j.Size, Peak: peak, DeclaredWork: j.Work.Std(), Work: t.progress(now),
	})
}

// progress returns the run time so far as it would be at full cores.
func (r *run) progress(now time.Time) time.Duration {
	return r.worked + time.Duration(r.share*float64(now.Sub(r.since)))
}

func (c *Core) setShare(now time.Time, t *run, share float64) {
	t.worked, t.since = t.progress(now), now
	c.advisor.AdjustLoad(t.worker, t.class, 0, CoresDelta(t.size.Cores, t.share, share))
	t.share = share
}

// Step returns the actions that are due. It is called once a second.
func (c *Core) Step(now time.Time) []control.Action {
	for _, id := range c.index.StartProbes(now) {
		c.note(now, "probing", "the quarantine is over for one task", subject(journal.KindWorker, string(id)))
	}
	c.now = now
	c.gate.StartRound()
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		c.learn(now, id)
		c.advise(id)
	}
	tasks := c.tasks(now)
	actions := append(c.loop.Step(now, tasks), c.makeRoom(now, tasks)...)
	clear(c.claims)
	for id, j := range c.jobs {
		if j.trial.Running <= 0 && now.Sub(j.touched) > jobMemory {
			delete(c.jobs, id)
		}
	}
	return c.take(now, actions)
}

// TakeEvents returns the events for the journal since the last call.
func (c *Core) TakeEvents() []journal.Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Core) note(now time.Time, what, why string, subjects ...journal.Subject) {
	c.events = append(c.events, journal.Event{Time: now, Subjects: subjects, What: what, Why: why})
}

func subject(kind journal.Kind, id string) journal.Subject {
	return journal.Subject{Kind: kind, ID: id}
}

// shares returns the part of the cores of a worker that each batch class uses. The
// reported usage lags, so that it may be from before a throttle.
func (c *Core) shares(id unit.InstanceID) map[unit.ClassID]float64 {
	shares := map[unit.ClassID]float64{}
	cores := float64(max(c.fleet[id].Cores, c.hosts[id].capacity.Cores))
	for _, r := range c.runs {
		if r.worker != id || r.ended || cores <= 0 {
			continue
		}
		used := float64(r.size.Cores) * r.share
		if r.used.Cores > 0 {
			used = math.Min(used, float64(r.used.Cores))
		}
		shares[r.class] += used / cores
	}
	return shares
}
