// Package kv defines the types and the client of a key-value store with leases,
// watches and conditional transactions. It is independent of the encoding: a Doer
// sends a request to the store, directly or through another entry.
package kv

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Errors of a call; compare with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a guard of a transaction did not hold; see ConflictError.
	ErrConflict = errors.New("guard does not hold")
	// ErrCompacted means that the store no longer has the history that a watch needs.
	ErrCompacted = errors.New("history is compacted")
	// ErrOversized means that the store answered with more than a client reads. The items
	// have to be listed page by page.
	ErrOversized = errors.New("answer too large")
	// ErrLeaseEnded means that the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that the call was sent and no complete answer came. The call
	// may still take effect seconds later.
	ErrUnknown = errors.New("outcome of the store call unknown")
)

// Key is the name of an item; slashes separate its parts.
type Key string

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Item is a value with the revisions of its last change and of its creation.
type Item struct {
	Key      Key           `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint,omitempty"`
	Revision unit.Revision `cbor:"3,keyasint"`
	Created  unit.Revision `cbor:"4,keyasint,omitempty"`
	Lease    LeaseID       `cbor:"5,keyasint,omitempty"`
	Deleted  bool          `cbor:"6,keyasint,omitempty"` // in an event: the key was removed
}

// Guard is a condition of a transaction: the key was last changed at the revision,
// or does not exist if the revision is 0.
type Guard struct {
	Key      Key           `cbor:"1,keyasint"`
	Revision unit.Revision `cbor:"2,keyasint"`
}

// Put writes a value.
type Put struct {
	Key   Key     `cbor:"1,keyasint"`
	Value []byte  `cbor:"2,keyasint"`
	Lease LeaseID `cbor:"3,keyasint,omitempty"` // the item is removed when the lease ends
}

// Txn is a transaction, which is applied atomically if all guards hold.
type Txn struct {
	Guards  []Guard `cbor:"1,keyasint,omitempty"`
	Puts    []Put   `cbor:"2,keyasint,omitempty"`
	Removes []Key   `cbor:"3,keyasint,omitempty"`
}

// MaxTxnOps is the maximum number of guards, puts and removes of a transaction,
// added together.
const MaxTxnOps = 32

// Op is the operation of a request.
type Op uint8

// Operations.
const (
	OpGet Op = iota + 1
	OpRange
	OpWatch
	OpCommit
	OpGrant
	OpRenew
	OpRevoke
)

var operationNames = [...]string{
	OpGet: "get", OpRange: "range", OpWatch: "watch", OpCommit: "commit",
	OpGrant: "grant", OpRenew: "keep", OpRevoke: "revoke",
}

// Reads reports whether the operation changes nothing and returns items.
func (o Op) Reads() bool { return o == OpGet || o == OpRange || o == OpWatch }

// String returns the name of the operation.
func (o Op) String() string {
	if o == 0 || int(o) >= len(operationNames) {
		return "unknown"
	}
	return operationNames[o]
}

// Request is one call to the store. Op determines which of the other fields are used.
type Request struct {
	Op    Op            `cbor:"1,keyasint"`
	Key   Key           `cbor:"2,keyasint,omitempty"` // the key; of a range or watch the prefix
	After Key           `cbor:"3,keyasint,omitempty"` // range: the last key of the previous page
	Since unit.Revision `cbor:"4,keyasint,omitempty"` // watch: events after this revision
	Wait  time.Duration `cbor:"5,keyasint,omitempty"` // watch: how long the store may delay its answer
	Txn   Txn           `cbor:"7,keyasint,omitempty"`
	Lease LeaseID       `cbor:"8,keyasint,omitempty"`
	TTL   time.Duration `cbor:"9,keyasint,omitempty"`
}

// Waits reports whether the store may delay its answer until something changes.
func (r Request) Waits() bool { return r.Op == OpWatch && r.Wait > 0 }

// Response is the answer of the store to a request.
type Response struct {
	Items    []Item        `cbor:"1,keyasint,omitempty"` // items or events; on a conflict the guarded items
	More     bool          `cbor:"2,keyasint,omitempty"` // range: another page follows
	Revision unit.Revision `cbor:"3,keyasint,omitempty"`
	Lease    LeaseID       `cbor:"4,keyasint,omitempty"`
	TTL      time.Duration `cbor:"5,keyasint,omitempty"`
}

