package spec

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Canonical returns a deep copy of the document with its lists sorted, since their
// order has no meaning.
func Canonical(d *Document) Document {
	c := Document{
		Classes: append([]Class{}, d.Classes...), // non-nil, so that an empty list is encoded as []
		Teams:   slices.Clone(d.Teams),
		Zones:   append([]Zone{}, d.Zones...),
	}
	slices.SortStableFunc(c.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	for i := range c.Classes {
		routes := slices.Clone(c.Classes[i].Routes)
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Method, b.Method))
		})
		c.Classes[i].Routes = routes
	}
	return c
}

// Format encodes the document as JSON in canonical order, indented by two spaces,
// so that equal documents have equal text.
func Format(d *Document) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // the prefix of a route may contain &
	e.SetIndent("", "  ")
	if err := e.Encode(Canonical(d)); err != nil {
		return nil, errors.Errorf("format target document: %w", err)
	}
	return b.Bytes(), nil
}
