package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// maxObservations is the number of recent tasks kept per class. It limits the
	// memory to 1.5 KB per class and lets the estimate adapt to a change within 64
	// tasks.
	maxObservations = 64

	// A task with too few cores runs longer; one with too little memory fails early
	// and is started again with more. Higher quantiles would reserve several times
	// what most tasks use, since the errors of declared sizes vary widely.
	coresQuantile  = 0.7
	memoryQuantile = 0.75
	memoryMargin   = 1.15
	workQuantile   = 0.5
	boundQuantile  = 0.9

	// minJobTasks is the number of completed tasks from which the size of a job's
	// next task is estimated from that job alone. The next task exceeds the highest
	// of five in one case of six, and memoryMargin covers most of these.
	minJobTasks = 5

	// confidenceDeviate is the one-sided normal deviate for 95% confidence.
	confidenceDeviate = 1.645
	// minCores and minMemory are lower bounds of an estimated size.
	minCores  = unit.Millicores(100)
	minMemory = unit.Bytes(64 << 20)
	// outOfMemoryFactor is the factor by which a task that ran out of memory is
	// assumed to need more than it was given.
	outOfMemoryFactor = 1.5
)

// TaskUsage is the peak usage of a completed task, and what was declared for it.
type TaskUsage struct {
	Class    unit.ClassID
	Declared unit.Resources
	Peak     unit.Resources
	// DeclaredWork and Work are the run time at full cores. Both are 0 if the class
	// runs until it is stopped.
	DeclaredWork, Work time.Duration
}

// usageRatios holds the recent ratios of used to declared resources of one class.
type usageRatios struct {
	cores, memory, work recentRatios
}

// SizeEstimator estimates the actual size and run time of the tasks of a class from
// the ratios of usage to declaration of recent tasks. Create it with
// NewSizeEstimator.
type SizeEstimator struct {
	classes map[unit.ClassID]*usageRatios
}

// NewSizeEstimator returns an estimator without observations, which returns
// declared values.
func NewSizeEstimator() *SizeEstimator {
	return &SizeEstimator{classes: map[unit.ClassID]*usageRatios{}}
}

// Observe updates the estimates from a completed task.
func (s *SizeEstimator) Observe(u TaskUsage) {
	ratios := s.classRatios(u.Class)
	ratios.cores.add(ratio(float64(u.Peak.Cores), float64(u.Declared.Cores)))
	ratios.memory.add(ratio(float64(u.Peak.Memory), float64(u.Declared.Memory)))
	ratios.work.add(ratio(float64(u.Work), float64(u.DeclaredWork)))
}

// ObserveOutOfMemory updates the memory estimate from a task that ran out of
// memory.
func (s *SizeEstimator) ObserveOutOfMemory(class unit.ClassID, declared, given unit.Resources) {
	s.classRatios(class).memory.add(ratio(outOfMemoryFactor*float64(given.Memory), float64(declared.Memory)))
}

// JobPeak is the highest usage of the tasks of one job. All tasks of a job are
// alike, so a few of them are a better estimate than the class.
type JobPeak struct {
	Tasks int // number of tasks that completed, or ran long enough to show their size
	Usage unit.Resources
}

// Add includes another task of the job.
func (p *JobPeak) Add(used unit.Resources) {
	p.Tasks++
	p.Raise(used)
}

// Raise includes a later usage of a task that Add has counted.
func (p *JobPeak) Raise(used unit.Resources) {
	p.Usage.Cores = max(p.Usage.Cores, used.Cores)
	p.Usage.Memory = max(p.Usage.Memory, used.Memory)
	p.Usage.Accelerators = max(p.Usage.Accelerators, used.Accelerators)
}

// Known reports whether enough tasks were observed to estimate the size from the
// job alone. Until then only a few tasks should start where capacity is scarce.
func (p *JobPeak) Known() bool { return p.Tasks >= minJobTasks }

// Size returns the size to reserve for a task of a job, and whether it is
// confident. Without confidence it is at least the declared size.
func (s *SizeEstimator) Size(class unit.ClassID, declared unit.Resources, job JobPeak) (unit.Resources, bool) {
	if job.Known() {
		size := declared
		size.Cores = max(job.Usage.Cores, min(minCores, declared.Cores))
		size.Memory = max(unit.Bytes(memoryMargin*float64(job.Usage.Memory)), min(minMemory, declared.Memory))
		return size, true
	}
	ratios, ok := s.classes[class]
	if !ok {
		return declared, false
	}
	cores, coresConfident := ratios.cores.upperQuantile(coresQuantile)
	memory, memoryConfident := ratios.memory.upperQuantile(memoryQuantile)
	size := declared
	if cores > 0 {
		size.Cores = max(unit.Millicores(math.Ceil(float64(declared.Cores)*cores)), min(minCores, declared.Cores))
	}
	if memory > 0 {
		size.Memory = max(unit.Bytes(math.Ceil(float64(declared.Memory)*memory*memoryMargin)), min(minMemory, declared.Memory))
	}
	if !coresConfident {
		size.Cores = max(size.Cores, declared.Cores)
	}
	if !memoryConfident {
		size.Memory = max(size.Memory, declared.Memory)
	}
	return size, coresConfident && memoryConfident
}

// Work returns the expected median run time, an upper bound that nine of ten tasks
// keep, and whether both are confident.
func (s *SizeEstimator) Work(class unit.ClassID, declared time.Duration) (median, bound time.Duration, confident bool) {
	ratios, ok := s.classes[class]
	if !ok || ratios.work.added == 0 {
		return declared, declared, false
	}
	medianRatio, medianConfident := ratios.work.upperQuantile(workQuantile)
	boundRatio, boundConfident := ratios.work.upperQuantile(boundQuantile)
	return time.Duration(medianRatio * float64(declared)), time.Duration(boundRatio * float64(declared)), medianConfident && boundConfident
}

// classRatios returns the ratios of a class, and creates them if there are none.
func (s *SizeEstimator) classRatios(class unit.ClassID) *usageRatios {
	r, ok := s.classes[class]
	if !ok {
		r = &usageRatios{}
		s.classes[class] = r
	}
	return r
}

// ratio returns used over declared, or 0 if nothing was declared.
func ratio(used, declared float64) float64 {
	if declared <= 0 {
		return 0
	}
	return used / declared
}

// recentRatios keeps the most recent positive ratios in a ring buffer.
type recentRatios struct {
	values [maxObservations]float64
	added  int // number of ratios added since the start
}

func (r *recentRatios) add(v float64) {
	if v <= 0 {
		return
	}
	r.values[r.added%maxObservations] = v
	r.added++
}

// upperQuantile returns an upper bound of the quantile with 95% confidence, which
// is an order statistic of the kept ratios. With too few ratios it returns the
// greatest of them and false.
func (r *recentRatios) upperQuantile(q float64) (float64, bool) {
	kept := min(r.added, maxObservations)
	if kept == 0 {
		return 0, false
	}
	sorted := slices.Clone(r.values[:kept])
	slices.Sort(sorted)
	n := float64(kept)
	rank := int(math.Ceil(n*q + confidenceDeviate*math.Sqrt(n*q*(1-q))))
	if rank > kept {
		return sorted[kept-1], false
	}
	return sorted[rank-1], true
}
