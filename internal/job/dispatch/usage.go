package dispatch

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// usageInterval is the time between two exchanges of the teams' usage. A team may
// exceed its quota by the tasks that start within two intervals.
const usageInterval = 5 * time.Second

// usagePrefix is the key prefix of the usage records. Each holds the usage of all
// teams on the shards of one entry and is deleted when the entry's registration
// ends.
const usagePrefix store.Key = "usage/"

// shareUsage publishes the usage of each team to the other entries and passes the
// total to the shards of this entry, until the context ends.
func (s *Service) shareUsage(ctx context.Context) {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	var written TeamUsage
	var session store.LeaseID
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if lease := s.members.Lease(); lease != "" {
			if own := s.ownUsage(nil); lease != session || !maps.Equal(own, written) {
				if err := s.writeUsage(ctx, own, lease); err == nil {
					written, session = own, lease
				}
			}
		}
		remote, err := s.remoteUsage(ctx)
		if err != nil {
			continue // the shards keep the last known values
		}
		s.mu.Lock()
		runners := s.allRunners()
		s.mu.Unlock()
		for _, r := range runners {
			r.deliver(ctx, sumUsage(remote, s.ownUsage(r)))
		}
	}
}

// ownUsage returns the usage of the teams on the shards of this entry except one.
func (s *Service) ownUsage(except *runner) TeamUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := TeamUsage{}
	for _, r := range s.runners {
		if r == except {
			continue
		}
		if u := r.usage.Load(); u != nil {
			total = sumUsage(total, *u)
		}
	}
	return total
}

func (s *Service) writeUsage(ctx context.Context, u TeamUsage, lease store.LeaseID) error {
	value, err := json.Marshal(u)
	if err != nil {
		return errors.Errorf("encode usage: %w", err)
	}
	_, err = s.records.Put(ctx, usagePrefix+store.Key(s.members.Self()), value, store.Always(), lease)
	return err
}

// remoteUsage returns the usage of the teams on the shards of all other entries.
func (s *Service) remoteUsage(ctx context.Context) (TeamUsage, error) {
	snapshot, err := s.records.List(ctx, usagePrefix)
	if err != nil {
		return nil, errors.Errorf("read usage: %w", err)
	}
	total := TeamUsage{}
	for _, r := range snapshot.Records {
		if r.Key == usagePrefix+store.Key(s.members.Self()) {
			continue
		}
		var u TeamUsage
		if err := json.Unmarshal(r.Value, &u); err != nil {
			return nil, errors.Errorf("read usage %s: %w", r.Key, err)
		}
		total = sumUsage(total, u)
	}
	return total, nil
}

func sumUsage(a, b TeamUsage) TeamUsage {
	total := TeamUsage{}
	for _, u := range []TeamUsage{a, b} {
		for team, used := range u {
			if used != (unit.Resources{}) {
				total[team] = total[team].Add(used)
			}
		}
	}
	return total
}
