package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// simStore is the key-value service, by kind of record.
type simStore struct {
	revision unit.Revision
	down     bool
	grants   int
	leases   map[store.LeaseID]time.Duration // deadlines
	entries  map[unit.EntryID]simRegistration
	shards   map[unit.ShardID]shard.StoredRecord
	ledgers  map[unit.ShardID]simRecord
	jobs     map[unit.JobID]JobChanged
	watch    []JobChanged                  // all writes of jobs in order
	out      map[unit.ZoneID]time.Duration // since when
	document *spec.Document
}

type simRegistration struct {
	lease store.LeaseID
	zone  unit.ZoneID
}

type simRecord struct {
	value    []byte
	revision unit.Revision
}

func (s *simStore) next() unit.Revision {
	s.revision++
	return s.revision
}

func (s *simStore) putJob(r ledger.Record) {
	j := JobChanged{Job: r.Job.ID, Record: r, Revision: s.next()}
	s.jobs[j.Job] = j
	s.watch = append(s.watch, j)
}

func (s *simStore) expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id] > now {
			continue
		}
		delete(s.leases, id)
		for e, r := range s.entries {
			if r.lease == id {
				delete(s.entries, e)
				s.next()
			}
		}
	}
}

// publish makes the target document that says which zones are out.
func (s *simStore) publish() {
	d := &spec.Document{
		Classes: []spec.Class{
			{Name: "batch", Kind: spec.KindBatch},
			{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 1}},
		},
		Teams: []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 20, Memory: 1 << 20}}},
	}
	for _, z := range simZones {
		_, out := s.out[z]
		d.Zones = append(d.Zones, spec.Zone{Name: z, Out: out})
	}
	s.document = d
}
