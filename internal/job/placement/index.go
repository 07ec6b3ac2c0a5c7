// Package placement proposes workers for tasks on vectors of cores, memory and
// accelerators, and keeps account of what is reserved on each worker, so that
// none is overcommitted. It is pure.
package placement

import (
	"math"
	"math/bits"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// Scorer estimates the harm of adding a task to a worker.
type Scorer interface {
	// Harm returns the expected harm to the latency-critical work of the worker,
	// where 0 is none and 1 is a doubled latency. An infinite harm forbids the
	// worker for the class.
	Harm(id unit.InstanceID, class unit.ClassID, size unit.Resources) float64
}

const (
	// coreStep and memoryStep are the width of the lowest band. A task smaller
	// than both is placed by scanning the lowest bands.
	coreStep   = unit.Millicores(250)
	memoryStep = unit.Bytes(256 << 20)

	coreBands        = 12 // up to 512 cores before the top band
	memoryBands      = 14 // up to 2 TiB
	acceleratorBands = 5  // 0, 1, 2-3, 4-7, 8 and more

	// maxCandidates bounds the workers that are scored for one task. More
	// improved the harm of the chosen worker by little in the benchmark's fleet.
	maxCandidates = 24
	// maxExamined bounds the workers examined for one task. A shard has about 79
	// workers at the scale target, so within a shard the search is exact.
	maxExamined = 256
	// maxRefused bounds the sizes that are remembered as not fitting anywhere.
	maxRefused = 16

	// rackWeight is the harm that counts as much as the rack having all running
	// tasks of the class. It decides between workers of similar harm.
	rackWeight = 0.10
	// fragmentWeight is the harm that counts as much as using up all of the free
	// cores of a worker but a useless rest.
	fragmentWeight = 0.02
)

type reservation struct {
	class unit.ClassID
	size  unit.Resources
}

type record struct {
	id       unit.InstanceID
	rack     *rack
	open     bool
	known    bool // Upsert was called; otherwise only adopted tasks are known
	capacity unit.Resources
	free     unit.Resources // negative components after a loss of capacity
	tasks    map[worker.Ref]reservation
	health   health
	cell     int // index into Index.cells, or -1 if not a candidate
	slot     int // position within the cell
}

type rack struct {
	tasks map[unit.ClassID]int
}

// Index holds the workers of one shard. The zero value is not usable; call New.
type Index struct {
	scorer  Scorer
	workers map[unit.InstanceID]*record
	racks   map[unit.RackID]*rack
	running map[unit.ClassID]int
	cells   [][]*record // by band of free cores, memory and accelerators
	cursor  int         // rotates the start of the scan of a cell
	refused []unit.Resources
	scratch []*record
	held    int // workers in quarantine
}

// New returns an empty index. A nil scorer expects no harm anywhere.
func New(scorer Scorer) *Index {
	return &Index{
		scorer:  scorer,
		workers: map[unit.InstanceID]*record{},
		racks:   map[unit.RackID]*rack{},
		running: map[unit.ClassID]int{},
		cells:   make([][]*record, coreBands*memoryBands*acceleratorBands),
	}
}

// Upsert adds a worker or changes its rack, capacity or whether it is open for
// new tasks. Reservations stay. If less capacity is left than is reserved, the
// worker is not a candidate until enough is released.
func (x *Index) Upsert(id unit.InstanceID, rackID unit.RackID, capacity unit.Resources, open bool) {
	w := x.record(id)
	target := x.rack(rackID)
	if w.rack != target {
		for _, r := range w.tasks {
			w.rack.tasks[r.class]--
			target.tasks[r.class]++
		}
		w.rack = target
	}
	w.free = w.free.Add(capacity.Sub(w.capacity))
	w.capacity = capacity
	w.open = open
	w.known = true
	x.refused = x.refused[:0]
	x.file(w)
}

// Remove forgets a worker and its reservations.
func (x *Index) Remove(id unit.InstanceID) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	for _, r := range w.tasks {
		x.count(w, r.class, -1)
	}
	if w.health.held {
		x.held--
	}
	x.unfile(w)
	delete(x.workers, id)
}

