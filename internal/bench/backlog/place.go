package backlog

import (
	"cmp"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// assess computes the places of all open jobs.
func (d *day) assess() {
	clear(d.rates)
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		for _, r := range w.runs {
			s := r.task.step.job.shape
			speed := 1.0
			if s.bestEffort {
				speed = w.speed
			}
			d.rates[s.kind] += speed * float64(s.needs.Cores) / 1000
		}
	}
	byKind := map[Kind][]*job{}
	for _, j := range d.open {
		byKind[j.Kind] = append(byKind[j.Kind], j)
	}
	for _, jobs := range byKind {
		d.assessAll(jobs)
	}
}

// assessAll computes the places of jobs of one kind.
func (d *day) assessAll(jobs []*job) {
	works := make([]overload.Work, len(jobs))
	for i, j := range jobs {
		works[i] = d.estimates.describe(j, d.means[j.Kind], d.policy.uncounted)
	}
	for i, p := range d.policy.order(dayStart.Add(d.now), d.rates[jobs[0].Kind], works) {
		jobs[i].place, jobs[i].class = p, p.Class
	}
}

// Ranks of waiting steps, as those of the scheduler.
const (
	rankInterrupted = iota
	rankShort
	rankLongRunning
	rankUseless
)

// rank returns the rank of the job's current step.
func (j *job) rank() int {
	switch {
	case j.Kind == Serving && j.current.waiting[len(j.current.waiting)-1].ranBefore:
		return rankInterrupted
	case j.Kind == Serving:
		return rankLongRunning
	case j.class == overload.Useless:
		return rankUseless
	}
	return rankShort
}

// place starts waiting tasks, as a placement pass of the scheduler does.
func (d *day) place() {
	var ready []*job
	for _, j := range d.open {
		if len(j.current.waiting) > 0 {
			ready = append(ready, j)
		}
	}
	slices.SortStableFunc(ready, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.shape.priority, b.shape.priority), cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.place.Key, b.place.Key))
	})
	if d.policy.serveOldest {
		ready = oldestFirst(ready)
	}
	full := map[Kind]bool{}
	for _, j := range ready {
		if d.policy.holdServing && j.rank() == rankLongRunning && d.freeCores() < heldCores {
			continue
		}
		for len(j.current.waiting) > 0 && !full[j.Kind] {
			full[j.Kind] = !d.start(j)
		}
	}
}

// start starts the next task of a job, unless no worker takes it.
func (d *day) start(j *job) bool {
	var best *worker
	var bestScore float64
	reserved := j.shape.reserved()
	for _, w := range d.workers {
		if w.lost || !reserved.Fits(capacity.Sub(w.used)) {
			continue
		}
		score, ok := d.score(w, j.shape)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return false
	}
	s := j.current
	t := s.waiting[len(s.waiting)-1]
	s.waiting = s.waiting[:len(s.waiting)-1]
	best.add(&run{task: t, left: t.took - t.saved})
	j.runs++
	return true
}

// score returns how well a worker suits a task: reserved tasks are packed, best-effort
// ones go where most is left.
func (d *day) score(w *worker, s *shape) (float64, bool) {
	if !s.bestEffort {
		return float64(w.used.Cores), true
	}
	need := w.batch + float64(s.needs.Cores)
	speed := w.bestEffortCores() / need
	return speed, speed >= minSpeed
}

// heldCores are kept free for urgent tasks.
const heldCores = 3000 * 1000

// freeCores returns the cores that are not reserved.
func (d *day) freeCores() float64 {
	var free float64
	for _, w := range d.workers {
		if !w.lost {
			free += float64(capacity.Cores - w.used.Cores)
		}
	}
	return free
}

// oldestFirst moves the batch job of no use that has waited longest before the other ones.
func oldestFirst(ready []*job) []*job {
	first := slices.IndexFunc(ready, func(j *job) bool { return j.Kind == Batch })
	oldest := -1
	for i, j := range ready {
		if j.Kind == Batch && j.class == overload.Useless && (oldest < 0 || j.Due < ready[oldest].Due) {
			oldest = i
		}
	}
	if oldest < 0 {
		return ready
	}
	j := ready[oldest]
	return slices.Insert(slices.Delete(ready, oldest, oldest+1), first, j)
}
