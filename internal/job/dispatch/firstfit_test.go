package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
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
