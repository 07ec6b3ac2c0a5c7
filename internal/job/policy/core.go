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
	// evictionTimeout is the longest that an eviction may take: the order, the
	// checkpoint, a stop in its place after 10 s, and the report. After it the task
	// counts as still running and may be acted on again.
	evictionTimeout = 30 * time.Second
	// preemptionInterval is the time between two preemptions for replicas without a
	// worker. It covers the checkpoint of the victim and the start of the replica.
	preemptionInterval = 10 * time.Second
	// idleTimeout is the time without a signal after which a worker counts as serving
	// no requests of a class, so that batch tasks are not held back for requests that
	// no client sends. Entries send signals every 2 s, and learn of a new owner of a
	// shard within 2 s.
	idleTimeout = 10 * time.Second
	// jobRetention is how long the state of a job without tasks on the shard is kept.
	// It bounds the memory. A job that returns later has its size tried again.
	jobRetention = 10 * time.Minute
)

// Worker has the properties of a worker in the instance list that a core needs.
type Worker struct {
	Service unit.ServiceID
	// Cores is the capacity of the whole worker, including what is not for tasks.
	Cores unit.Millicores
	// Slots is the number of request slots.
	Slots int
}

// Core makes the decisions of one shard by the targets of the classes: where tasks
// are placed and which running tasks are throttled or evicted. It does no I/O and
// reads no clock; methods that depend on the time take it as an argument. The zero
// value is not usable; call NewCore.
type Core struct {
	index     *placement.Index
	advisor   *interference.Advisor
	sizes     *interference.SizeEstimator
	loop      *control.Loop
	admission Admission
	classes   map[unit.ClassID]spec.Class
	// zones says for each zone of the document whether it is out of service.
	zones map[unit.ZoneID]bool
	// fleet has the workers of the instance list, workers those of the shard.
	fleet    map[unit.InstanceID]Worker
	workers  map[unit.InstanceID]*workerState
	jobs     map[unit.JobID]*jobState
	attempts map[worker.Ref]*attempt
	// pendingReplicas has, by class, the size of a replica for which Place found no
	// worker since the last step.
	pendingReplicas map[unit.ClassID]unit.Resources
	// lastPreemption is the time of the last evictions for a replica.
	lastPreemption time.Time
	events         []journal.Event
	// configuredAt is the time of the first document.
	configuredAt time.Time
	// now is the time of the last document, step or signal.
	now time.Time
}

// workerState has what is known of a worker of the shard.
type workerState struct {
	open bool
	// capacity is what the worker has for tasks.
	capacity unit.Resources
	signals  signalWindow
	// lastSignal is the time of the last signal of each class of requests.
	lastSignal map[unit.ClassID]time.Time
}

// jobState has what is known of a job with tasks on the shard. The job itself is
// empty until Describe is called.
type jobState struct {
	queue.Job
	trial    SizeTrial
	lastUsed time.Time
}

// attempt is an attempt with a reservation.
type attempt struct {
	ref    worker.Ref
	worker unit.InstanceID
	class  unit.ClassID
	size   unit.Resources
	// share is the fraction of its cores that the task may use.
	share float64
	// shareOrdered is set if this core has ordered the share.
	shareOrdered bool
	started      time.Time
	// shareSince is when the current share took effect.
	shareSince time.Time
	// workBefore is the run time before shareSince, converted to full cores.
	workBefore time.Duration
	// used is the last reported usage.
	used unit.Resources
	// peak is the highest usage without a throttle.
	peak unit.Resources
	// measured is set if the size trial of the job has counted the task.
	measured bool
	ended    bool
	// evictedAt is the time of the last checkpoint or stop; zero if none.
	evictedAt time.Time
}

// NewCore returns a core without workers.
func NewCore() *Core {
	advisor := interference.NewAdvisor()
	return &Core{
		index: placement.New(advisor), advisor: advisor, sizes: interference.NewSizeEstimator(), loop: control.New(advisor),
		workers: map[unit.InstanceID]*workerState{}, jobs: map[unit.JobID]*jobState{}, attempts: map[worker.Ref]*attempt{},
		pendingReplicas: map[unit.ClassID]unit.Resources{},
	}
}

