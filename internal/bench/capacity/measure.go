package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Quantity is what a series measures.
type Quantity string

// Quantities.
const (
	Encoded Quantity = "bytes"    // of an encoded form or on the wire
	Heap    Quantity = "heap"     // bytes of live heap after garbage collection
	Allocs  Quantity = "allocs"   // allocations per operation
	CPU     Quantity = "cpu"      // microseconds of processor time per operation
	Rate    Quantity = "messages" // messages per second of virtual time
)

// Series is one quantity of one probe at several sizes.
type Series struct {
	Probe    string   `json:"probe"`
	Package  string   `json:"package"`
	Quantity Quantity `json:"quantity"`
	Of       string   `json:"of"` // what X counts
	Points   []Point  `json:"points"`
	Line     Line     `json:"line"`
}

// probe prepares an operation at several sizes.
type probe struct {
	name    string
	of      string
	pkg     string
	sizes   []int
	prepare func(n int) (operation, error)
}

// operation is what a probe measures at one size.
type operation struct {
	state   any        // retained while the heap is measured
	encoded int        // 0 if there is no encoded form
	run     func()     // one operation; nil if there is none
	more    []quantity // further quantities that the preparation counted
	close   func()
}

type quantity struct {
	name     string // suffix of the probe's name
	quantity Quantity
	value    float64
}

// Effort bounds the time that processor times take.
type Effort struct {
	Runs int           // repeated runs, of which the median counts; 0 leaves processor times out
	Span time.Duration // least processor time of one run
}

// DefaultEffort is enough for spreads of some 10% on a machine that others use.
var DefaultEffort = Effort{Runs: 5, Span: 15 * time.Millisecond}

// measure runs a probe at all its sizes.
func (p probe) measure(effort Effort) ([]Series, error) {
	var all []Series
	index := map[[2]string]int{}
	add := func(name string, q Quantity, point Point) {
		key := [2]string{name, string(q)}
		i, ok := index[key]
		if !ok {
			i = len(all)
			index[key] = i
			all = append(all, Series{Probe: name, Package: p.pkg, Quantity: q, Of: p.of})
		}
		all[i].Points = append(all[i].Points, point)
	}
	for _, n := range p.sizes {
		x := float64(n)
		before := liveHeap()
		op, err := p.prepare(n)
		if err != nil {
			if op.close != nil {
				op.close()
			}
			return nil, errors.Errorf("probe %s at %d %s: %w", p.name, n, p.of, err)
		}
		if op.state != nil {
			add(p.name, Heap, Point{X: x, Y: float64(liveHeap() - before)})
		}
		if op.encoded > 0 {
			add(p.name, Encoded, Point{X: x, Y: float64(op.encoded)})
		}
		for _, q := range op.more {
			add(p.name+q.name, q.quantity, Point{X: x, Y: q.value})
		}
		if op.run != nil && effort.Runs > 0 {
			add(p.name, Allocs, Point{X: x, Y: allocations(op.run)})
			point := processorTime(op.run, effort)
			point.X = x
			add(p.name, CPU, point)
		}
		runtime.KeepAlive(op)
		if op.close != nil {
			op.close()
		}
	}
	for i := range all {
		var err error
		if all[i].Line, err = Fit(all[i].Points); err != nil {
			return nil, errors.Errorf("probe %s: %w", p.name, err)
		}
	}
	return all, nil
}

// liveHeap returns the bytes of live heap objects. The second collection frees
// what finalizers and pools held during the first.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// allocations returns the mean number of allocations of one run.
func allocations(run func()) float64 {
	const runs = 20
	run()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		run()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / runs
}

// processorTime returns the processor time of one run in microseconds. It counts
// the whole process, so garbage collection is included and time during which the
// machine runs other programs is not.
func processorTime(run func(), effort Effort) Point {
	count := 1
	for { // warm-up, and the count that fills the span
		spent := usedBy(run, count)
		if spent >= effort.Span {
			break
		}
		count *= 2
	}
	values := make([]float64, effort.Runs)
	for i := range values {
		values[i] = float64(usedBy(run, count).Nanoseconds()) / 1000 / float64(count)
	}
	var p Point
	p.Y, p.Spread = median(values)
	return p
}

func usedBy(run func(), count int) time.Duration {
	before := processorUsed()
	for range count {
		run()
	}
	return processorUsed() - before
}

// processorUsed returns the processor time of the process so far.
func processorUsed() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // not possible with a valid argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
