package gateway

import (
	"path"
	"slices"
	"strings"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// ownPrefix begins the paths that the gateway answers itself.
const ownPrefix = "/.monsoonfold/"

func isOwn(path string) bool { return strings.HasPrefix(path, ownPrefix) }

// routes finds the class of a request.
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
		return len(b.Method) - len(a.Method) // a route for one method goes before one for all
	})
	return rs
}

// find returns the route with the longest prefix of the path. A prefix ends at
// the end of a path segment, so /quote does not match /quotes. Dots and repeated
// slashes are resolved first, as upstreams do; otherwise /x/../charge would evade
// the route of /charge.
func (rs *routes) find(method, requested string) (classRoute, bool) {
	clean := path.Clean("/" + requested)
	if strings.HasSuffix(requested, "/") && clean != "/" {
		clean += "/"
	}
	for _, r := range rs.all {
		if (r.Method == "" || r.Method == method) && hasSegments(clean, r.Prefix) {
			return r, true
		}
	}
	return classRoute{}, false
}

func hasSegments(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
