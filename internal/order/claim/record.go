package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Key is a truncated hash of a request id. Callers choose the ids, so the hash has to
// resist deliberate collisions.
type Key [16]byte

// Nonce identifies one call of Claim, so that its claim can be recognized after a
// response was lost.
type Nonce uint64

// KeyOf returns the key of a request id.
func KeyOf(id unit.RequestID) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(sum[:len(Key{})])
}

// claimSize is the size of an encoded claim in bytes: a key and a nonce.
const claimSize = len(Key{}) + 8

// maxClaims is the maximum number of claims in a record. It keeps the encoded record
// below 1 MB, the limit of the store.
const maxClaims = 40_000

// Record holds the claims of one bucket in one period. A stored record is never
// changed in place; changes are made to a clone.
type Record struct {
	// Sealed means that the record accepts no more claims. The next period starts
	// only after the record is sealed, so no claim is added to a record that
	// another entry has already checked.
	Sealed bool
	claims []storedClaim // sorted by key
}

// storedClaim is a claim in a record.
type storedClaim struct {
	key   Key
	nonce Nonce
}

// wireRecord is the stored form of a record.
type wireRecord struct {
	Sealed bool   `cbor:"1,keyasint,omitempty"`
	Claims []byte `cbor:"2,keyasint"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	w := wireRecord{Sealed: r.Sealed, Claims: make([]byte, 0, len(r.claims)*claimSize)}
	for _, c := range r.claims {
		w.Claims = append(w.Claims, c.key[:]...)
		w.Claims = binary.BigEndian.AppendUint64(w.Claims, uint64(c.nonce))
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, errors.Errorf("encode claims: %w", err)
	}
	return data, nil
}

// Decode parses the stored form of a record.
func Decode(data []byte) (Record, error) {
	var w wireRecord
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Record{}, errors.Errorf("decode claims: %w", err)
	}
	if len(w.Claims)%claimSize != 0 {
		return Record{}, errors.Errorf("decode claims: %d bytes are not a multiple of %d", len(w.Claims), claimSize)
	}
	r := Record{Sealed: w.Sealed, claims: make([]storedClaim, 0, len(w.Claims)/claimSize)}
	for remaining := w.Claims; len(remaining) > 0; remaining = remaining[claimSize:] {
		c := storedClaim{key: Key(remaining[:len(Key{})]), nonce: Nonce(binary.BigEndian.Uint64(remaining[len(Key{}):]))}
		if n := len(r.claims); n > 0 && bytes.Compare(r.claims[n-1].key[:], c.key[:]) >= 0 {
			return Record{}, errors.Errorf("decode claims: key %x out of order", c.key)
		}
		r.claims = append(r.claims, c)
	}
	return r, nil
}

// search returns the position of a key and reports whether the key is claimed.
func (r Record) search(key Key) (int, bool) {
	return slices.BinarySearchFunc(r.claims, key, func(c storedClaim, key Key) int {
		return bytes.Compare(c.key[:], key[:])
	})
}

// nonceOf returns the nonceOf of the claim of a key.
func (r Record) nonceOf(key Key) (Nonce, bool) {
	i, ok := r.search(key)
	if !ok {
		return 0, false
	}
	return r.claims[i].nonce, true
}

func (r Record) clone() Record {
	r.claims = slices.Clone(r.claims)
	return r
}

// add adds a claim. The record must be a clone, as for remove.
func (r *Record) add(key Key, nonce Nonce) {
	i, _ := r.search(key)
	r.claims = slices.Insert(r.claims, i, storedClaim{key, nonce})
}

// remove removes the claim of a key.
func (r *Record) remove(key Key) {
	if i, ok := r.search(key); ok {
		r.claims = slices.Delete(r.claims, i, i+1)
	}
}
