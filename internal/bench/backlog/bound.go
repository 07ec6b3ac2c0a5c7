package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// bound returns a bound on the share of the value that any order can reach with the given
// core-seconds in each second. It lets jobs be worked on in parts, at any rate and regardless
// of their steps, and counts the late value of all of them. The amounts of work that can be
// done within the objectives form a polymatroid, so that taking the jobs in the order of
// their value for each unit of work is optimal.
func bound(jobs []*job, available []float64) float64 {
	flow := newFlow(len(jobs), available)
	order := slices.SortedStableFunc(slices.Values(jobs), func(a, b *job) int {
		return cmp.Compare(b.value/float64(b.work()), a.value/float64(a.work()))
	})
	var full, inTime float64
	for i, j := range order {
		flow.windows[i] = window{j.Due / time.Second, j.objective/time.Second + 1}
		full += j.value
		inTime += j.value * flow.add(i, float64(j.work())) / float64(j.work())
	}
	if full == 0 {
		return 0
	}
	return ((1-overload.LateShare)*inTime + overload.LateShare*full) / full
}

// flow assigns work of jobs to seconds.
type flow struct {
	windows []window // in seconds, by job
	work    [][]float64
	free    []float64 // by second
	users   [][]int   // jobs with work, by second
	from    []int     // of the search: the job that reached a second
	via     []int     // and the second that reached it through the job
}

func newFlow(jobs int, available []float64) *flow {
	f := &flow{
		windows: make([]window, jobs), work: make([][]float64, jobs), free: slices.Clone(available),
		users: make([][]int, len(available)), from: make([]int, len(available)), via: make([]int, len(available)),
	}
	for i := range f.work {
		f.work[i] = make([]float64, len(available))
	}
	return f
}

// add assigns as much work of a job as possible, without taking work of others away, and
// returns it.
func (f *flow) add(job int, work float64) float64 {
	left := work
	for left > leastWork {
		last := f.search(job)
		if last < 0 {
			break
		}
		amount := min(left, f.free[last])
		for s := last; f.via[s] >= 0; s = f.via[s] {
			amount = min(amount, f.work[f.from[s]][f.via[s]])
		}
		f.free[last] -= amount
		for s := last; s >= 0; s = f.via[s] {
			f.assign(f.from[s], s, amount)
			if f.via[s] >= 0 {
				f.assign(f.from[s], f.via[s], -amount)
			}
		}
		left -= amount
	}
	return work - left
}

// leastWork is the work, in core-seconds, below which a job or a second counts as full.
const leastWork = 1e-6

func (f *flow) assign(job, second int, amount float64) {
	before := f.work[job][second]
	f.work[job][second] += amount
	if before <= leastWork && f.work[job][second] > leastWork {
		f.users[second] = append(f.users[second], job)
	}
}

// search returns a second with free capacity to which work of a job can go, if necessary
// by moving work of others, or -1.
func (f *flow) search(job int) int {
	for s := range f.via {
		f.from[s] = -1
	}
	seen := make([]bool, len(f.windows))
	seen[job] = true
	queue := f.reach(job, -1, nil)
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if f.free[s] > leastWork {
			return s
		}
		f.users[s] = slices.DeleteFunc(f.users[s], func(j int) bool { return f.work[j][s] <= leastWork })
		for _, other := range f.users[s] {
			if !seen[other] {
				seen[other] = true
				queue = f.reach(other, s, queue)
			}
		}
	}
	return -1
}

// reach adds the seconds of a job's window that have not been reached yet.
func (f *flow) reach(job, via int, queue []int) []int {
	for s := int(f.windows[job].from); s < min(int(f.windows[job].to), len(f.from)); s++ {
		if f.from[s] < 0 {
			f.from[s], f.via[s] = job, via
			queue = append(queue, s)
		}
	}
	return queue
}
