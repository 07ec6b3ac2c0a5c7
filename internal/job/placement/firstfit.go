package placement

import (
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// FirstFit is the baseline: it proposes the first open worker by id on which the
// task fits, whatever else runs there. It neither overcommits nor learns.
type FirstFit struct {
	index *Index
	order []*record
}

// NewFirstFit returns an empty baseline placer.
func NewFirstFit() *FirstFit { return &FirstFit{index: New(nil)} }

// Upsert adds or changes a worker.
func (f *FirstFit) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	f.index.Upsert(id, rack, capacity, open)
	if i, ok := f.find(id); !ok {
		f.order = slices.Insert(f.order, i, f.index.workers[id])
	}
}

// Remove forgets a worker and its reservations.
func (f *FirstFit) Remove(id unit.InstanceID) {
	f.index.Remove(id)
	if i, ok := f.find(id); ok {
		f.order = slices.Delete(f.order, i, i+1)
	}
}

// Place proposes the first open worker on which the task fits.
func (f *FirstFit) Place(_ unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	for _, w := range f.order {
		if w.open && size.Valid() && size.Fits(w.free) {
			return w.id, true
		}
	}
	return "", false
}

// Reserve takes the resources of an attempt if they are free.
func (f *FirstFit) Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	return f.index.Reserve(id, ref, class, size)
}

// Release returns the resources of an attempt.
func (f *FirstFit) Release(id unit.InstanceID, ref worker.Ref) { f.index.Release(id, ref) }

func (f *FirstFit) find(id unit.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(f.order, id, func(w *record, id unit.InstanceID) int {
		switch {
		case w.id < id:
			return -1
		case w.id > id:
			return 1
		}
		return 0
	})
}
