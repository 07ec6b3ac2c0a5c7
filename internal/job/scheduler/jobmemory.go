package scheduler

import (
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// jobMemory is the account of the memory that the jobs take, without the state of their tasks.
type jobMemory struct {
	limit unit.Bytes // 0: none
	used  unit.Bytes
}

// JobRoom reports whether over half of the memory for jobs is taken, and returns what is left.
func (c *Core) JobRoom() (full bool, left unit.Bytes) { return c.jobMemory.room() }

// room reports whether over half of the memory is taken, and returns what is left.
func (m *jobMemory) room() (full bool, left unit.Bytes) {
	if m.limit == 0 || m.used <= m.limit/2 {
		return false, 0
	}
	return true, max(m.limit-m.used, 0)
}

// replace accounts for the job that the core keeps in place of an earlier one. Either may be
// nil.
func (m *jobMemory) replace(earlier, later *graph.Job) {
	if earlier != nil {
		m.used -= earlier.Memory()
	}
	if later != nil {
		m.used += later.Memory()
	}
}

// shrink drops what is not needed to show a job that has ended. The runs of an organisation
// that no task needs are charged with the resources of their steps.
func (c *Core) shrink(j *job) {
	kept := *j.spec
	kept.Spec = ""
	if j.account == nil {
		kept.Steps = nil
	}
	c.jobMemory.replace(j.spec, &kept)
	j.spec = &kept
}
