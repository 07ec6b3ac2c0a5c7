package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// Vacate makes exactly the given workers be freed of what runs there, and returns
// those whose end would disturb nobody. Without a shard it returns none.
func (s *Service) Vacate(workers []unit.InstanceID) map[unit.InstanceID]bool {
	sh := s.currentShard()
	if sh == nil {
		return nil
	}
	var vacant map[unit.InstanceID]bool
	sh.update(func(c *scheduler.Core, now time.Time) { vacant = c.Vacate(workers, now) })
	return vacant
}
