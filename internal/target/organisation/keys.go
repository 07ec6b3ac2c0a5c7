package organisation

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"hash"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// digest is the keyed hash of an API key.
type digest [sha256.Size]byte

// prefix returns the part of the digest by which a table is searched.
func (d *digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Keys is the table of the API keys of one version of the configuration. It holds hashes of
// them under a random key of its own, so that neither a dump of the memory nor the time of a
// lookup reveals a key. Its content never changes.
type Keys struct {
	macs          sync.Pool // hash.Hash under the random key
	longest       int       // length of the longest key; a longer one is not hashed
	organisations []Organisation
	entries       []keyEntry // in order of prefix
}

// keyEntry is one key of a table.
type keyEntry struct {
	digest       digest
	organisation int // index in Keys.organisations
}

// Lookup returns the organisation that a key belongs to, and false for an unknown key.
func (k *Keys) Lookup(key string) (Organisation, bool) {
	if len(key) > k.longest {
		return Organisation{}, false
	}
	wanted := k.hash(key)
	i, _ := slices.BinarySearchFunc(k.entries, wanted.prefix(), compareToPrefix)
	for ; i < len(k.entries) && k.entries[i].digest.prefix() == wanted.prefix(); i++ {
		if e := &k.entries[i]; subtle.ConstantTimeCompare(e.digest[:], wanted[:]) == 1 {
			return k.organisations[e.organisation], true
		}
	}
	return Organisation{}, false
}

// Len returns the number of keys.
func (k *Keys) Len() int { return len(k.entries) }

func (k *Keys) hash(key string) digest {
	mac := k.macs.Get().(hash.Hash)
	defer k.macs.Put(mac)
	mac.Reset()
	_, _ = mac.Write([]byte(key)) // a hash returns no error
	var d digest
	mac.Sum(d[:0])
	return d
}

func compareToPrefix(e keyEntry, prefix uint64) int { return cmp.Compare(e.digest.prefix(), prefix) }

// keysBuilder collects the keys of a table.
type keysBuilder struct {
	keys    *Keys
	holders map[digest]int // index of the organisation that a key belongs to
}

// newKeysBuilder returns a builder for the keys of some entries.
func newKeysBuilder(entries []Entry) *keysBuilder {
	n := 0
	for i := range entries {
		n += len(entries[i].Keys)
	}
	b := &keysBuilder{keys: &Keys{}, holders: make(map[digest]int, n)}
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // ends the process instead of returning an error
	b.keys.macs.New = func() any { return hmac.New(sha256.New, secret) }
	return b
}

// add adds the keys of the last one of the organisations. It returns an error for each
// organisation before it that has one of the keys too.
func (b *keysBuilder) add(organisations []Organisation, keys []string) []error {
	own := len(organisations) - 1
	var sharers []int
	for _, key := range keys {
		if key == "" {
			continue // a request without a key has the empty one
		}
		d := b.keys.hash(key)
		holder, taken := b.holders[d]
		switch {
		case !taken:
			b.holders[d] = own
			b.keys.longest = max(b.keys.longest, len(key))
		case holder != own && !slices.Contains(sharers, holder):
			sharers = append(sharers, holder)
		}
	}
	var faults []error
	for _, holder := range sharers {
		faults = append(faults, errors.Errorf("organisations %q and %q have a key in common: it belongs to the first",
			organisations[holder].ID, organisations[own].ID))
	}
	return faults
}

// build returns the table.
func (b *keysBuilder) build(organisations []Organisation) *Keys {
	b.keys.organisations = organisations
	b.keys.entries = make([]keyEntry, 0, len(b.holders))
	for d, holder := range b.holders {
		b.keys.entries = append(b.keys.entries, keyEntry{d, holder})
	}
	slices.SortFunc(b.keys.entries, func(x, y keyEntry) int { return cmp.Compare(x.digest.prefix(), y.digest.prefix()) })
	return b.keys
}
