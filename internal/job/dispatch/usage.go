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

// usageInterval is the time between two exchanges of what the teams use. A team
// may exceed its quota by what starts within two of them.
const usageInterval = 5 * time.Second

// usagePrefix is the prefix of the records of what teams use on the shards of one
// entry. They go with its registration.
const usagePrefix store.Key = "usage/"

// shareUsage tells the other entries and the own shards what each team uses,
// until the context ends.
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
			continue // the last known values stay
		}
		s.mu.Lock()
		hosts := s.all()
		s.mu.Unlock()
		for _, h := range hosts {
			h.deliver(ctx, sum(remote, s.ownUsage(h)))
		}
	}
}

// ownUsage returns what teams use on the shards of this entry but one.
func (s *Service) ownUsage(but *host) TeamUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := TeamUsage{}
	for _, h := range s.hosts {
		if h == but {
			continue
		}
		if u := h.usage.Load(); u != nil {
			total = sum(total, *u)
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

// remoteUsage returns what teams use on the shards of all other entries.
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
		total = sum(total, u)
	}
	return total, nil
}

func sum(a, b TeamUsage) TeamUsage {
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
