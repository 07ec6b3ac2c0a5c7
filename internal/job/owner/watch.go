package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// jobRecords applies job records from the store, to find jobs and cancellations of which
// no entry notified this owner.
type jobRecords struct{ shard *shard }

func (j jobRecords) applyChanges(events []kv.Item, read unit.Revision, sentAt time.Time) {
	j.apply(events, read, sentAt)
}

func (j jobRecords) applyPage(p listPage) {
	if p.first {
		j.apply(p.items, p.read, p.sentAt)
		return
	}
	j.apply(p.items, 0, p.sentAt) // its revision is not known
}

// apply applies job records from the answer to a read that was sent at sentAt and has
// shown the store at the revision read, or 0.
func (j jobRecords) apply(items []kv.Item, read unit.Revision, sentAt time.Time) {
	j.shard.update(func(_ *scheduler.Core, now time.Time) {
		for _, item := range items {
			j.shard.applyJobRecord(item, now)
		}
		if read != 0 {
			j.shard.takeover.recordRead(read, sentAt)
		}
	})
}

// instanceList applies changes of the instance list to the core.
type instanceList struct {
	shard  *shard
	listed []kv.Item // on the pages so far of a list that is not complete
}

func (l *instanceList) applyChanges(events []kv.Item, _ unit.Revision, _ time.Time) {
	if len(events) > 0 {
		l.apply(events, false)
	}
}

func (l *instanceList) applyPage(p listPage) {
	if p.first {
		l.listed = nil // of a list that was given up
	}
	l.listed = append(l.listed, p.items...)
	if p.last {
		l.apply(l.listed, true)
		l.listed = nil
	}
}

// apply applies items to the listings. With all set, workers without an item have left.
func (l *instanceList) apply(items []kv.Item, all bool) {
	sh := l.shard
	sh.update(func(c *scheduler.Core, now time.Time) {
		defer metric.ListingTimer.Since(time.Now())
		if all {
			clear(sh.listings)
		}
		for _, item := range items {
			sh.applyListing(item)
		}
		c.SetWorkers(sh.currentListings(), now)
		sh.updateWorkerClients()
	})
}

// applyListing applies an item of the instance list to the listings. It is called with
// the lock held.
func (sh *shard) applyListing(item kv.Item) {
	id := sh.service.fleet.Worker(item.Key)
	if item.Deleted {
		sh.log.Info("worker left the list", "worker", id, "revision", item.Revision)
		delete(sh.listings, id)
		return
	}
	listing, err := guard.Value(func() (scheduler.Listing, error) { return sh.service.fleet.Listing(item) })
	if err != nil {
		metric.AddSkippedItem(item.Key)
		sh.log.Info("entry of the instance list skipped", "key", item.Key, "revision", item.Revision, "error", err.Error())
		delete(sh.listings, id)
		return
	}
	if previous, ok := sh.listings[id]; !ok || previous.Address != listing.Address || previous.Draining != listing.Draining || previous.Incarnation != listing.Incarnation {
		sh.log.Info("worker listed", "worker", id, "address", listing.Address, "zone", listing.Zone, "rack", listing.Rack, "draining", listing.Draining, "born", listing.Incarnation, "revision", item.Revision)
	}
	sh.listings[id] = listing
}

func (sh *shard) currentListings() []scheduler.Listing {
	return slices.Collect(maps.Values(sh.listings))
}

// updateWorkerClients creates and stops clients so that each worker of the core has
// one, at its current address. It is called with the lock held.
func (sh *shard) updateWorkerClients() {
	wanted := map[unit.InstanceID]bool{}
	listings := sh.core.Workers()
	sh.heartbeats.setWorkers(len(listings), time.Now())
	for _, listing := range listings {
		wanted[listing.ID] = true
		client := sh.workerClients[listing.ID]
		if client != nil && client.address != listing.Address {
			client.cancel()
			client = nil
		}
		if client == nil {
			client = newWorkerClient(sh, listing)
			sh.workerClients[listing.ID] = client
		}
	}
	for id, client := range sh.workerClients {
		if !wanted[id] {
			client.cancel()
			delete(sh.workerClients, id)
		}
	}
}

// applyZones informs the core of the zones that are out of service. It is called with
// the lock held.
func (sh *shard) applyZones(c *scheduler.Core) {
	zones, confirmedAt := sh.service.zones.Evacuated()
	c.SetEvacuatedZones(zones)
	sh.zonesConfirmed.record(confirmedAt)
}
