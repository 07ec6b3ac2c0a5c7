package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// watchJobs reads job records from the store, to find jobs and cancellations of which
// no entry notified this owner.
func (sh *shard) watchJobs(since unit.Revision) {
	var list kv.Listing // begun when a watch failed
	for sh.sleep(jobWatchInterval) {
		sentAt := time.Now()
		events, next, err := sh.watchTwice(record.JobPrefix, since)
		if err == nil {
			since, list = next, kv.Listing{}
			sh.applyJobRecords(events, next, sentAt)
			continue
		}
		sh.listJobs(&list)
		if list.Complete {
			since, list = list.Revision, kv.Listing{}
		}
	}
}

// listJobs applies the pages of a list of all job records as they arrive, up to the
// first error. Called again, it continues with the page that failed, so that an owner
// whose link is slow gets to the end.
func (sh *shard) listJobs(list *kv.Listing) {
	for !list.Complete && sh.ctx.Err() == nil {
		sentAt, first := time.Now(), list.Revision == 0
		items, err := sh.service.store.NextPage(sh.ctx, record.JobPrefix, list)
		if err != nil {
			return // storage/access logs that the store is unreachable
		}
		var read unit.Revision // known only of the first page
		if first {
			read = list.Revision
		}
		sh.applyJobRecords(items, read, sentAt)
	}
}

// applyJobRecords applies job records from the answer to a read that was sent at sentAt
// and has shown the store at the revision read, or 0.
func (sh *shard) applyJobRecords(items []kv.Item, read unit.Revision, sentAt time.Time) {
	sh.update(func(_ *scheduler.Core, now time.Time) {
		for _, item := range items {
			sh.applyJobRecord(item, now)
		}
		if read != 0 {
			sh.takeover.recordRead(read, sentAt)
		}
	})
}

// watchOrList returns the changes under the prefix after a revision, or all items if the
// changes cannot be read, and the revision to continue from.
func (sh *shard) watchOrList(prefix kv.Key, since unit.Revision) (items []kv.Item, next unit.Revision, listed bool, err error) {
	items, next, err = sh.watchTwice(prefix, since)
	if err == nil || sh.ctx.Err() != nil {
		return items, next, false, err
	}
	items, next, err = sh.service.store.List(sh.ctx, prefix)
	return items, next, true, err
}

// watchTwice returns the changes under the prefix after a revision, and the revision to
// continue from. A watch that timed out is sent once more: its connection may be silent
// or this entry overloaded, and a list is megabytes long.
func (sh *shard) watchTwice(prefix kv.Key, since unit.Revision) (events []kv.Item, next unit.Revision, err error) {
	for range 2 {
		events, next, err = sh.service.store.Watch(sh.ctx, prefix, since, watchTimeout)
		if !errors.Is(err, context.DeadlineExceeded) {
			break
		}
	}
	return events, next, err
}

// watchWorkers applies changes of the instance list to the core.
func (sh *shard) watchWorkers(since unit.Revision) {
	for sh.sleep(workerWatchInterval) {
		events, next, relisted, err := sh.watchOrList(sh.service.fleet.Prefix(), since)
		if err != nil {
			sh.sleep(retryDelay)
			continue
		}
		since = next
		if len(events) == 0 && !relisted {
			continue
		}
		sh.update(func(c *scheduler.Core, now time.Time) {
			if relisted {
				clear(sh.listings)
			}
			for _, item := range events {
				sh.applyListing(item)
			}
			c.SetWorkers(sh.currentListings(), now)
			sh.updateWorkerClients()
		})
	}
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
	listing, err := sh.service.fleet.Listing(item)
	if err != nil {
		sh.log.Info("entry of the instance list skipped", "key", item.Key, "revision", item.Revision, "error", err.Error())
		delete(sh.listings, id)
		return
	}
	if previous, ok := sh.listings[id]; !ok || previous.Draining != listing.Draining || previous.Incarnation != listing.Incarnation {
		sh.log.Info("worker listed", "worker", id, "zone", listing.Zone, "rack", listing.Rack, "draining", listing.Draining, "born", listing.Incarnation, "revision", item.Revision)
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
	for _, listing := range sh.core.Workers() {
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

// watchZones keeps the core informed of the zones that are out of service.
func (sh *shard) watchZones() {
	for {
		zones, changed := sh.service.zones.Evacuated()
		sh.update(func(c *scheduler.Core, _ time.Time) { c.SetEvacuatedZones(zones) })
		select {
		case <-sh.ctx.Done():
			return
		case <-changed:
		}
	}
}
