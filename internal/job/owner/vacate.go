package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// Vacate replaces the set of workers to be freed of their runs, and reports for each
// whether it may be stopped now. While this entry does not own the shard it returns
// none.
func (s *Service) Vacate(workers []unit.InstanceID) map[unit.InstanceID]bool {
	sh := s.currentShard()
	if sh == nil {
		return nil
	}
	var vacant map[unit.InstanceID]bool
	sh.update(func(c *scheduler.Core, now time.Time) { vacant = c.Vacate(workers, now) })
	return vacant
}
