// Package placement proposes workers for tasks by their free cores, memory and
// accelerators, and tracks the reservations on each worker, so that none is
// overcommitted. It does no I/O and reads no clock.
package placement

import (
	"math"
	"math/bits"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// Scorer estimates how much a task would harm the requests on a worker.
type Scorer interface {
	// Harm returns the expected harm to the latency-critical work of the worker,
	// where 0 is none and 1 uses up the latency headroom that placement may use.
	// Infinite harm excludes the worker for the class.
	Harm(id unit.InstanceID, class unit.ClassID, size unit.Resources) float64
}

const (
	// coreBandWidth and memoryBandWidth are the widths of the lowest two bands; each
	// band above is twice as wide as the one below it. The search for a task smaller
	// than both starts at the lowest bands.
	coreBandWidth   = unit.Millicores(250)
	memoryBandWidth = unit.Bytes(256 << 20)

	coreBands        = 12 // the top band starts at 256 cores
	memoryBands      = 14 // the top band starts at 1 TiB
	acceleratorBands = 5  // 0, 1, 2-3, 4-7, 8 and more

	// maxCandidates bounds the workers that are scored for one task. In the fleet of
	// the benchmark, more candidates hardly reduced the harm of the chosen worker.
	maxCandidates = 24
	// maxExamined bounds the workers examined for one task. A shard has about 79
	// workers at the scale target, so the search within a shard is exhaustive.
	maxExamined = 256
	// maxUnplaceable bounds the number of sizes that are remembered as fitting on no
	// worker.
	maxUnplaceable = 16

	// rackWeight is added to the harm of a worker whose rack has all running tasks of
	// the class, and in proportion if it has a part of them. It decides between
	// workers of similar harm.
	rackWeight = 0.10
	// fragmentationWeight is added to the harm of a worker that the task would leave
	// without free cores, and in proportion if it would use a part of the capacity.
	fragmentationWeight = 0.02
)

type reservation struct {
	class unit.ClassID
	size  unit.Resources
}

type workerState struct {
	id   unit.InstanceID
	rack *rack
	open bool
	// listed is set by Upsert. A worker that is not listed has adopted tasks only.
	listed   bool
	capacity unit.Resources
	// free has negative components if more is reserved than the capacity.
	free   unit.Resources
	tasks  map[worker.Ref]reservation
	health health
	// cell is the index into Index.cells, or -1 if the worker is not a candidate.
	cell int
	// position is the index within the cell.
	position int
}

// rack counts the tasks of each class on the workers of a rack.
type rack struct {
	tasks map[unit.ClassID]int
}

// Index holds the workers of one shard. The zero value is not usable; call New.
type Index struct {
	scorer  Scorer
	workers map[unit.InstanceID]*workerState
	racks   map[unit.RackID]*rack
	// running counts the tasks of each class on all workers.
	running map[unit.ClassID]int
	// cells has the candidates by the bands of their free cores, memory and
	// accelerators.
	cells [][]*workerState
	// cursor rotates the start of the scan of a cell.
	cursor int
	// unplaceable has sizes that fit on no worker until resources become free.
	unplaceable      []unit.Resources
	candidateBuffer  []*workerState
	quarantinedCount int
}

// New returns an empty index. A nil scorer expects no harm anywhere.
func New(scorer Scorer) *Index {
	return &Index{
		scorer:  scorer,
		workers: map[unit.InstanceID]*workerState{},
		racks:   map[unit.RackID]*rack{},
		running: map[unit.ClassID]int{},
		cells:   make([][]*workerState, coreBands*memoryBands*acceleratorBands),
	}
}

// Upsert adds a worker or changes its rack, capacity or whether it is open for
// new tasks. Reservations are kept. If more is reserved than the new capacity, the
// worker is not a candidate until enough is released.
func (x *Index) Upsert(id unit.InstanceID, rackID unit.RackID, capacity unit.Resources, open bool) {
	w := x.ensureWorker(id)
	target := x.ensureRack(rackID)
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
	w.listed = true
	x.unplaceable = x.unplaceable[:0]
	x.updateCell(w)
}

// Remove removes a worker and its reservations.
func (x *Index) Remove(id unit.InstanceID) {
	w, ok := x.workers[id]
	if !ok {
		return
	}
	for _, r := range w.tasks {
		x.addToCounts(w, r.class, -1)
	}
	if w.health.quarantined {
		x.quarantinedCount--
	}
	x.removeFromCell(w)
	delete(x.workers, id)
}

// Place proposes an open worker on which the task fits, or reports false. It
// reserves nothing.
func (x *Index) Place(class unit.ClassID, size unit.Resources) (unit.InstanceID, bool) {
	if !size.Valid() || slices.ContainsFunc(x.unplaceable, func(r unit.Resources) bool { return r.Fits(size) }) {
		return "", false
	}
	found, complete := x.candidates(size)
	if len(found) == 0 {
		if complete && len(x.unplaceable) < maxUnplaceable {
			x.unplaceable = append(x.unplaceable, size)
		}
		return "", false
	}
	var best *workerState
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

// Reserve reserves the resources of an attempt on a worker and reports whether they
// were free or are already reserved for this attempt. It ignores whether the worker
// is open, so that tasks found on a draining worker are counted.
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
	x.addReservation(w, ref, class, size)
	return true
}

// Adopt reserves the resources of an attempt that already runs on the worker, even
// if they are not free: after a takeover, or if the worker lost capacity.
func (x *Index) Adopt(id unit.InstanceID, ref worker.Ref, class unit.ClassID, size unit.Resources) {
	w := x.ensureWorker(id)
	if _, ok := w.tasks[ref]; !ok {
		x.addReservation(w, ref, class, size)
	}
}

// Release releases the resources of an attempt. It has no effect if the attempt has
// no reservation on the worker.
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
	x.addToCounts(w, r.class, -1)
	x.unplaceable = x.unplaceable[:0]
	x.updateCell(w)
}

