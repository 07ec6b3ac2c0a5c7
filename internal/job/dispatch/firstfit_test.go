package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// firstFit is a placer that chooses the first open worker by id on which a task
// fits.
type firstFit struct {
	ids     []unit.InstanceID
	workers map[unit.InstanceID]*fitWorker
}

type fitWorker struct {
	capacity unit.Resources
	open     bool
	tasks    map[worker.Ref]unit.Resources
}

func (f *firstFit) free(id unit.InstanceID) unit.Resources {
	free := f.workers[id].capacity
	for _, size := range f.workers[id].tasks {
		free = free.Sub(size)
	}
	return free
}

func (f *firstFit) Place(_ unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	for _, id := range f.ids {
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
		f.workers = map[unit.InstanceID]*fitWorker{}
	}
	w := f.workers[id]
	if w == nil {
		w = &fitWorker{tasks: map[worker.Ref]unit.Resources{}}
		f.workers[id] = w
		f.ids = append(f.ids, id)
		slices.Sort(f.ids)
	}
	w.capacity, w.open = capacity, open
}

func (f *firstFit) Remove(id unit.InstanceID) {
	delete(f.workers, id)
	f.ids = slices.DeleteFunc(f.ids, func(o unit.InstanceID) bool { return o == id })
}

// policyPlacer is a PlacementPolicy whose task sizes differ from the declared
// ones and change with time, and which periodically admits no batch task.
type policyPlacer struct {
	firstFit
	sim *sim
}

func (a *policyPlacer) Describe(*queue.Job) {}

func (a *policyPlacer) Admit(j *queue.Job) (why string, ok bool) {
	return "closed", j.Class != "batch" || a.sim.now/(5*time.Second)%4 != 0
}

func (a *policyPlacer) Size(j *queue.Job) unit.Resources {
	size := j.Size
	size.Cores = min(size.Cores*unit.Millicores(1+a.sim.now/(7*time.Second)%4)/2, max(simCapacity.Cores, size.Cores))
	return size
}

func (a *policyPlacer) Refusal(*queue.Job) (why string, nearest unit.InstanceID) {
	return "no room", ""
}
