package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// tasks returns the running tasks by worker. Tasks that are being evicted are as
// good as gone.
func (c *Core) tasks(now time.Time) []control.Task {
	spare := c.spare(now)
	runs := slices.SortedFunc(maps.Values(c.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.worker, b.worker), a.started.Compare(b.started),
			cmp.Compare(a.ref.Task.Job, b.ref.Task.Job), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	var tasks []control.Task
	for _, r := range runs {
		if r.ended || r.leaving(now) {
			continue
		}
		class := c.classes[r.class]
		t := control.Task{
			Ref: r.ref, Worker: r.worker, Class: r.class, Size: r.size, Share: r.share,
			Standing: class.Kind == spec.KindStanding, Surplus: spare[r.class],
		}
		p := TaskTiming{Started: r.started, Finish: class.Target.Finish.Std()}
		if j := c.jobs[r.ref.Task.Job]; j != nil {
			p.DeclaredWork, p.Submitted = j.Work.Std(), time.UnixMilli(j.Time)
			if j.ID == "" {
				p.Finish = 0 // its submission is not known
			}
		}
		tasks = append(tasks, p.Estimate(now, t, c.sizes))
	}
	return tasks
}

func (r *run) leaving(now time.Time) bool {
	return !r.evicted.IsZero() && now.Sub(r.evicted) < evictionTime
}

// spare returns by how many running replicas a class is above its target. That is
// the target of the zone, of which this shard has a part, so it errs towards fewer.
func (c *Core) spare(now time.Time) map[unit.ClassID]int {
	spare := map[unit.ClassID]int{}
	for name, class := range c.classes {
		if class.Kind == spec.KindStanding {
			spare[name] = -class.Target.Replicas
		}
	}
	for _, r := range c.runs {
		if _, ok := spare[r.class]; ok && !r.ended && !r.leaving(now) {
			spare[r.class]++
		}
	}
	return spare
}

// makeRoom evicts tasks for one replica without a worker.
func (c *Core) makeRoom(now time.Time, tasks []control.Task) []control.Action {
	if len(c.claims) == 0 || now.Sub(c.roomed) < roomInterval {
		return nil
	}
	class := slices.Sorted(maps.Keys(c.claims))[0]
	tasks = slices.DeleteFunc(slices.Clone(tasks), func(t control.Task) bool {
		_, held := c.index.QuarantinedUntil(t.Worker)
		return held || !c.hosts[t.Worker].open || !c.loop.Settled(now, t.Worker)
	})
	claim := control.PendingTask{Class: class, Size: c.claims[class], Standing: true}
	actions := control.Preempt(now, claim, Candidates(tasks, c.index.Free))
	if len(actions) > 0 {
		c.roomed = now
		c.loop.RecordAction(now, actions[0].Worker)
	}
	return actions
}

// take notes the actions as done and leaves out those that would take a class of
// replicas below its target: the loop judges each worker for itself.
func (c *Core) take(now time.Time, actions []control.Action) []control.Action {
	spare := c.spare(now)
	kept := actions[:0]
	for _, a := range actions {
		r := c.runs[a.Ref]
		if a.Kind == worker.ActionThrottle {
			r.asked = true
			c.setShare(now, r, a.Share)
		} else {
			if n, standing := spare[a.Class]; standing && n <= 0 {
				continue
			}
			spare[a.Class]--
			r.evicted = now
		}
		kept = append(kept, a)
	}
	return kept
}
