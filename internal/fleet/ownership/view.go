// Package ownership registers this entry in the store and elects the owner of the
// shard: at most one entry per epoch, under a lease.
package ownership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Keys of the store. All entries watch keyPrefix, so nothing that changes often is
// stored under it.
const (
	keyPrefix   kv.Key = "coord/"
	entryPrefix kv.Key = keyPrefix + "entry/"
	ownerKey    kv.Key = keyPrefix + "owner"
	// EpochKey is the key of the highest epoch. All writes of an owner are guarded by
	// the revision of that record, which changes when another entry claims.
	EpochKey kv.Key = keyPrefix + "epoch"
)

// entryRecord is the registration of an entry. Earlier versions register without a
// capacity.
type entryRecord struct {
	mesh.Peer
	Capacity Capacity `cbor:"3,keyasint"`
	// RelaysStarts says that the entry sends starts for the owner.
	RelaysStarts bool `cbor:"4,keyasint,omitempty"`

	created unit.Revision // of the registration
	seenAt  time.Time     // when it was first seen with that revision
}

// ownerRecord names the owner of the shard. It is stored under the owner's lease, so
// that it is removed when the owner stops renewing.
type ownerRecord struct {
	Entry unit.EntryID `cbor:"1,keyasint"`
	Epoch unit.Epoch   `cbor:"2,keyasint"`
}

// epochRecord holds the highest epoch and the entry that claimed it. It is not under a
// lease, so that the epoch never decreases.
type epochRecord struct {
	Entry unit.EntryID `cbor:"1,keyasint"`
	Epoch unit.Epoch   `cbor:"2,keyasint"`
	// Address is that of the entry. Earlier versions claim without it.
	Address string `cbor:"3,keyasint,omitempty"`
}

// View is an entry's knowledge of the registered entries, the owner and the epoch.
type View struct {
	entries        map[unit.EntryID]entryRecord
	owner          ownerRecord
	ownerSeen      bool          // an owner has been seen since this process began
	ownerRevision  unit.Revision // revision of the owner record, 0 without an owner
	epoch          epochRecord
	epochRevision  unit.Revision
	ownerlessSince time.Time // when the shard was first seen without an owner
}

func newView() View { return View{entries: map[unit.EntryID]entryRecord{}} }

// apply applies an item or an event of the store to the view.
func (v *View) apply(item kv.Item, now time.Time) error {
	switch {
	case item.Key == ownerKey:
		if item.Deleted {
			v.owner, v.ownerRevision, v.ownerlessSince = ownerRecord{}, 0, now
			return nil
		}
		v.ownerRevision, v.ownerSeen = item.Revision, true
		return decode(item, &v.owner)
	case item.Key == EpochKey && !item.Deleted:
		v.epochRevision = item.Revision
		return decode(item, &v.epoch)
	case strings.HasPrefix(string(item.Key), string(entryPrefix)):
		id := unit.EntryID(item.Key[len(entryPrefix):])
		if item.Deleted {
			delete(v.entries, id)
			return nil
		}
		var entry entryRecord
		if err := decode(item, &entry); err != nil {
			return err
		}
		entry.created, entry.seenAt = item.Created, now
		if known, ok := v.entries[id]; ok && known.created == item.Created {
			entry.seenAt = known.seenAt
		}
		v.entries[id] = entry
	}
	return nil
}

// previousOwnerEnded returns when another process was seen that has registered at the address
// of the last owner since its claim, and false if there is none. Two processes cannot have one
// address, so that the last owner has ended by then.
func (v *View) previousOwnerEnded() (time.Time, bool) {
	if v.epoch.Address == "" {
		return time.Time{}, false
	}
	for id, entry := range v.entries {
		if id != v.epoch.Entry && entry.Address == v.epoch.Address && entry.created > v.epochRevision {
			return entry.seenAt, true
		}
	}
	return time.Time{}, false
}

func decode(item kv.Item, into any) error {
	if err := cbor.Unmarshal(item.Value, into); err != nil {
		return errors.Errorf("decode %s: %w", item.Key, err)
	}
	return nil
}

// claimRevision returns the revision at which the owner has claimed the shard, or 0 without
// an owner. An owner that claims again under its epoch goes on with what it has read.
func (v *View) claimRevision() unit.Revision {
	if v.ownerRevision == 0 || v.owner.Epoch != v.epoch.Epoch {
		return 0
	}
	return v.epochRevision
}

// byCapacity compares two registered entries, the one with more capacity first.
func (v *View) byCapacity(a, b unit.EntryID) int {
	return cmp.Compare(v.entries[b].Capacity.class(), v.entries[a].Capacity.class())
}

// startRelays returns the entries other than self that send starts for the owner, those
// with most capacity first.
func (v *View) startRelays(self unit.EntryID) []unit.EntryID {
	var ids []unit.EntryID
	for id, entry := range v.entries {
		if entry.RelaysStarts && id != self {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b unit.EntryID) int { return cmp.Or(v.byCapacity(a, b), cmp.Compare(a, b)) })
	return ids
}

// Delays before a claim.
const (
	// claimStagger is the time between the claims of two entries, so that they rarely
	// claim at once.
	claimStagger = 60 * time.Millisecond
	// previousOwnerGrace leaves the previous owner, if it is alive, time to claim again
	// after an outage of the store, since a takeover by another entry causes a
	// longer interruption.
	previousOwnerGrace = time.Second
	// registrationWindow leaves entries that start together time to register, as the
	// capacity of those that have not is unknown.
	registrationWindow = 500 * time.Millisecond
)

// claimTime returns when this entry should claim a shard that has no owner. The
// previous owner may claim at once, and the others after it one by one, those with most
// capacity first and those of equal capacity in an order that differs between epochs.
func (v *View) claimTime(self unit.EntryID, storeRecoveredAt time.Time) time.Time {
	if v.epoch.Entry == self {
		return v.ownerlessSince
	}
	ids := make([]unit.EntryID, 0, len(v.entries))
	for id := range v.entries {
		ids = append(ids, id)
	}
	sortKey := func(id unit.EntryID) uint64 {
		return xxhash.Sum64String(string(id)) ^ xxhash.Sum64String(string(rune(v.epoch.Epoch)))
	}
	slices.SortFunc(ids, func(a, b unit.EntryID) int {
		return cmp.Or(v.byCapacity(a, b), cmp.Compare(sortKey(a), sortKey(b)))
	})
	rank := max(slices.Index(ids, self), 0)
	claimAt := v.ownerlessSince.Add(time.Duration(rank) * claimStagger)
	if !v.ownerSeen {
		claimAt = claimAt.Add(registrationWindow)
	}
	if _, alive := v.entries[v.epoch.Entry]; alive && v.ownerlessSince.Sub(storeRecoveredAt).Abs() < 2*previousOwnerGrace {
		claimAt = claimAt.Add(previousOwnerGrace)
	}
	return claimAt
}