// ConflictError is an ErrConflict with the current state of the guarded keys. An item
// whose key does not exist has revision 0.
type ConflictError struct{ Items []Item }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Item returns the current state of a guarded key, if it exists.
func (e *ConflictError) Item(key Key) (Item, bool) {
	for _, i := range e.Items {
		if i.Key == key && i.Revision > 0 && !i.Deleted {
			return i, true
		}
	}
	return Item{}, false
}

// Doer performs one call to the store. Its errors are those of this package.
type Doer interface {
	Do(ctx context.Context, r Request) (Response, error)
}

// Client has one method for each operation of the store.
type Client struct{ Doer Doer }

// Get returns the item under the key.
func (c Client) Get(ctx context.Context, key Key) (Item, error) {
	r, err := c.Doer.Do(ctx, Request{Op: OpGet, Key: key})
	if err != nil {
		return Item{}, errors.Errorf("get %s: %w", key, err)
	}
	if len(r.Items) != 1 {
		return Item{}, errors.Errorf("get %s: %d items: %w", key, len(r.Items), ErrUnknown)
	}
	return r.Items[0], nil
}

// List returns all items under the prefix, and a revision from which a watch reports
// all their later changes. It reads several pages, which are not one snapshot.
func (c Client) List(ctx context.Context, prefix Key) ([]Item, unit.Revision, error) {
	var items []Item
	var list Listing
	for !list.Complete {
		page, err := c.NextPage(ctx, prefix, &list)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, page...)
	}
	return items, list.Revision, nil
}

// Listing is how far the items under a prefix have been read page by page.
type Listing struct {
	Last     Key           // of the pages read
	Revision unit.Revision // a watch from it reports all changes since the first page
	Complete bool          // the last page has been read
}

// NextPage returns the next page of the items under the prefix and moves the listing on.
// After an error it can be called again for the same page.
func (c Client) NextPage(ctx context.Context, prefix Key, list *Listing) ([]Item, error) {
	r, err := c.Doer.Do(ctx, Request{Op: OpRange, Key: prefix, After: list.Last})
	if err != nil {
		return nil, errors.Errorf("list %s: %w", prefix, err)
	}
	if list.Revision == 0 {
		list.Revision = r.Revision
	}
	list.Complete = !r.More || len(r.Items) == 0
	if len(r.Items) > 0 {
		list.Last = r.Items[len(r.Items)-1].Key
	}
	return r.Items, nil
}

// Watch returns the changes under the prefix after a revision, and the revision to
// continue from. If nothing changes it returns no items after about the given wait.
func (c Client) Watch(ctx context.Context, prefix Key, since unit.Revision, wait time.Duration) ([]Item, unit.Revision, error) {
	r, err := c.Doer.Do(ctx, Request{Op: OpWatch, Key: prefix, Since: since, Wait: wait})
	if err != nil {
		return nil, 0, errors.Errorf("watch %s: %w", prefix, err)
	}
	return r.Items, max(r.Revision, since), nil
}

// Poll is like Watch, but returns at once also if nothing has changed.
func (c Client) Poll(ctx context.Context, prefix Key, since unit.Revision) ([]Item, unit.Revision, error) {
	return c.Watch(ctx, prefix, since, 0)
}

// Commit applies a transaction and returns the revision that it created.
func (c Client) Commit(ctx context.Context, t Txn) (unit.Revision, error) {
	r, err := c.Doer.Do(ctx, Request{Op: OpCommit, Txn: t})
	if err != nil {
		return 0, errors.Errorf("commit: %w", err)
	}
	return r.Revision, nil
}

// Grant creates a lease and returns it with the TTL that the store granted.
func (c Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error) {
	r, err := c.Doer.Do(ctx, Request{Op: OpGrant, TTL: ttl})
	if err != nil {
		return 0, 0, errors.Errorf("grant lease: %w", err)
	}
	return r.Lease, r.TTL, nil
}

// Renew renews a lease.
func (c Client) Renew(ctx context.Context, id LeaseID) error {
	if _, err := c.Doer.Do(ctx, Request{Op: OpRenew, Lease: id}); err != nil {
		return errors.Errorf("keep lease: %w", err)
	}
	return nil
}

// Revoke ends a lease, and the store removes its items.
func (c Client) Revoke(ctx context.Context, id LeaseID) error {
	if _, err := c.Doer.Do(ctx, Request{Op: OpRevoke, Lease: id}); err != nil {
		return errors.Errorf("revoke lease: %w", err)
	}
	return nil
}
