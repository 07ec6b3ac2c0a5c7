package backlog

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Job is an arrival of a day.
type Job struct {
	Kind        Kind          `json:"kind"`
	Due         time.Duration `json:"due"` // since the start of the day
	Checkpoints bool          `json:"checkpoints,omitempty"`
	Steps       []Step        `json:"steps"` // each after the one before
}

// Step is a step of a job.
type Step struct {
	Declared time.Duration   `json:"declared"`
	Took     []time.Duration `json:"took"` // by each task, at full speed
}

// Parameters of the generated jobs.
const (
	deviation         = 0.5 // of durations, as a share of their mean
	taskDeviation     = 0.1 // of the tasks of a step, which are alike
	countDeviation    = 0.6 // of the number of tasks, as a share of its mean
	declaredDeviation = 0.7 // of the logarithm of the declared over the actual duration
	maxDeclaredFactor = 13
)

// generate returns the jobs of a day, in order of arrival.
func generate(l Load, seed uint64, span time.Duration) []Job {
	var jobs []Job
	for i := range shapes {
		s := &shapes[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		jobs = append(jobs, s.initialJobs(random)...)
		for at := time.Duration(0); s.rate > 0; {
			rate := s.rate
			if s.kind == Batch && l.burst.includes(at) {
				rate *= burstFactor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= span {
				break
			}
			jobs = append(jobs, s.job(random, at))
		}
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.Due, b.Due) })
	return jobs
}

// initialJobs returns the jobs of the shape that are there at the start.
func (s *shape) initialJobs(random *rand.Rand) []Job {
	var jobs []Job
	for range s.atStart {
		jobs = append(jobs, s.job(random, 0))
	}
	return jobs
}

// job returns a job of the shape.
func (s *shape) job(random *rand.Rand, due time.Duration) Job {
	j := Job{Kind: s.kind, Due: due, Checkpoints: random.Float64() < s.checkpoints}
	steps := int(s.steps)
	if random.Float64() < s.steps-float64(steps) {
		steps++
	}
	for range max(steps, 1) {
		j.Steps = append(j.Steps, s.step(random))
	}
	return j
}

func (s *shape) step(random *rand.Rand) Step {
	count := max(1, int(math.Round(s.tasks*around(random, countDeviation))))
	if s.kind == Serving {
		count = int(s.tasks)
	}
	mean := float64(s.took) * around(random, deviation)
	factor := math.Exp(declaredDeviation * random.NormFloat64())
	factor = min(max(factor, 1.0/maxDeclaredFactor), maxDeclaredFactor)
	step := Step{Declared: time.Duration(mean * factor)}
	for range count {
		took := mean
		if s.kind != Serving {
			took *= around(random, taskDeviation)
		}
		step.Took = append(step.Took, time.Duration(took))
	}
	return step
}

// around returns a positive number of mean 1 with a deviation, by a log-normal distribution.
func around(random *rand.Rand, deviation float64) float64 {
	variance := math.Log(1 + deviation*deviation)
	return math.Exp(math.Sqrt(variance)*random.NormFloat64() - variance/2)
}
