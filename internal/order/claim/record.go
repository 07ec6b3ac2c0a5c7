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

// Key is a shortened hash of a request id. Ids are chosen by callers, so the hash
// has to resist collisions made on purpose.
type Key [16]byte

// Nonce names one call of Claim, so that its claim is found again after a lost
// response.
type Nonce uint64

// KeyOf returns the key of a request id.
func KeyOf(id unit.RequestID) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(sum[:len(Key{})])
}

// claimSize is the encoded size of a claim: a key and a nonce.
const claimSize = len(Key{}) + 8

// maxClaims keeps a record below 1 MB with its framing.
const maxClaims = 40_000

// Record holds the claims of one bucket in one period. It is never changed in
// place.
type Record struct {
	// Sealed says that the record takes no more claims. The next period begins
	// once it is set, so that no claim is written to a record that another entry
	// has already checked.
	Sealed bool
	claims []claimed // in the order of keys
}

type claimed struct {
	key   Key
	nonce Nonce
}

// wireRecord is the form of a record in the store.
type wireRecord struct {
	Sealed bool   `cbor:"1,keyasint,omitempty"`
	Claims []byte `cbor:"2,keyasint"`
}

// Encode returns the form of the record in the store.
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

// Decode reads the form of a record in the store.
func Decode(data []byte) (Record, error) {
	var w wireRecord
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Record{}, errors.Errorf("decode claims: %w", err)
	}
	if len(w.Claims)%claimSize != 0 {
		return Record{}, errors.Errorf("decode claims: %d bytes are not a multiple of %d", len(w.Claims), claimSize)
	}
	r := Record{Sealed: w.Sealed, claims: make([]claimed, 0, len(w.Claims)/claimSize)}
	for rest := w.Claims; len(rest) > 0; rest = rest[claimSize:] {
		c := claimed{key: Key(rest[:len(Key{})]), nonce: Nonce(binary.BigEndian.Uint64(rest[len(Key{}):]))}
		if n := len(r.claims); n > 0 && bytes.Compare(r.claims[n-1].key[:], c.key[:]) >= 0 {
			return Record{}, errors.Errorf("decode claims: key %x out of order", c.key)
		}
		r.claims = append(r.claims, c)
	}
	return r, nil
}

func (r Record) find(key Key) (int, bool) {
	return slices.BinarySearchFunc(r.claims, key, func(c claimed, key Key) int {
		return bytes.Compare(c.key[:], key[:])
	})
}

// nonce returns the nonce of the claim of a key.
func (r Record) nonce(key Key) (Nonce, bool) {
	i, ok := r.find(key)
	if !ok {
		return 0, false
	}
	return r.claims[i].nonce, true
}

func (r Record) clone() Record {
	r.claims = slices.Clone(r.claims)
	return r
}

// add and remove change a clone.
func (r *Record) add(key Key, nonce Nonce) {
	i, _ := r.find(key)
	r.claims = slices.Insert(r.claims, i, claimed{key, nonce})
}

func (r *Record) remove(key Key) {
	if i, ok := r.find(key); ok {
		r.claims = slices.Delete(r.claims, i, i+1)
	}
}
