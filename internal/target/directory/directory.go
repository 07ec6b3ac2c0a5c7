// Package directory follows the operators' configuration in the store: the routes
// from hosts and paths to queues, the limits of requests, and the zones that are
// out of service.
package directory

import (
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// Route maps requests for a host and path prefix to a queue.
type Route struct {
	Host    string
	Prefix  string // starts and ends with a slash
	Queue   graph.Queue
	Timeout time.Duration // bounds the time until a request is answered
}

// Document is one version of the configuration.
type Document struct {
	Version unit.Revision
	Routes  []Route
	MaxBody unit.Bytes // maximum size of a request body; 0 means no limit
	// Organisations are those that the configuration names.
	Organisations []organisation.Organisation
}

// Match returns the route of the host with the longest prefix of the path, and the
// remainder of the path after that prefix.
func (d *Document) Match(host, path string) (Route, string, bool) {
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	if best == nil {
		return Route{}, "", false
	}
	return *best, path[len(best.Prefix):], true
}