// Configure puts a target document into effect.
func (c *Core) Configure(now time.Time, d *spec.Document) {
	c.now = now
	if c.configuredAt.IsZero() {
		c.configuredAt = now
	}
	zones := map[unit.ZoneID]bool{}
	for _, z := range d.Zones {
		zones[z.Name] = z.Out
		if out, known := c.zones[z.Name]; known && z.Out && !out {
			c.admission.RecordZoneOut(now)
			c.recordEvent(now, "batch starts wait", "zone "+string(z.Name)+" went out of service; the load that moves is not in the reports yet",
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
	for id := range c.workers {
		c.updateAdvisor(id)
	}
}

// SetFleet sets the workers of the instance list. The caller must not change the map
// afterwards.
func (c *Core) SetFleet(fleet map[unit.InstanceID]Worker) {
	c.fleet = fleet
	for id := range c.workers {
		c.updateAdvisor(id)
	}
}

// updateAdvisor passes the cores of a worker and the classes of requests that it serves
// to the advisor. Until signals can have arrived, the worker counts as serving every
// class of its service.
func (c *Core) updateAdvisor(id unit.InstanceID) {
	listed, w := c.fleet[id], c.workers[id]
	var serves []unit.ClassID
	for name, class := range c.classes {
		active := c.now.Sub(c.configuredAt) < idleTimeout || c.now.Sub(w.lastSignal[name]) < idleTimeout
		if class.Kind == spec.KindRequest && class.Service == listed.Service && active {
			serves = append(serves, name)
		}
	}
	slices.Sort(serves)
	c.advisor.UpsertWorker(id, max(listed.Cores, w.capacity.Cores), serves)
}

// Upsert adds or changes a worker. Reservations are kept.
func (c *Core) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	w, ok := c.workers[id]
	if !ok {
		w = &workerState{lastSignal: map[unit.ClassID]time.Time{}}
		c.workers[id] = w
	}
	w.capacity, w.open = capacity, open
	c.index.Upsert(id, rack, capacity, open)
	c.updateAdvisor(id)
}

// Remove removes a worker and its reservations.
func (c *Core) Remove(id unit.InstanceID) {
	for ref, a := range c.attempts {
		if a.worker == id {
			c.dropAttempt(ref)
		}
	}
	delete(c.workers, id)
	c.index.Remove(id)
	c.advisor.RemoveWorker(id)
	c.loop.Remove(id)
}

// Place proposes an open worker on which a task fits, and reserves nothing.
func (c *Core) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	id, ok := c.index.Place(class, size)
	if !ok {
		c.admission.RecordUnplaced()
		if c.classes[class].Kind == spec.KindStanding {
			c.pendingReplicas[class] = size
		}
	}
	return id, ok
}

// Reserve reserves the resources of an attempt. It returns false and changes nothing if
// they are not free.
func (c *Core) Reserve(now time.Time, id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	if !c.index.Reserve(id, ref, class, size) {
		return false
	}
	if c.attempts[ref] == nil {
		c.attempts[ref] = &attempt{ref: ref, worker: id, class: class, size: size, share: 1, started: now, shareSince: now}
		c.advisor.AdjustLoad(id, class, 1, size.Cores)
		c.ensureJob(now, ref.Task.Job).trial.RecordStart(now)
	}
	return true
}

// Release releases the resources of an attempt.
func (c *Core) Release(id unit.InstanceID, ref worker.Ref) {
	if a := c.attempts[ref]; a != nil && a.worker == id {
		c.dropAttempt(ref)
	}
	c.index.Release(id, ref)
}

func (c *Core) dropAttempt(ref worker.Ref) {
	a := c.attempts[ref]
	delete(c.attempts, ref)
	c.advisor.AdjustLoad(a.worker, a.class, -1, -unit.Millicores(float64(a.size.Cores)*a.share))
	if j := c.jobs[ref.Task.Job]; j != nil {
		j.trial.Running--
	}
}

// ensureJob returns the state of a job and creates it if there is none.
func (c *Core) ensureJob(now time.Time, id unit.JobID) *jobState {
	j, ok := c.jobs[id]
	if !ok {
		j = &jobState{}
		c.jobs[id] = j
	}
	j.lastUsed = now
	return j
}

// Describe sets the properties of a job that has or may get tasks on the shard.
func (c *Core) Describe(now time.Time, j *queue.Job) { c.ensureJob(now, j.ID).Job = *j }

// Admit reports whether a task of a job may be placed now, and if not, why.
func (c *Core) Admit(now time.Time, j *queue.Job) (why string, ok bool) {
	state := c.ensureJob(now, j.ID)
	switch {
	case c.classes[j.Class].Kind != spec.KindBatch:
		return "", true
	case c.admission.DelayedByZoneOut(now, c.classes[j.Class].Target.Start.Std()):
		return "a zone went out of service, and the load that moves is not in the reports yet", false
	case c.admission.TrialLimited(now, &state.trial):
		return "other tasks wait, and the first tasks of this job have to show its size", false
	}
	return "", true
}

// Size returns what to reserve for a task of a job. Cores follow the estimate, since a
// task with too few cores only runs longer. Memory is never below what the job
// declares, since the protocol of the workers cannot report that a task ran out of
// memory.
func (c *Core) Size(j *queue.Job) unit.Resources {
	size := j.Size
	state := c.jobs[j.ID]
	if state == nil || c.classes[j.Class].Kind != spec.KindBatch {
		return size
	}
	estimate, _ := c.sizes.Size(j.Class, size, state.trial.Peak)
	var largest unit.Resources
	for _, w := range c.workers {
		largest.Cores, largest.Memory = max(largest.Cores, w.capacity.Cores), max(largest.Memory, w.capacity.Memory)
	}
	size.Cores = min(estimate.Cores, max(largest.Cores, size.Cores))
	size.Memory = min(max(estimate.Memory, size.Memory), max(largest.Memory, size.Memory))
	return size
}

// Refusal returns why Place found no worker for a task of a job, and the worker that
// comes nearest to holding it, if any.
func (c *Core) Refusal(j *queue.Job) (why string, nearest unit.InstanceID) {
	size := c.Size(j)
	refusal := c.index.Explain(size)
	if refusal.Resource != "combination" {
		return refusal.String(), refusal.Worker
	}
	var fits []unit.InstanceID
	for id, w := range c.workers {
		if _, quarantined := c.index.QuarantinedUntil(id); w.open && !quarantined && size.Fits(c.index.Free(id)) {
			fits = append(fits, id)
		}
	}
	if len(fits) == 0 {
		return refusal.String(), refusal.Worker
	}
	slices.Sort(fits)
	return "the classes of requests would miss their targets beside " + string(j.Class) +
		", or it is being tried on enough workers, on each worker that has the resources free", fits[0]
}

// ObserveReport processes a report of a worker.
func (c *Core) ObserveReport(now time.Time, id unit.InstanceID, r worker.Report) {
	if c.workers[id] == nil {
		return
	}
	for _, u := range r.Usage {
		if a := c.attempts[u.Ref]; a != nil && a.worker == id {
			c.recordUsage(now, a, unit.Resources{Cores: u.Cores, Memory: u.Memory})
		}
	}
	for _, s := range r.Tasks {
		a := c.attempts[s.Ref]
		if a == nil || a.worker != id || a.ended {
			continue
		}
		switch s.Phase {
		case worker.PhaseRunning:
			if share := cmp.Or(s.Share, 1); !a.shareOrdered && share != a.share {
				c.setShare(now, a, share) // ordered by a previous owner of the shard
			}
		case worker.PhaseDone, worker.PhaseFailed:
			a.ended = true
			c.recordEnd(now, a, s.Phase == worker.PhaseFailed)
		}
	}
}

// recordUsage records the usage of a running task and updates the size trial of its job.
// The usage of a throttled task does not count, since it says little about the size.
func (c *Core) recordUsage(now time.Time, a *attempt, used unit.Resources) {
	a.used = used
	if a.share < 1 {
		return
	}
	a.peak.Cores, a.peak.Memory = max(a.peak.Cores, used.Cores), max(a.peak.Memory, used.Memory)
	if c.classes[a.class].Kind == spec.KindBatch {
		a.measured = c.ensureJob(now, a.ref.Task.Job).trial.RecordUsage(used, a.size, now.Sub(a.started), a.measured)
	}
}

// recordEnd records that an attempt was done or failed. It updates the quarantine of the
// worker and the estimates of the size and run time.
func (c *Core) recordEnd(now time.Time, a *attempt, failed bool) {
	job := a.ref.Task.Job
	_, wasQuarantined := c.index.QuarantinedUntil(a.worker)
	c.index.RecordOutcome(a.worker, job, failed, now)
	if until, quarantined := c.index.QuarantinedUntil(a.worker); quarantined != wasQuarantined {
		what, why := "quarantined", "tasks of several jobs failed in a row, the last of "+string(a.class)+
			"; one task is tried after "+until.Sub(now).Round(time.Second).String()
		if !quarantined {
			what, why = "quarantine over", "a task of "+string(a.class)+" was done"
		}
		c.recordEvent(now, what, why, subject(journal.KindWorker, string(a.worker)),
			subject(journal.KindTask, a.ref.Task.String()), subject(journal.KindClass, string(a.class)))
	}
	j := c.ensureJob(now, job)
	if failed || c.classes[a.class].Kind != spec.KindBatch || j.ID == "" {
		return
	}
	peak := InferDemand(a.peak, a.size)
	if peak.Cores > 0 {
		j.trial.RecordPeak(peak, a.measured)
	}
	c.sizes.Observe(interference.TaskUsage{
		Class: a.class, Declared: j.Size, Peak: peak, DeclaredWork: j.Work.Std(), Work: a.progress(now),
	})
}

// progress returns the run time so far, converted to full cores.
func (a *attempt) progress(now time.Time) time.Duration {
	return a.workBefore + time.Duration(a.share*float64(now.Sub(a.shareSince)))
}

// setShare records a new share of an attempt.
func (c *Core) setShare(now time.Time, a *attempt, share float64) {
	a.workBefore, a.shareSince = a.progress(now), now
	c.advisor.AdjustLoad(a.worker, a.class, 0, CoresDelta(a.size.Cores, a.share, share))
	a.share = share
}

// Step returns the actions to take on running tasks. It is called once a second.
func (c *Core) Step(now time.Time) []control.Action {
	for _, id := range c.index.StartProbes(now) {
		c.recordEvent(now, "probing", "the quarantine is over for one task", subject(journal.KindWorker, string(id)))
	}
	c.now = now
	c.admission.StartRound()
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		c.recordSample(now, id)
		c.updateAdvisor(id)
	}
	tasks := c.runningTasks(now)
	actions := append(c.loop.Step(now, tasks), c.preempt(now, tasks)...)
	clear(c.pendingReplicas)
	for id, j := range c.jobs {
		if j.trial.Running <= 0 && now.Sub(j.lastUsed) > jobRetention {
			delete(c.jobs, id)
		}
	}
	return c.applyActions(now, actions)
}

// TakeEvents returns the events for the journal since the last call.
func (c *Core) TakeEvents() []journal.Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Core) recordEvent(now time.Time, what, why string, subjects ...journal.Subject) {
	c.events = append(c.events, journal.Event{Time: now, Subjects: subjects, What: what, Why: why})
}

func subject(kind journal.Kind, id string) journal.Subject {
	return journal.Subject{Kind: kind, ID: id}
}

// batchShares returns the fraction of the cores of a worker that each class of tasks
// uses. The reported usage lags and may date from before a throttle, so that the
// current share bounds it.
func (c *Core) batchShares(id unit.InstanceID) map[unit.ClassID]float64 {
	shares := map[unit.ClassID]float64{}
	cores := float64(max(c.fleet[id].Cores, c.workers[id].capacity.Cores))
	for _, a := range c.attempts {
		if a.worker != id || a.ended || cores <= 0 {
			continue
		}
		used := float64(a.size.Cores) * a.share
		if a.used.Cores > 0 {
			used = math.Min(used, float64(a.used.Cores))
		}
		shares[a.class] += used / cores
	}
	return shares
}
