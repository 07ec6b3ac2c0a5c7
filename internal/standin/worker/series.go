package worker

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// series is a value that changes in steps, such as the slots in use.
type series struct {
	steps []step
}

type step struct {
	at    unit.WorkerTime
	value float64
}

// set makes value hold from at on. Readings must not go back.
func (s *series) set(at unit.WorkerTime, value float64) {
	s.steps = append(s.steps, step{at: at, value: value})
}

// last returns the value that holds now.
func (s *series) last() float64 {
	if len(s.steps) == 0 {
		return 0
	}
	return s.steps[len(s.steps)-1].value
}

// mean returns the time-weighted mean over the span from one reading to another.
// The value before the first step is 0.
func (s *series) mean(from, to unit.WorkerTime) float64 {
	if to <= from {
		return 0
	}
	var sum float64
	end := to
	for i := len(s.steps) - 1; i >= 0 && end > from; i-- {
		begin := max(s.steps[i].at, from)
		if begin < end {
			sum += s.steps[i].value * float64(end.Sub(begin))
			end = begin
		}
	}
	return sum / float64(to.Sub(from))
}

// trim drops the steps that no reading after before needs. It works only on a
// long series, so that its cost is spread over many steps.
func (s *series) trim(before unit.WorkerTime) {
	const long = 1024
	if len(s.steps) < long {
		return
	}
	first := 0
	for first+1 < len(s.steps) && s.steps[first+1].at <= before {
		first++
	}
	s.steps = append([]step(nil), s.steps[first:]...)
}

// usageWindow is the span over which one report of usage is a mean.
const usageWindow = time.Second
