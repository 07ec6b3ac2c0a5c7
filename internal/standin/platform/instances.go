package platform

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// instanceList is the instance list, which shows the truth only after a lag. It is a
// plain state machine.
type instanceList struct {
	lag      time.Duration
	versions []listVersion   // in order of time; the first is the one shown last
	past     []store.Listing // versions shown before, oldest first, for differences
}

// maxPast is how many earlier versions a difference can refer to.
const maxPast = 64

type listVersion struct {
	at      time.Time
	listing store.Listing
}

func newInstanceList(lag time.Duration, instances []store.Instance) *instanceList {
	first := listVersion{listing: store.Listing{Instances: slices.Clone(instances), Revision: 1}}
	return &instanceList{lag: lag, versions: []listVersion{first}}
}

// set makes the instances the truth as of now.
func (r *instanceList) set(now time.Time, instances []store.Instance) {
	last := r.versions[len(r.versions)-1].listing.Revision
	r.versions = append(r.versions, listVersion{
		at: now, listing: store.Listing{Instances: slices.Clone(instances), Revision: last + 1},
	})
}

// shown returns the list as a reader sees it now.
func (r *instanceList) shown(now time.Time) store.Listing {
	for len(r.versions) > 1 && !r.versions[1].at.Add(r.lag).After(now) {
		r.past = append(r.past, r.versions[0].listing)
		r.versions = r.versions[1:]
	}
	r.past = r.past[max(0, len(r.past)-maxPast):]
	return r.versions[0].listing
}

// difference returns how the list that is shown now differs from a revision
// shown before, or the whole list if that revision is not known.
func (r *instanceList) difference(now time.Time, after unit.Revision) store.Listing {
	shown := r.shown(now)
	if after == shown.Revision {
		return store.Listing{Instances: []store.Instance{}, After: after, Revision: shown.Revision}
	}
	i := slices.IndexFunc(r.past, func(l store.Listing) bool { return l.Revision == after })
	if i < 0 {
		return shown
	}
	return compare(r.past[i], shown)
}

func compare(from, to store.Listing) store.Listing {
	before := map[unit.InstanceID]store.Instance{}
	for _, x := range from.Instances {
		before[x.ID] = x
	}
	d := store.Listing{Instances: []store.Instance{}, After: from.Revision, Revision: to.Revision}
	for _, x := range to.Instances {
		if old, ok := before[x.ID]; !ok || old != x {
			d.Instances = append(d.Instances, x)
		}
		delete(before, x.ID)
	}
	for _, x := range from.Instances {
		if _, gone := before[x.ID]; gone {
			d.Removed = append(d.Removed, x.ID)
		}
	}
	return d
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
