package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// SettledView identifies a view that an entry has adopted and whose lost slots the
// entry no longer uses. MembersHash tells apart views with different entries: an
// entry that left and returned between two revisions may own slots only under the
// later one.
type SettledView struct {
	Revision    unit.Revision `cbor:"1,keyasint"`
	MembersHash uint64        `cbor:"2,keyasint"` // as returned by Fingerprint
}

// Fingerprint returns a hash of the entry ids of a view, which must be sorted.
func Fingerprint(ids []unit.EntryID) uint64 {
	d := xxhash.New()
	for _, id := range ids {
		_, _ = d.WriteString(string(id)) // a Digest never returns an error
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
