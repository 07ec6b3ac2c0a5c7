package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

const (
	// maxObservations is the number of ended tasks kept per class. It bounds the memory
	// to 1.5 KB a class and lets the estimate follow a change within 64 tasks.
	maxObservations = 64

	// A task that gets too few cores runs longer; one that gets too little memory
	// fails early and is started again with more. Higher quantiles reserve several
	// times of what most tasks use, since the errors of declared sizes are wide.
	coresQuantile  = 0.7
	memoryQuantile = 0.75
	memoryMargin   = 1.15
	workQuantile   = 0.5
	boundQuantile  = 0.9

	// minJobTasks is the number of done tasks after which a job is judged by them
	// alone: the next is above the highest of five in one case of six, and the
	// margin covers most of these.
	minJobTasks = 5

	// confidenceDeviate is the one-sided normal deviate of 95%.
	confidenceDeviate = 1.645
	// smallest bounds the size that is estimated for a task from below.
	minCores  = unit.Millicores(100)
	minMemory = unit.Bytes(64 << 20)
	// outOfMemoryFactor is the factor by which a task that ran out of memory is taken to
	// need more than it was given.
	outOfMemoryFactor = 1.5
)

// TaskUsage is what a task that was done had used at its peak, and what was declared.
type TaskUsage struct {
	Class    unit.ClassID
	Declared unit.Resources
	Peak     unit.Resources
	// DeclaredWork and Work are the run time at full cores; both 0 if the class
	// runs until it is stopped.
	DeclaredWork, Work time.Duration
}

type usageRatios struct {
	cores, memory, work recentRatios
}

// SizeEstimator estimates the real size and run time of the tasks of a class from the
// ratio of what ended tasks used to what was declared. The zero value is not
// usable; call NewSizes.
type SizeEstimator struct {
	classes map[unit.ClassID]*usageRatios
}

// NewSizeEstimator returns estimates that know only what is declared.
func NewSizeEstimator() *SizeEstimator {
	return &SizeEstimator{classes: map[unit.ClassID]*usageRatios{}}
}

// Observe learns from a task that was done.
func (s *SizeEstimator) Observe(u TaskUsage) {
	r := s.classRatios(u.Class)
	r.cores.add(ratio(float64(u.Peak.Cores), float64(u.Declared.Cores)))
	r.memory.add(ratio(float64(u.Peak.Memory), float64(u.Declared.Memory)))
	r.work.add(ratio(float64(u.Work), float64(u.DeclaredWork)))
}

// ObserveOutOfMemory learns from a task that failed since its memory did not suffice.
func (s *SizeEstimator) ObserveOutOfMemory(class unit.ClassID, declared, given unit.Resources) {
	s.classRatios(class).memory.add(ratio(outOfMemoryFactor*float64(given.Memory), float64(declared.Memory)))
}

// JobPeak is what the tasks of one job have used at most. All tasks of a job are
// alike, so a few of them tell more than the class.
type JobPeak struct {
	Tasks int // that were done, or ran long enough to show their size
	Usage unit.Resources
}

// Add counts a task of the job.
func (p *JobPeak) Add(used unit.Resources) {
	p.Tasks++
	p.Raise(used)
}

// Raise notes the usage of a task that is counted already.
func (p *JobPeak) Raise(used unit.Resources) {
	p.Usage.Cores = max(p.Usage.Cores, used.Cores)
	p.Usage.Memory = max(p.Usage.Memory, used.Memory)
	p.Usage.Accelerators = max(p.Usage.Accelerators, used.Accelerators)
}

// Known reports whether the job is judged by its own tasks. Until then it is
// worth starting only a few of them where capacity is short.
func (p *JobPeak) Known() bool { return p.Tasks >= minJobTasks }

// Size returns the size to reserve for a task of a job, and whether it is
// estimated with confidence. Without confidence it is at least the declared size.
func (s *SizeEstimator) Size(class unit.ClassID, declared unit.Resources, job JobPeak) (unit.Resources, bool) {
	if job.Known() {
		size := declared
		size.Cores = max(job.Usage.Cores, min(minCores, declared.Cores))
		size.Memory = max(unit.Bytes(memoryMargin*float64(job.Usage.Memory)), min(minMemory, declared.Memory))
		return size, true
	}
	r, ok := s.classes[class]
	if !ok {
		return declared, false
	}
	cores, coresConfident := r.cores.upperQuantile(coresQuantile)
	memory, memoryConfident := r.memory.upperQuantile(memoryQuantile)
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

// Work returns the median run time to expect, an upper bound that nine tasks in
// ten keep, and whether both are estimated with confidence.
func (s *SizeEstimator) Work(class unit.ClassID, declared time.Duration) (median, bound time.Duration, confident bool) {
	r, ok := s.classes[class]
	if !ok || r.work.added == 0 {
		return declared, declared, false
	}
	medianRatio, medianConfident := r.work.upperQuantile(workQuantile)
	boundRatio, boundConfident := r.work.upperQuantile(boundQuantile)
	return time.Duration(medianRatio * float64(declared)), time.Duration(boundRatio * float64(declared)), medianConfident && boundConfident
}

func (s *SizeEstimator) classRatios(class unit.ClassID) *usageRatios {
	r, ok := s.classes[class]
	if !ok {
		r = &usageRatios{}
		s.classes[class] = r
	}
	return r
}

func ratio(used, declared float64) float64 {
	if declared <= 0 {
		return 0
	}
	return used / declared
}

// recentRatios keeps the newest values above 0.
type recentRatios struct {
	values [maxObservations]float64
	added  int // values added in all
}

func (r *recentRatios) add(v float64) {
	if v <= 0 {
		return
	}
	r.values[r.added%maxObservations] = v
	r.added++
}

// upperQuantile returns a value that the quantile lies below with 95% confidence: an
// order statistic of the kept values. If they are too few for that, it returns
// the greatest and false.
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
