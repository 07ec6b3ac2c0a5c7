package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/policy"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// makeRoom evicts batch tasks for a replica that found no worker in its zone.
func (s *scheduler) makeRoom(now time.Duration, it *item) []command {
	running, tasks := s.tasks(now)
	var local []control.Task
	for i, t := range tasks {
		if running[i].zone == it.job.zone {
			local = append(local, t)
		}
	}
	hosts := policy.Candidates(local, s.indexes[it.job.zone].Free)
	return s.act(running, control.Preempt(origin.Add(now), control.PendingTask{Class: it.class.Name, Size: s.size(it), Standing: true}, hosts))
}

// start places pending tasks in order: by the time left to their target, or by
// static weight.
func (s *scheduler) start(now time.Duration) []command {
	s.pending = slices.DeleteFunc(s.pending, func(it *item) bool { return it.over })
	slices.SortStableFunc(s.pending, func(a, b *item) int {
		if s.policy.Targets {
			return cmp.Compare(s.slack(a), s.slack(b))
		}
		return -cmp.Compare(a.class.Weight, b.class.Weight)
	})
	// The tasks of a job are alike, so one refusal in a zone holds for all.
	type attempt struct {
		zone unit.ZoneID
		job  *jobState
		size unit.Resources
	}
	refused := map[attempt]bool{}
	s.gate.StartRound()
	var commands []command
	for _, it := range s.pending {
		if it.ready > now {
			continue
		}
		batch := it.class.Kind == spec.KindBatch
		if s.policy.Control && batch && s.gate.DelayedByZoneOut(origin.Add(now), it.class.Target.Start.Std()) ||
			s.policy.Sizes && batch && s.gate.TrialLimited(origin.Add(now), &it.job.trial) {
			continue
		}
		size := s.size(it)
		for _, zone := range s.order(it) {
			at := attempt{zone, it.job, size}
			if s.out[zone] || refused[at] {
				continue
			}
			id, ok := s.shards[zone].Place(it.class.Name, size)
			next := worker.Ref{Task: it.ref.Task, Attempt: it.ref.Attempt + 1}
			if !ok || !s.shards[zone].Reserve(id, next, it.class.Name, size) {
				refused[at] = true
				s.gate.RecordUnplaced()
				continue
			}
			it.ref, it.worker, it.zone, it.size, it.share, it.started, it.running = next, id, zone, size, 1, now, true
			s.advisor.AdjustLoad(id, it.class.Name, 1, size.Cores)
			s.free[zone] -= size.Cores
			s.running = append(s.running, it)
			it.job.trial.RecordStart(origin.Add(now))
			commands = append(commands, command{it, worker.ActionStart, ""})
			break
		}
	}
	making := map[unit.ZoneID]bool{} // one replica in a step, whose effect is seen in the next
	for _, it := range s.pending {
		zone := it.job.zone
		if s.policy.Control && it.class.Kind == spec.KindStanding && !it.running && it.ready <= now && !s.out[zone] && !making[zone] {
			making[zone] = true
			commands = append(commands, s.makeRoom(now, it)...)
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(it *item) bool { return it.running })
	return commands
}

// slack is the latest start that still meets the target. Replicas come first.
func (s *scheduler) slack(it *item) time.Duration {
	if it.class.Kind == spec.KindStanding {
		return -1
	}
	return it.job.submitted + it.class.Target.Finish.Std()
}

// size returns what to reserve for a task.
func (s *scheduler) size(it *item) unit.Resources {
	size := it.job.declared
	if s.policy.Sizes && it.class.Kind == spec.KindBatch {
		size, _ = s.sizes.Size(it.class.Name, size, it.job.trial.Peak)
	}
	size.Cores = min(size.Cores, s.room.Cores)
	size.Memory = min(unit.Bytes(float64(size.Memory)*it.memory), s.room.Memory)
	return size
}

// order returns the zones in which a task may start, the emptiest first.
func (s *scheduler) order(it *item) []unit.ZoneID {
	if it.job.zone != "" {
		return []unit.ZoneID{it.job.zone}
	}
	zones := slices.Clone(s.zones)
	slices.SortStableFunc(zones, func(a, b unit.ZoneID) int { return cmp.Compare(s.free[b], s.free[a]) })
	return zones
}
