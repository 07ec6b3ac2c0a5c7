package gateway

import (
	"path"
	"slices"
	"strings"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// reservedPrefix is the prefix of the paths that the gateway answers itself.
const reservedPrefix = "/.monsoonfold/"

func isReserved(path string) bool { return strings.HasPrefix(path, reservedPrefix) }

// routes maps method and path of a request to its class.
type routes struct {
	revision unit.Revision
	all      []classRoute // longest prefix first
}

type classRoute struct {
	spec.Route
	class spec.Class
}

func newRoutes(r *spec.Revision) *routes {
	rs := &routes{revision: r.Number}
	for _, c := range r.Document.Classes {
		if c.Kind != spec.KindRequest {
			continue
		}
		for _, route := range c.Routes {
			rs.all = append(rs.all, classRoute{route, c})
		}
	}
	slices.SortStableFunc(rs.all, func(a, b classRoute) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		return len(b.Method) - len(a.Method) // a route for one method precedes a route for all methods
	})
	return rs
}

// find returns the route with the longest prefix that matches the path. A prefix
// matches whole path segments only, so /quote does not match /quotes. The path is
// cleaned first, as upstreams do: otherwise /x/../charge would bypass the route of
// /charge.
func (rs *routes) find(method, requested string) (classRoute, bool) {
	clean := path.Clean("/" + requested)
	if strings.HasSuffix(requested, "/") && clean != "/" {
		clean += "/"
	}
	for _, r := range rs.all {
		if (r.Method == "" || r.Method == method) && hasPathPrefix(clean, r.Prefix) {
			return r, true
		}
	}
	return classRoute{}, false
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
