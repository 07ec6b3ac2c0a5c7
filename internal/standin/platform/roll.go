package platform

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
)

// roll is the instance list, which shows the truth only after a lag. It is a
// plain state machine.
type roll struct {
	lag      time.Duration
	versions []rollVersion // in order of time; the first is the one shown last
}

type rollVersion struct {
	at      time.Time
	listing store.Listing
}

func newRoll(lag time.Duration, instances []store.Instance) *roll {
	first := rollVersion{listing: store.Listing{Instances: slices.Clone(instances), Revision: 1}}
	return &roll{lag: lag, versions: []rollVersion{first}}
}

// set makes the instances the truth as of now.
func (r *roll) set(now time.Time, instances []store.Instance) {
	last := r.versions[len(r.versions)-1].listing.Revision
	r.versions = append(r.versions, rollVersion{
		at: now, listing: store.Listing{Instances: slices.Clone(instances), Revision: last + 1},
	})
}

// shown returns the list as a reader sees it now.
func (r *roll) shown(now time.Time) store.Listing {
	for len(r.versions) > 1 && !r.versions[1].at.Add(r.lag).After(now) {
		r.versions = r.versions[1:]
	}
	return r.versions[0].listing
}

// checkInstances reports every fault of a list.
func checkInstances(instances []store.Instance) error {
	var faults []error
	seen := map[unit.InstanceID]bool{}
	for i, instance := range instances {
		if instance.ID == "" {
			faults = append(faults, errors.Errorf("instances[%d].id: want an instance id", i))
		}
		if seen[instance.ID] {
			faults = append(faults, errors.Errorf("instances[%d].id: %s is listed twice", i, instance.ID))
		}
		seen[instance.ID] = true
		if instance.State != store.InstanceLive && instance.State != store.InstanceLeaving {
			faults = append(faults, errors.Errorf("instances[%d].state: want live or leaving", i))
		}
	}
	return errors.Join(faults...)
}
