// Package shard decides the ownership of shards without I/O: which racks belong to which
// shard, which entry should own a shard, and when a shard may be claimed, renewed or
// released. Section 5.4 of docs/design.md describes the mechanism.
package shard

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Region names a group of zones that are close to each other. Zones without a region
// share the region with the empty name.
type Region string

// Entry is a registered entry with the properties that decide ownership.
type Entry struct {
	ID   unit.EntryID
	Zone unit.ZoneID
}

// View is the set of registered entries at a store revision, with the regions of the
// zones.
type View struct {
	Revision unit.Revision
	Entries  []Entry
	Regions  map[unit.ZoneID]Region
}

// Record is the stored record of a shard's ownership. It stays in the store after the
// owner is gone, so that the epoch never decreases.
type Record struct {
	Owner   unit.EntryID  `json:"owner"`
	Epoch   unit.Epoch    `json:"epoch"`
	Session store.LeaseID `json:"session"` // lease of the owner's registration, under which it starts tasks
	// Released is set once the owner has stopped sending requests to workers.
	Released bool `json:"released,omitempty"`
	// Inherited is set if the owner, when it released the shard, was still waiting
	// for leases to expire that an earlier owner may be renewing.
	Inherited bool `json:"inherited,omitempty"`
}

// StoredRecord is a record with the store revision that wrote it. The zero value means
// that the record does not exist.
type StoredRecord struct {
	Record   Record
	Revision unit.Revision
}

// Key returns the store key of a shard's record.
func Key(id unit.ShardID) store.Key { return store.Key("shard/" + id.String()) }

// Encode returns the stored form of a record, which is JSON.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Errorf("encode shard record: %w", err)
	}
	return data, nil
}

// Decode parses the stored form of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Errorf("decode shard record: %w", err)
	}
	return r, nil
}

// ForRack returns the shard of a rack, chosen by hash among the buckets of its zone.
func ForRack(zone unit.ZoneID, rack unit.RackID, buckets uint16) unit.ShardID {
	hash := xxhash.Sum64String(string(zone) + "\x00" + string(rack))
	return unit.ShardID{Zone: zone, Bucket: uint16(hash % uint64(max(buckets, 1)))}
}

// All returns the shards of the zones, in the order of the zones and by bucket.
func All(zones []unit.ZoneID, buckets uint16) []unit.ShardID {
	ids := make([]unit.ShardID, 0, len(zones)*int(buckets))
	for _, zone := range zones {
		for b := range buckets {
			ids = append(ids, unit.ShardID{Zone: zone, Bucket: b})
		}
	}
	return ids
}

// Ranking returns the entries in order of preference as owner of the shard: first those
// in another zone of the shard's region, then those in its own zone, then all others,
// and within each group by rendezvous hashing. The loss of a zone then takes down the
// workers or the owner, but rarely both.
func Ranking(id unit.ShardID, view View) []unit.EntryID {
	type candidate struct {
		id    unit.EntryID
		group int
		score uint64
	}
	candidates := make([]candidate, 0, len(view.Entries))
	for _, e := range view.Entries {
		group := 0
		switch {
		case view.Regions[e.Zone] != view.Regions[id.Zone]:
			group = 2
		case e.Zone == id.Zone:
			group = 1
		}
		score := xxhash.Sum64String(id.String() + "\x00" + string(e.ID))
		candidates = append(candidates, candidate{e.ID, group, score})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]unit.EntryID, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.id)
	}
	return ids
}

// Action is what an entry has to do next about the ownership of a shard.
type Action string

// Actions returned by Decide.
const (
	ActionNone    Action = "none"
	ActionClaim   Action = "claim"   // write the result of ClaimRecord
	ActionAdopt   Action = "adopt"   // use the record as it is: this entry claimed the shard and the answer was lost
	ActionRenew   Action = "renew"   // write the result of RenewRecord, as the registration is a new one
	ActionRelease Action = "release" // hand the shard over, as another entry is preferred
	ActionLost    Action = "lost"    // stop, as this entry no longer owns the shard
)

// Delays before a claim and before a hand-over.
const (
	// claimStagger is the time between the claims allowed to two entries that follow
	// each other in the ranking, so that a live entry that hangs does not block a
	// shard.
	claimStagger = 5 * time.Second
	// handOverDelay is how long another entry must have been preferred before the
	// owner hands over. A hand-over interrupts starts for about a second, so an
	// entry whose registration flaps must not cause one.
	handOverDelay = 30 * time.Second
)

// LocalEntry holds what the deciding entry knows about itself and a shard.
type LocalEntry struct {
	ID      unit.EntryID
	Session store.LeaseID // lease of its current registration
	// Epoch is the epoch under which this process owns the shard, or 0 if it does
	// not own it.
	Epoch unit.Epoch
	// Since is when, as seen by this entry, the ranking last changed or the shard
	// last became claimable.
	Since time.Time
}

// Decide returns the next action of an entry about a shard. The record must be read at
// the same time as the view or after it. A view that is older than the record cannot
// show that the owner is gone.
func Decide(id unit.ShardID, local LocalEntry, stored StoredRecord, view View, now time.Time) Action {
	ranking := Ranking(id, view)
	rank := slices.Index(ranking, local.ID)
	owned := stored.Revision != 0 && stored.Record.Owner == local.ID && !stored.Record.Released
	switch {
	case owned && local.Epoch != stored.Record.Epoch:
		return ActionAdopt
	case owned && rank >= 0 && stored.Record.Session != local.Session:
		return ActionRenew
	case owned && rank > 0 && now.Sub(local.Since) >= handOverDelay:
		return ActionRelease
	case owned:
		return ActionNone
	case local.Epoch != 0:
		return ActionLost
	case rank >= 0 && Claimable(stored, view) && now.Sub(local.Since) >= time.Duration(rank)*claimStagger:
		return ActionClaim
	}
	return ActionNone
}

// Claimable reports whether the shard has no owner: it was never claimed, it was
// released, or a view at least as recent as the claim lacks the owner.
func Claimable(stored StoredRecord, view View) bool {
	if stored.Revision == 0 || stored.Record.Released {
		return true
	}
	registered := slices.ContainsFunc(view.Entries, func(e Entry) bool { return e.ID == stored.Record.Owner })
	return view.Revision >= stored.Revision && !registered
}

// ClaimRecord returns the record with which an entry claims the shard under the next
// epoch. It must be written on condition that the stored record has not changed.
func ClaimRecord(local LocalEntry, stored StoredRecord) Record {
	return Record{Owner: local.ID, Epoch: stored.Record.Epoch + 1, Session: local.Session}
}

// RenewRecord returns the record with which the owner continues under a new
// registration.
func RenewRecord(local LocalEntry, stored StoredRecord) Record {
	r := stored.Record
	r.Session = local.Session
	return r
}

// ReleaseRecord returns the record with which the owner releases the shard. inherited
// means that leases of an earlier owner may not have expired yet.
func ReleaseRecord(stored StoredRecord, inherited bool) Record {
	r := stored.Record
	r.Released, r.Inherited = true, inherited
	return r
}

// CleanlyReleased reports whether every lease granted under earlier epochs expires
// within one lease length of the release.
func (r Record) CleanlyReleased() bool { return r.Epoch == 0 || r.Released && !r.Inherited }
