package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/policy"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Policy is one combination of decisions to compare.
type Policy struct {
	Name                string
	FirstFit            bool // first fit instead of the placement index
	Targets             bool // order by deadline instead of static weight, park and quarantine
	Learn               bool // interference model in placement and choice of victims
	Control             bool // throttle, checkpoint, stop
	Sizes               bool // estimated sizes instead of declared ones
	CheckpointOnZoneOut bool // checkpoint the tasks of a zone that goes out of service
	TwoChoices          bool // route by two random choices instead of least completion
}

// Baseline is the name of the policy that ratios refer to.
const Baseline = "first-fit"

// Policies returns the policies to compare. The first is the project's.
func Policies() []Policy {
	return []Policy{
		{Name: "monsoonfold", Targets: true, Learn: true, Control: true, Sizes: true, CheckpointOnZoneOut: true},
		{Name: "two-choices", Targets: true, Learn: true, Control: true, Sizes: true, CheckpointOnZoneOut: true, TwoChoices: true},
		{Name: "no-model", Targets: true, Control: true, Sizes: true, CheckpointOnZoneOut: true},
		{Name: "no-loop", Targets: true, Learn: true, Sizes: true, CheckpointOnZoneOut: true},
		{Name: "first-fit-routed", FirstFit: true},
		{Name: Baseline, FirstFit: true, TwoChoices: true},
	}
}

// placer chooses and reserves workers: the index of job/placement or first fit.
type placer interface {
	Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool)
	Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool
	Release(id unit.InstanceID, ref worker.Ref)
	Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool)
	Remove(id unit.InstanceID)
}

const (
	retryDelay = 5 * time.Second
	// baselineAttempts is the number of failures after which the baselines no
	// longer retry a task.
	baselineAttempts = 20
	// parkWorkers is the number of workers on which a job must have failed, with no
	// task done, before it is parked.
	parkWorkers = 3
	// taskLease has to expire before a task of a lost worker starts elsewhere.
	taskLease = 15 * time.Second
	// outOfMemoryFactor multiplies the memory of a task that ran out of memory.
	outOfMemoryFactor = 1.5
)

// item is the state of a task in the scheduler.
type item struct {
	ref          worker.Ref
	class        *Class
	job          *jobState
	memoryFactor float64 // multiplies the size after the task ran out of memory
	failures     int
	notBefore    time.Duration // earliest time of the next start
	running      bool
	ended        bool
	worker       unit.InstanceID
	zone         unit.ZoneID
	size         unit.Resources
	share        float64
	started      time.Duration
	measured     bool
}

type jobState struct {
	id           unit.JobID
	zone         unit.ZoneID
	declared     unit.Resources
	declaredWork time.Duration
	submitted    time.Duration
	items        []*item
	done         int
	trial        policy.SizeTrial
	failedOn     []unit.InstanceID
}

// command is an order of the scheduler to a worker.
type command struct {
	item   *item
	kind   worker.Action
	reason string
}

// report is the report of one worker. It arrives at due, after reportLag.
type report struct {
	worker  unit.InstanceID
	due     time.Duration
	samples []interference.Sample
	tails   []time.Duration
	signals []control.Signal
	usage   []usage
}

// usage is the resource use of a running task at the time of the report.
type usage struct {
	item *item
	ref  worker.Ref
	used unit.Resources
	age  time.Duration
}

// origin is the start of a replay as the wall time that the policies take.
var origin = time.Unix(0, 0)

// scheduler combines the scheduling policies for all zones of a trace, as the
// dispatchers of the shards do.
type scheduler struct {
	policy        Policy
	classes       []Class
	zones         []unit.ZoneID
	out           map[unit.ZoneID]bool
	shards        map[unit.ZoneID]placer
	indexes       map[unit.ZoneID]*placement.Index // the entries of shards that are an index
	free          map[unit.ZoneID]unit.Millicores  // unreserved cores
	workers       map[unit.InstanceID]Worker
	batchCapacity unit.Resources // of one worker; equal for all workers of a trace
	advisor       *interference.Advisor
	loop          *control.Loop
	sizes         *interference.SizeEstimator
	jobs          map[unit.JobID]*jobState
	pending       []*item
	running       []*item // in the order of their starts
	commands      []command
	admission     policy.Admission
}

// coreShareModel is the interference model of policies without a learned one. It
// weighs tasks by their cores alone.
type coreShareModel struct{ capacity unit.Millicores }

// Relief implements control.InterferenceModel.
func (c coreShareModel) Relief(_ unit.ClassID, _ unit.InstanceID, _ unit.ClassID, n unit.Millicores) float64 {
	return float64(n) / float64(c.capacity)
}

