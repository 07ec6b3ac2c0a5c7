package spec

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Canonical returns the document with its lists sorted by name. Their order has
// no meaning. The result shares no memory with d.
func Canonical(d *Document) Document {
	c := Document{
		Classes: append([]Class{}, d.Classes...), // an empty list is written as []
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

// Format returns the text of the document in canonical order, indented by two
// spaces, so that equal documents have equal text.
func Format(d *Document) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // a route may have & in its prefix
	e.SetIndent("", "  ")
	if err := e.Encode(Canonical(d)); err != nil {
		return nil, errors.Errorf("format target document: %w", err)
	}
	return b.Bytes(), nil
}
