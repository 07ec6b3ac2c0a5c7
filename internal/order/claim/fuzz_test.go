package claim

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzDecode guards against a corrupt record that crashes an entry, or that changes
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range []Record{{}, {Sealed: true}, {claims: []storedClaim{{Key{1}, 1}, {Key{2}, 2}}}} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(r, got, cmp.AllowUnexported(Record{}, storedClaim{})); diff != "" {
			t.Errorf("record (-first +second):\n%s", diff)
		}
	})
}
