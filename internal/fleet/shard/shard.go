// Package shard has the pure rules of shard ownership: which racks belong to
// which shard, who should own a shard, and when a shard may be claimed, renewed
// or released. Section 5.4 of docs/design.md describes the mechanism.
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

// Region names a group of zones that are near each other. Zones without one are
// all in the region with the empty name.
type Region string

// Entry is a registered entry as the ownership rules see it.
type Entry struct {
	ID   unit.EntryID
	Zone unit.ZoneID
}

// View is the set of registered entries as of a store revision.
type View struct {
	Revision unit.Revision
	Entries  []Entry
	Regions  map[unit.ZoneID]Region
}

// Record is the durable record of a shard's ownership. It stays in place when
// the owner goes, so that the epoch never falls.
type Record struct {
	Owner   unit.EntryID  `json:"owner"`
	Epoch   unit.Epoch    `json:"epoch"`
	Session store.LeaseID `json:"session"` // registration lease under which the owner starts tasks
	// Released says that the owner has stopped sending anything to workers.
	Released bool `json:"released,omitempty"`
	// Inherited says that the owner, when it released the shard, still waited
	// for leases that an earlier owner may be renewing.
	Inherited bool `json:"inherited,omitempty"`
}

// StoredRecord is a record with the store revision that wrote it; the zero value stands
// for a record that does not exist.
type StoredRecord struct {
	Record   Record
	Revision unit.Revision
}

// Key returns the store key of a shard's record.
func Key(id unit.ShardID) store.Key { return store.Key("shard/" + id.String()) }

// Encode returns the stored form of a record.
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

// ForRack returns the shard of a rack among the buckets of its zone.
func ForRack(zone unit.ZoneID, rack unit.RackID, buckets uint16) unit.ShardID {
	h := xxhash.Sum64String(string(zone) + "\x00" + string(rack))
	return unit.ShardID{Zone: zone, Bucket: uint16(h % uint64(max(buckets, 1)))}
}

// All returns the shards of the zones in order.
func All(zones []unit.ZoneID, buckets uint16) []unit.ShardID {
	ids := make([]unit.ShardID, 0, len(zones)*int(buckets))
	for _, zone := range zones {
		for b := range buckets {
			ids = append(ids, unit.ShardID{Zone: zone, Bucket: b})
		}
	}
	return ids
}

// Ranking returns the entries in the order in which they should own the shard:
// those in another zone of the shard's region, then those in its own zone, then
// all others; within each group by rendezvous hashing. The loss of a zone then
// takes the workers or the owner but rarely both.
func Ranking(id unit.ShardID, v View) []unit.EntryID {
	type candidate struct {
		id    unit.EntryID
		group int
		score uint64
	}
	candidates := make([]candidate, 0, len(v.Entries))
	for _, e := range v.Entries {
		group := 0
		switch {
		case v.Regions[e.Zone] != v.Regions[id.Zone]:
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

// Action is what an entry should do about a shard.
type Action string

// Steps.
const (
	ActionNone    Action = "none"
	ActionClaim   Action = "claim"   // write the record of Claim
	ActionAdopt   Action = "adopt"   // the record already names this entry: a claim whose answer was lost
	ActionRenew   Action = "renew"   // write the record of Renew: the registration is a new one
	ActionRelease Action = "release" // another entry should own it
	ActionLost    Action = "lost"    // another entry owns it
)

// Waits of the ownership rules.
const (
	// turn is how long each entry of the ranking has for its claim before the
	// next one may claim, so that a live entry that hangs does not block a shard.
	turn = 5 * time.Second
	// settle is how long another entry must have been preferred before the owner
	// hands over. A hand-over stops starts for about a second, so an entry that
	// only flaps must not cause one.
	settle = 30 * time.Second
)

// LocalEntry is what the deciding entry knows about itself and a shard.
type LocalEntry struct {
	ID      unit.EntryID
	Session store.LeaseID // of its present registration
	// Epoch is the epoch under which this process holds the shard, 0 if it does
	// not hold it.
	Epoch unit.Epoch
	// Since is when the ranking last changed or the shard last became free, as
	// seen by this entry.
	Since time.Time
}

// Decide returns the next step of an entry about a shard. The record must have
// been read not before the view; a view that is older than the record cannot
// show that the owner is gone.
func Decide(id unit.ShardID, self LocalEntry, held StoredRecord, v View, now time.Time) Action {
	ranking := Ranking(id, v)
	rank := slices.Index(ranking, self.ID)
	mine := held.Revision != 0 && held.Record.Owner == self.ID && !held.Record.Released
	switch {
	case mine && self.Epoch != held.Record.Epoch:
		return ActionAdopt
	case mine && rank >= 0 && held.Record.Session != self.Session:
		return ActionRenew
	case mine && rank > 0 && now.Sub(self.Since) >= settle:
		return ActionRelease
	case mine:
		return ActionNone
	case self.Epoch != 0:
		return ActionLost
	case rank >= 0 && Claimable(held, v) && now.Sub(self.Since) >= time.Duration(rank)*turn:
		return ActionClaim
	}
	return ActionNone
}

// Claimable reports whether the shard has no owner: it was never claimed, it was
// released, or a view read after the claim lacks the owner.
func Claimable(held StoredRecord, v View) bool {
	if held.Revision == 0 || held.Record.Released {
		return true
	}
	registered := slices.ContainsFunc(v.Entries, func(e Entry) bool { return e.ID == held.Record.Owner })
	return v.Revision >= held.Revision && !registered
}

// ClaimRecord returns the record with which an entry takes over after held. It is
// written on the condition that held has not changed.
func ClaimRecord(self LocalEntry, held StoredRecord) Record {
	return Record{Owner: self.ID, Epoch: held.Record.Epoch + 1, Session: self.Session}
}

// RenewRecord returns the record with which the owner goes on under a new registration.
func RenewRecord(self LocalEntry, held StoredRecord) Record {
	r := held.Record
	r.Session = self.Session
	return r
}

// ReleaseRecord returns the record with which the owner gives the shard up. Inherited
// says that leases of an earlier owner may still be running.
func ReleaseRecord(held StoredRecord, inherited bool) Record {
	r := held.Record
	r.Released, r.Inherited = true, inherited
	return r
}

// CleanlyReleased reports whether every lease granted under earlier epochs is
// bounded by one term from the release.
func (r Record) CleanlyReleased() bool { return r.Epoch == 0 || r.Released && !r.Inherited }