func newScheduler(p Policy, t *Trace) *scheduler {
	s := &scheduler{
		policy: p, classes: t.Classes, batchCapacity: t.Workers[0].Capacity.Sub(t.Workers[0].Reserved),
		out: map[unit.ZoneID]bool{}, shards: map[unit.ZoneID]placer{}, indexes: map[unit.ZoneID]*placement.Index{},
		free: map[unit.ZoneID]unit.Millicores{}, workers: map[unit.InstanceID]Worker{},
		advisor: interference.NewAdvisor(), sizes: interference.NewSizeEstimator(), jobs: map[unit.JobID]*jobState{},
	}
	s.loop = control.New(coreShareModel{t.Workers[0].Capacity.Cores})
	if p.Learn {
		s.loop = control.New(s.advisor)
	}
	for _, c := range t.Classes {
		s.advisor.SetTarget(c.Name, c.Kind, c.Target)
		if c.Kind == spec.KindRequest {
			s.loop.SetTarget(c.Name, c.Target)
		}
	}
	for _, w := range t.Workers {
		if _, ok := s.shards[w.Zone]; !ok {
			s.zones = append(s.zones, w.Zone)
			switch {
			case p.FirstFit:
				s.shards[w.Zone] = placement.NewFirstFit()
			case p.Learn:
				s.indexes[w.Zone] = placement.New(s.advisor)
			default:
				s.indexes[w.Zone] = placement.New(nil)
			}
			if x := s.indexes[w.Zone]; x != nil {
				s.shards[w.Zone] = x
			}
		}
		s.workers[w.ID] = w
		s.addWorker(w.ID)
	}
	return s
}

// addWorker adds a worker without tasks.
func (s *scheduler) addWorker(id unit.InstanceID) {
	w := s.workers[id]
	var serves []unit.ClassID
	for _, c := range s.classes {
		if c.Kind == spec.KindRequest {
			serves = append(serves, c.Name)
		}
	}
	s.advisor.UpsertWorker(id, w.Capacity.Cores, serves)
	s.upsert(w)
	s.free[w.Zone] += w.Capacity.Cores - w.Reserved.Cores
}

func (s *scheduler) upsert(w Worker) {
	s.shards[w.Zone].Upsert(w.ID, w.Rack, w.Capacity.Sub(w.Reserved), !s.out[w.Zone])
}

// removeWorker removes a lost worker and requeues its tasks.
func (s *scheduler) removeWorker(now time.Duration, id unit.InstanceID) {
	w := s.workers[id]
	for _, it := range slices.Clone(s.running) {
		if it.worker == id {
			s.release(it)
			s.requeue(it, now, taskLease)
		}
	}
	s.shards[w.Zone].Remove(id)
	s.advisor.RemoveWorker(id)
	s.loop.Remove(id)
	s.free[w.Zone] -= w.Capacity.Cores - w.Reserved.Cores
}

// setZone takes a zone out of service or back into it. If the policy says so, the
// batch tasks there are checkpointed, and the replicas are stopped, since other
// zones have their own.
func (s *scheduler) setZone(now time.Duration, zone unit.ZoneID, out bool) {
	s.out[zone] = out
	if out {
		s.admission.RecordZoneOut(origin.Add(now))
	}
	for _, w := range s.sortedWorkers() {
		if w.Zone == zone {
			s.upsert(w)
		}
	}
	if !out || !s.policy.CheckpointOnZoneOut {
		return
	}
	for _, it := range s.running {
		if it.zone == zone {
			kind := worker.ActionCheckpoint
			if it.class.Kind == spec.KindStanding {
				kind = worker.ActionStop
			}
			s.commands = append(s.commands, command{it, kind, "zone out of service"})
		}
	}
}

func (s *scheduler) sortedWorkers() []Worker {
	var all []Worker
	for _, w := range s.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *scheduler) submit(now time.Duration, j *Job) []*item {
	state := &jobState{
		id: j.ID, zone: j.Zone, declared: j.Declared, declaredWork: j.DeclaredWork.Std(), submitted: now,
	}
	i := slices.IndexFunc(s.classes, func(c Class) bool { return c.Name == j.Class })
	for n := range j.Tasks {
		state.items = append(state.items, &item{
			ref:   worker.Ref{Task: unit.TaskID{Job: j.ID, Index: unit.TaskIndex(n)}},
			class: &s.classes[i], job: state, memoryFactor: 1,
		})
	}
	s.jobs[j.ID] = state
	s.pending = append(s.pending, state.items...)
	return state.items
}

func (s *scheduler) cancel(id unit.JobID) {
	if j, ok := s.jobs[id]; ok {
		s.endJob(j, "cancelled")
	}
}

// endJob ends all tasks of a job without a retry.
func (s *scheduler) endJob(j *jobState, why string) {
	for _, it := range j.items {
		if it.running && !it.ended {
			s.commands = append(s.commands, command{it, worker.ActionStop, why})
		}
		it.ended = true
	}
}

