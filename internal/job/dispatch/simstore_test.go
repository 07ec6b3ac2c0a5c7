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

// simStore models the store, with its records by kind.
type simStore struct {
	revision      unit.Revision
	unavailable   bool
	leasesGranted int
	leases        map[store.LeaseID]time.Duration // end of each lease
	entries       map[unit.EntryID]simRegistration
	shards        map[unit.ShardID]shard.StoredRecord
	ledgers       map[unit.ShardID]simRecord
	jobs          map[unit.JobID]JobChanged
	jobWrites     []JobChanged                  // all writes of job records, in order
	zonesOut      map[unit.ZoneID]time.Duration // zones out of service, and since when
	document      *spec.Document
}

type simRegistration struct {
	lease store.LeaseID
	zone  unit.ZoneID
}

type simRecord struct {
	value    []byte
	revision unit.Revision
}

func (s *simStore) nextRevision() unit.Revision {
	s.revision++
	return s.revision
}

func (s *simStore) putJob(r ledger.Record) {
	j := JobChanged{Job: r.Job.ID, Record: r, Revision: s.nextRevision()}
	s.jobs[j.Job] = j
	s.jobWrites = append(s.jobWrites, j)
}

func (s *simStore) expireLeases(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id] > now {
			continue
		}
		delete(s.leases, id)
		for e, r := range s.entries {
			if r.lease == id {
				delete(s.entries, e)
				s.nextRevision()
			}
		}
	}
}

// publishDocument updates the target document with the zones that are out of
// service.
func (s *simStore) publishDocument() {
	d := &spec.Document{
		Classes: []spec.Class{
			{Name: "batch", Kind: spec.KindBatch},
			{Name: "sync", Kind: spec.KindStanding, Target: spec.Target{Replicas: 1}},
		},
		Teams: []spec.Team{{Name: "desk", Quota: unit.Resources{Cores: 1 << 20, Memory: 1 << 20}}},
	}
	for _, z := range simZones {
		_, out := s.zonesOut[z]
		d.Zones = append(d.Zones, spec.Zone{Name: z, Out: out})
	}
	s.document = d
}
