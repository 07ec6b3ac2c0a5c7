package organisation

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// CheckJob returns an error in words for the caller if one task of a job, or one gang as a
// whole, exceeds the cap of the organisation, so that the job could never run.
func (o *Organisation) CheckJob(j *graph.Job) error {
	for i := range j.Steps {
		if err := o.checkStep(&j.Steps[i]); err != nil {
			return errors.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// checkStep checks what has to run at the same time: one task of a step, or all of a gang.
func (o *Organisation) checkStep(s *graph.Step) error {
	together, what := int64(1), "a task"
	if s.Gang {
		together, what = int64(s.Count), "the gang"
	}
	for _, r := range []struct {
		name       string
		needs, cap int64 // needs of one task
	}{
		{"thousandths of a core", int64(s.Needs.Cores), int64(o.Cap.Cores)},
		{"bytes of memory", int64(s.Needs.Memory), int64(o.Cap.Memory)},
		{"accelerators", int64(s.Needs.Accelerators), int64(o.Cap.Accelerators)},
	} {
		limit := max(r.cap, 0)
		if r.cap == 0 || r.needs <= limit/together { // a product could overflow
			continue
		}
		return errors.Errorf("%s needs %d x %d %s, more than the cap %d of organisation %q", what, together, r.needs, r.name, limit, o.ID)
	}
	return nil
}