// handleEnd records that a task has ended by itself.
func (s *scheduler) handleEnd(now time.Duration, it *item, outcome outcome, peak unit.Resources, work time.Duration) {
	id := it.worker
	s.release(it)
	if x := s.indexes[it.zone]; x != nil && outcome != outOfMemory {
		x.RecordOutcome(id, it.job.id, outcome == failed, origin.Add(now))
	}
	switch outcome {
	case done:
		it.ended = true
		it.job.done++
		it.job.trial.RecordPeak(peak, it.measured)
		s.sizes.Observe(interference.TaskUsage{
			Class: it.class.Name, Declared: it.job.declared, Peak: peak,
			DeclaredWork: it.job.declaredWork, Work: work,
		})
		return
	case outOfMemory:
		it.memoryFactor *= outOfMemoryFactor
		s.sizes.ObserveOutOfMemory(it.class.Name, it.job.declared, it.size)
	case failed:
		it.failures++
		if !slices.Contains(it.job.failedOn, id) {
			it.job.failedOn = append(it.job.failedOn, id)
		}
	}
	if s.policy.Targets && it.class.Kind == spec.KindBatch && it.job.done == 0 && len(it.job.failedOn) >= parkWorkers && outcome == failed {
		s.endJob(it.job, "parked")
	} else if !s.policy.Targets && it.failures >= baselineAttempts {
		it.ended = true
	}
	s.requeue(it, now, retryDelay)
}

// handleStop records that a task was stopped or checkpointed on command.
func (s *scheduler) handleStop(now time.Duration, it *item) {
	s.release(it)
	s.requeue(it, now, retryDelay)
}

func (s *scheduler) requeue(it *item, now, delay time.Duration) {
	if !it.ended {
		it.notBefore = now + delay
		s.pending = append(s.pending, it)
	}
}

func (s *scheduler) release(it *item) {
	s.shards[it.zone].Release(it.worker, it.ref)
	s.advisor.AdjustLoad(it.worker, it.class.Name, -1, -unit.Millicores(float64(it.size.Cores)*it.share))
	s.free[it.zone] += it.size.Cores
	s.running = slices.DeleteFunc(s.running, func(o *item) bool { return o == it })
	it.running = false
	it.job.trial.Running--
}

// handleReport updates the models from a report.
func (s *scheduler) handleReport(r report) {
	for i, sample := range r.samples {
		s.advisor.Observe(r.worker, sample, r.tails[i])
	}
	for _, signal := range r.signals {
		s.loop.Observe(signal)
	}
	for _, u := range r.usage {
		s.recordUsage(u)
	}
}

// recordUsage updates the size trial of a job from a running task.
func (s *scheduler) recordUsage(u usage) {
	it := u.item
	if u.ref == it.ref && it.class.Kind == spec.KindBatch {
		it.measured = it.job.trial.RecordUsage(u.used, it.size, u.age, it.measured)
	}
}

// step returns the commands of one tick. The resources of starts are reserved.
func (s *scheduler) step(now time.Duration) []command {
	for _, zone := range s.zones {
		if x := s.indexes[zone]; x != nil {
			x.StartProbes(origin.Add(now))
		}
	}
	commands := s.commands
	s.commands = nil
	if s.policy.Control {
		commands = append(commands, s.runControlLoop(now)...)
	}
	return append(commands, s.start(now)...)
}

// runControlLoop runs one step of the control loop over the running tasks.
func (s *scheduler) runControlLoop(now time.Duration) []command {
	ordered, tasks := s.controlTasks(now)
	return s.applyActions(ordered, s.loop.Step(origin.Add(now), tasks))
}

// controlTasks returns the running tasks in the order of their workers, as items
// and as input of the control loop.
func (s *scheduler) controlTasks(now time.Duration) ([]*item, []control.Task) {
	ordered := slices.Clone(s.running)
	slices.SortStableFunc(ordered, func(a, b *item) int { return cmp.Compare(a.worker, b.worker) })
	tasks := make([]control.Task, 0, len(ordered))
	for _, it := range ordered {
		t := control.Task{
			Ref: it.ref, Worker: it.worker, Class: it.class.Name, Size: it.size, Share: it.share,
			Standing: it.class.Kind == spec.KindStanding,
		}
		p := policy.TaskTiming{
			Started: origin.Add(it.started), DeclaredWork: it.job.declaredWork,
			Submitted: origin.Add(it.job.submitted), Finish: it.class.Target.Finish.Std(),
		}
		tasks = append(tasks, p.Estimate(origin.Add(now), t, s.sizes))
	}
	return ordered, tasks
}

func (s *scheduler) applyActions(running []*item, actions []control.Action) []command {
	var commands []command
	for _, a := range actions {
		i := slices.IndexFunc(running, func(it *item) bool { return it.ref == a.Ref })
		it := running[i]
		if a.Kind == worker.ActionThrottle {
			s.advisor.AdjustLoad(it.worker, it.class.Name, 0, policy.CoresDelta(it.size.Cores, it.share, a.Share))
			it.share = a.Share
		}
		commands = append(commands, command{it, a.Kind, a.Reason})
	}
	return commands
}