// Free returns the unreserved resources of a worker.
func (x *Index) Free(id unit.InstanceID) unit.Resources {
	if w, ok := x.workers[id]; ok {
		return w.free
	}
	return unit.Resources{}
}

// ensureWorker returns the state of a worker and creates it if there is none.
func (x *Index) ensureWorker(id unit.InstanceID) *workerState {
	w, ok := x.workers[id]
	if !ok {
		w = &workerState{id: id, rack: x.ensureRack(""), tasks: map[worker.Ref]reservation{}, cell: -1}
		x.workers[id] = w
	}
	return w
}

func (x *Index) ensureRack(id unit.RackID) *rack {
	r, ok := x.racks[id]
	if !ok {
		r = &rack{tasks: map[unit.ClassID]int{}}
		x.racks[id] = r
	}
	return r
}

func (x *Index) addReservation(w *workerState, ref worker.Ref, class unit.ClassID, size unit.Resources) {
	w.tasks[ref] = reservation{class, size}
	w.free = w.free.Sub(size)
	x.addToCounts(w, class, 1)
	x.updateCell(w)
}

func (x *Index) addToCounts(w *workerState, class unit.ClassID, n int) {
	w.rack.tasks[class] += n
	x.running[class] += n
}

// score returns the expected harm plus small penalties for racks with many tasks of
// the class and for leaving few free cores. The lowest score is best.
func (x *Index) score(w *workerState, class unit.ClassID, size unit.Resources) float64 {
	score := 0.0
	if x.scorer != nil {
		score = x.scorer.Harm(w.id, class, size)
	}
	if n := x.running[class]; n > 0 {
		score += rackWeight * float64(w.rack.tasks[class]) / float64(n)
	}
	if w.capacity.Cores > 0 {
		score += fragmentationWeight * (1 - float64(w.free.Cores-size.Cores)/float64(w.capacity.Cores))
	}
	return score
}

// candidates returns workers on which the size fits, and whether all workers that
// could hold it were examined. Half of them come from the emptiest workers, where the
// harm is usually lowest, and half from the fullest, which keeps large free blocks
// for large tasks.
func (x *Index) candidates(size unit.Resources) (found []*workerState, complete bool) {
	x.cursor++
	found = x.candidateBuffer[:0]
	examined := 0
	lowCore, lowMemory, lowAccelerator := coreBand(size.Cores), memoryBand(size.Memory), acceleratorBand(size.Accelerators)
	scan := func(c, m, a, limit int) {
		cell := x.cells[cellIndex(c, m, a)]
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
	// Workers with more accelerators are considered only if none with fewer fits, so
	// that accelerators stay free for the tasks that need them.
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
	x.candidateBuffer = found
	return found, examined < maxExamined
}

// updateCell moves the worker to the cell of its free resources, or to none if it is
// not a candidate.
func (x *Index) updateCell(w *workerState) {
	cell := -1
	if w.listed && w.open && w.health.admits(len(w.tasks)) && w.free.Cores >= 0 && w.free.Memory >= 0 && w.free.Accelerators >= 0 {
		cell = cellIndex(coreBand(w.free.Cores), memoryBand(w.free.Memory), acceleratorBand(w.free.Accelerators))
	}
	if cell == w.cell {
		return
	}
	x.removeFromCell(w)
	if cell >= 0 {
		w.cell, w.position = cell, len(x.cells[cell])
		x.cells[cell] = append(x.cells[cell], w)
	}
}

func (x *Index) removeFromCell(w *workerState) {
	if w.cell < 0 {
		return
	}
	cell := x.cells[w.cell]
	last := cell[len(cell)-1]
	cell[w.position], last.position = last, w.position
	cell[len(cell)-1] = nil
	x.cells[w.cell] = cell[:len(cell)-1]
	w.cell = -1
}

func cellIndex(c, m, a int) int { return (a*coreBands+c)*memoryBands + m }

func coreBand(n unit.Millicores) int {
	return min(bits.Len64(uint64(n/coreBandWidth)), coreBands-1)
}

func memoryBand(n unit.Bytes) int {
	return min(bits.Len64(uint64(n/memoryBandWidth)), memoryBands-1)
}

func acceleratorBand(n unit.Accelerators) int {
	return min(bits.Len32(uint32(n)), acceleratorBands-1)
}
