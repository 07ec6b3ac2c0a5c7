package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// SettledView is a view that an entry has adopted and whose lost slots it no
// longer uses. Members tells views with other entries apart: an entry that went
// and came back between two revisions may own slots under the later one only.
type SettledView struct {
	Revision    unit.Revision `cbor:"1,keyasint"`
	MembersHash uint64        `cbor:"2,keyasint"` // as of Fingerprint
}

// Fingerprint returns a hash of the ids of a view, which must be sorted.
func Fingerprint(ids []unit.EntryID) uint64 {
	d := xxhash.New()
	for _, id := range ids {
		_, _ = d.WriteString(string(id)) // a hash takes every write
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
