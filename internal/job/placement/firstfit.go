package placement

import (
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// FirstFit is a baseline placer: it proposes the first open worker, in order of id,
// on which the task fits, regardless of interference. It does not overcommit.
type FirstFit struct {
	index *Index
	byID  []*workerState
}

// NewFirstFit returns an empty baseline placer.
func NewFirstFit() *FirstFit { return &FirstFit{index: New(nil)} }

// Upsert adds or changes a worker. Reservations are kept.
func (f *FirstFit) Upsert(id unit.InstanceID, rack unit.RackID, capacity unit.Resources, open bool) {
	f.index.Upsert(id, rack, capacity, open)
	if i, ok := f.find(id); !ok {
		f.byID = slices.Insert(f.byID, i, f.index.workers[id])
	}
}

// Remove removes a worker and its reservations.
func (f *FirstFit) Remove(id unit.InstanceID) {
	f.index.Remove(id)
	if i, ok := f.find(id); ok {
		f.byID = slices.Delete(f.byID, i, i+1)
	}
}

// Place proposes the first open worker on which the task fits.
func (f *FirstFit) Place(_ unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	for _, w := range f.byID {
		if w.open && size.Valid() && size.Fits(w.free) {
			return w.id, true
		}
	}
	return "", false
}

// Reserve reserves the resources of an attempt if they are free.
func (f *FirstFit) Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	return f.index.Reserve(id, ref, class, size)
}

// Release releases the resources of an attempt.
func (f *FirstFit) Release(id unit.InstanceID, ref worker.Ref) { f.index.Release(id, ref) }

func (f *FirstFit) find(id unit.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(f.byID, id, func(w *workerState, id unit.InstanceID) int {
		switch {
		case w.id < id:
			return -1
		case w.id > id:
			return 1
		}
		return 0
	})
}
