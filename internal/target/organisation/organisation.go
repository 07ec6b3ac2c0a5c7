// Package organisation holds what the operators' configuration says of organisations:
// their API keys, their shares and their quotas. The package does no I/O, apart from drawing
// the random key of a key table, and reads no clock.
package organisation

import (
	"math"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Organisation is one organisation of a version of the configuration.
type Organisation struct {
	ID unit.OrganisationID
	// Weight is the share of the organisation while all capacity is in use, relative to
	// the weights of the others. It is also the number of jobs a second that are within
	// the organisation's rate.
	Weight float64
	// Cap bounds what the organisation may have running across all workers. A component
	// of 0 is no limit, and a negative one admits nothing of that resource.
	Cap unit.Resources
}

// Entry is an organisation with its API keys, as the configuration lists them.
type Entry struct {
	Organisation
	Keys []string
}

// maxWeight bounds a weight, so that sums and products of weights stay finite.
const maxWeight = 1e9

// defaultWeight is the weight of an organisation whose own is not positive.
const defaultWeight = 1

// New returns the organisations of a configuration in order of their ids, and the table of
// their keys. A faulty entry does not affect the others: each fault is returned, in words
// that name no key.
//   - Entries without an id are left out, and all but the first entry of an id.
//   - A key of several organisations belongs to the first one in order of id.
//   - A weight that is not positive counts as 1.
func New(entries []Entry) ([]Organisation, *Keys, []error) {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var faults []error
	var organisations []Organisation
	builder := newKeysBuilder(entries)
	for _, e := range sorted {
		if e.ID == "" {
			faults = append(faults, errors.New("organisation without a name left out"))
			continue
		}
		if n := len(organisations); n > 0 && organisations[n-1].ID == e.ID {
			faults = append(faults, errors.Errorf("organisation %q is listed again: left out", e.ID))
			continue
		}
		o := e.Organisation
		if !(o.Weight > 0) { // also matches NaN
			faults = append(faults, errors.Errorf("organisation %q: weight %v counts as %d", o.ID, o.Weight, defaultWeight))
			o.Weight = defaultWeight
		}
		o.Weight = math.Min(o.Weight, maxWeight)
		organisations = append(organisations, o)
		faults = append(faults, builder.add(organisations, e.Keys)...)
	}
	return organisations, builder.build(organisations), faults
}
