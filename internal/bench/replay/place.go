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

// preemptForReplica evicts batch tasks for a replica that found no worker in its
// zone.
func (s *scheduler) preemptForReplica(now time.Duration, it *item) []command {
	running, tasks := s.controlTasks(now)
	var local []control.Task
	for i, t := range tasks {
		if running[i].zone == it.job.zone {
			local = append(local, t)
		}
	}
	candidates := policy.Candidates(local, s.indexes[it.job.zone].Free)
	return s.applyActions(running, control.Preempt(origin.Add(now), control.PendingTask{Class: it.class.Name, Size: s.size(it), Standing: true}, candidates))
}

// start places pending tasks in the order of their deadlines, or of static
// weights.
func (s *scheduler) start(now time.Duration) []command {
	s.pending = slices.DeleteFunc(s.pending, func(it *item) bool { return it.ended })
	slices.SortStableFunc(s.pending, func(a, b *item) int {
		if s.policy.Targets {
			return cmp.Compare(s.slack(a), s.slack(b))
		}
		return -cmp.Compare(a.class.Weight, b.class.Weight)
	})
	// Tasks of one job and size fit alike, so a refusal in a zone holds for all.
	type attempt struct {
		zone unit.ZoneID
		job  *jobState
		size unit.Resources
	}
	refused := map[attempt]bool{}
	s.admission.StartRound()
	var commands []command
	for _, it := range s.pending {
		if it.notBefore > now {
			continue
		}
		batch := it.class.Kind == spec.KindBatch
		if s.policy.Control && batch && s.admission.DelayedByZoneOut(origin.Add(now), it.class.Target.Start.Std()) ||
			s.policy.Sizes && batch && s.admission.TrialLimited(origin.Add(now), &it.job.trial) {
			continue
		}
		size := s.size(it)
		for _, zone := range s.zoneOrder(it) {
			at := attempt{zone, it.job, size}
			if s.out[zone] || refused[at] {
				continue
			}
			id, ok := s.shards[zone].Place(it.class.Name, size)
			next := worker.Ref{Task: it.ref.Task, Attempt: it.ref.Attempt + 1}
			if !ok || !s.shards[zone].Reserve(id, next, it.class.Name, size) {
				refused[at] = true
				s.admission.RecordUnplaced()
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
	preempting := map[unit.ZoneID]bool{} // one replica for each zone and step: the next step sees the effect
	for _, it := range s.pending {
		zone := it.job.zone
		if s.policy.Control && it.class.Kind == spec.KindStanding && !it.running && it.notBefore <= now && !s.out[zone] && !preempting[zone] {
			preempting[zone] = true
			commands = append(commands, s.preemptForReplica(now, it)...)
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(it *item) bool { return it.running })
	return commands
}

// slack returns the sort key of a pending task, its deadline. Replicas come first.
func (s *scheduler) slack(it *item) time.Duration {
	if it.class.Kind == spec.KindStanding {
		return -1
	}
	return it.job.submitted + it.class.Target.Finish.Std()
}

// size returns the resources to reserve for a task.
func (s *scheduler) size(it *item) unit.Resources {
	size := it.job.declared
	if s.policy.Sizes && it.class.Kind == spec.KindBatch {
		size, _ = s.sizes.Size(it.class.Name, size, it.job.trial.Peak)
	}
	size.Cores = min(size.Cores, s.batchCapacity.Cores)
	size.Memory = min(unit.Bytes(float64(size.Memory)*it.memoryFactor), s.batchCapacity.Memory)
	return size
}

// zoneOrder returns the zones in which a task may start, most unreserved cores
// first.
func (s *scheduler) zoneOrder(it *item) []unit.ZoneID {
	if it.job.zone != "" {
		return []unit.ZoneID{it.job.zone}
	}
	zones := slices.Clone(s.zones)
	slices.SortStableFunc(zones, func(a, b unit.ZoneID) int { return cmp.Compare(s.free[b], s.free[a]) })
	return zones
}