// Place proposes an open worker on which the task fits, or reports false. It
// reserves nothing.
func (x *Index) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	if !size.Valid() || slices.ContainsFunc(x.refused, func(r unit.Resources) bool { return r.Fits(size) }) {
		return "", false
	}
	found, complete := x.candidates(size)
	if len(found) == 0 {
		if complete && len(x.refused) < maxRefused {
			x.refused = append(x.refused, size)
		}
		return "", false
	}
	var best *record
	lowest := math.Inf(1)
	for _, w := range found {
		if score := x.score(w, class, size); score < lowest {
			best, lowest = w, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Reserve takes the resources of an attempt on a worker and reports whether they
// were free, or are reserved for this attempt already. It does not ask whether
// the worker is open, so that tasks found on a draining worker are counted.
func (x *Index) Reserve(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) bool {
	w, ok := x.workers[id]
	if !ok || !size.Valid() {
		return false
	}
	if r, ok := w.tasks[ref]; ok {
		return r == reservation{class, size}
	}
	if !size.Fits(w.free) {
		return false
	}
	x.take(w, ref, class, size)
	return true
}

// Adopt counts an attempt that already runs on the worker, even if it does not
// fit: after a takeover, or if the worker lost capacity.
func (x *Index) Adopt(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) {
	w := x.record(id)
	if _, ok := w.tasks[ref]; !ok {
		x.take(w, ref, class, size)
	}
}

// Release returns the resources of an attempt. It has no effect if the attempt
// has no reservation on the worker.
func (x *Index) Release(id unit.InstanceID, ref worker.Ref) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	r, ok := w.tasks[ref]
	if !ok {
		return
	}
	delete(w.tasks, ref)
	w.free = w.free.Add(r.size)
	x.count(w, r.class, -1)
	x.refused = x.refused[:0]
	x.file(w)
}

// Free returns the unreserved resources of a worker.
func (x *Index) Free(id unit.InstanceID) unit.Resources {
	if w, ok := x.workers[id]; ok {
		return w.free
	}
	return unit.Resources{}
}

func (x *Index) record(id unit.InstanceID) *record {
	w, ok := x.workers[id]
	if !ok {
		w = &record{id: id, rack: x.rack(""), tasks: map[worker.Ref]reservation{}, cell: -1}
		x.workers[id] = w
	}
	return w
}

func (x *Index) rack(id unit.RackID) *rack {
	r, ok := x.racks[id]
	if !ok {
		r = &rack{tasks: map[unit.ClassID]int{}}
		x.racks[id] = r
	}
	return r
}

func (x *Index) take(w *record, ref worker.Ref, class unit.ClassID, size unit.Resources) {
	w.tasks[ref] = reservation{class, size}
	w.free = w.free.Sub(size)
	x.count(w, class, 1)
	x.file(w)
}

func (x *Index) count(w *record, class unit.ClassID, n int) {
	w.rack.tasks[class] += n
	x.running[class] += n
}

// score adds to the expected harm a small preference for racks with few tasks of
// the class and against leaving a rest that fits little.
func (x *Index) score(w *record, class unit.ClassID, size unit.Resources) float64 {
	score := 0.0
	if x.scorer != nil {
		score = x.scorer.Harm(w.id, class, size)
	}
	if n := x.running[class]; n > 0 {
		score += rackWeight * float64(w.rack.tasks[class]) / float64(n)
	}
	if w.capacity.Cores > 0 {
		score += fragmentWeight * (1 - float64(w.free.Cores-size.Cores)/float64(w.capacity.Cores))
	}
	return score
}

// candidates returns workers on which the size fits, and whether all workers
// that could hold it were examined. Half of them come from the emptiest workers,
// which usually suffer least, and half from the fullest, which keeps large rests
// for large tasks.
func (x *Index) candidates(size unit.Resources) (found []*record, complete bool) {
	x.cursor++
	found = x.scratch[:0]
	examined := 0
	lowCore, lowMemory, lowAccelerator := coreBand(size.Cores), memoryBand(size.Memory), acceleratorBand(size.Accelerators)
	scan := func(c, m, a, limit int) {
		cell := x.cells[cellOf(c, m, a)]
		for i := range cell {
			if len(found) >= limit || examined >= maxExamined {
				return
			}
			examined++
			w := cell[(i+x.cursor)%len(cell)]
			if size.Fits(w.free) && !slices.Contains(found, w) {
				found = append(found, w)
			}
		}
	}
	// Accelerators are left to the tasks that need them while others fit.
	for a := lowAccelerator; a < acceleratorBands && len(found) == 0; a++ {
		for c := coreBands - 1; c >= lowCore && len(found) < maxCandidates/2; c-- {
			for m := memoryBands - 1; m >= lowMemory; m-- {
				scan(c, m, a, maxCandidates/2)
			}
		}
		for c := lowCore; c < coreBands && len(found) < maxCandidates; c++ {
			for m := lowMemory; m < memoryBands; m++ {
				scan(c, m, a, maxCandidates)
			}
		}
	}
	x.scratch = found
	return found, examined < maxExamined
}

// file puts the worker into the cell of its free resources.
func (x *Index) file(w *record) {
	cell := -1
	if w.known && w.open && w.health.admits(len(w.tasks)) && w.free.Cores >= 0 && w.free.Memory >= 0 && w.free.Accelerators >= 0 {
		cell = cellOf(coreBand(w.free.Cores), memoryBand(w.free.Memory), acceleratorBand(w.free.Accelerators))
	}
	if cell == w.cell {
		return
	}
	x.unfile(w)
	if cell >= 0 {
		w.cell, w.slot = cell, len(x.cells[cell])
		x.cells[cell] = append(x.cells[cell], w)
	}
}

func (x *Index) unfile(w *record) {
	if w.cell < 0 {
		return
	}
	cell := x.cells[w.cell]
	last := cell[len(cell)-1]
	cell[w.slot], last.slot = last, w.slot
	cell[len(cell)-1] = nil
	x.cells[w.cell] = cell[:len(cell)-1]
	w.cell = -1
}

func cellOf(c, m, a int) int { return (a*coreBands+c)*memoryBands + m }

func coreBand(n unit.Millicores) int {
	return min(bits.Len64(uint64(n/coreStep)), coreBands-1)
}

func memoryBand(n unit.Bytes) int {
	return min(bits.Len64(uint64(n/memoryStep)), memoryBands-1)
}

func acceleratorBand(n unit.Accelerators) int {
	return min(bits.Len32(uint32(n)), acceleratorBands-1)
}
