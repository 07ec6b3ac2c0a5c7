// Package caller is the stand-in for callers: an open-loop load generator that
// measures each latency from the time at which the request was due, and checks
// that each response is complete and belongs to its request.
package caller

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Settings configure one load.
type Settings struct {
	Entries []string // IP and port of each entry, on loopback
	Kinds   []Kind
	Rate    float64       // requests per second over all kinds, of a Poisson process
	Count   int           // maximum number of requests, without repeats
	Length  time.Duration // time within which requests are due
	Timeout time.Duration // of each request; also sent as its deadline
	// Repeat is the fraction, from 0 to 1, of the non-idempotent requests that
	// are also sent through the next entry at the same time, with the same
	// Idempotency-Key.
	Repeat float64
	// Direct states that the entries are workers, whose responses have no
	// outcome header: a complete response to the request counts as done.
	Direct bool
	Seed   uint64
}

// Kind is a kind of request within the load.
type Kind struct {
	Method string
	Path   string // beginning with a slash, without a query
	Weight float64
	Once   bool // non-idempotent
}

// Limits of a load, so that a typing error cannot exhaust the machine that all
// stand-ins share.
const (
	maxCount  = 1_000_000
	maxRate   = 20_000
	maxLength = 10 * time.Minute
)

// Validate reports every fault of the settings.
func (s Settings) Validate() error {
	var faults []error
	check := func(ok bool, field, want string) {
		if !ok {
			faults = append(faults, errors.Errorf("%s: want %s", field, want))
		}
	}
	check(len(s.Entries) > 0, "entries", "at least one")
	for _, entry := range s.Entries {
		address, err := netip.ParseAddrPort(entry)
		check(err == nil && address.Addr().IsLoopback(), "entry "+entry, "a loopback IP and port")
	}
	check(len(s.Kinds) > 0, "kinds", "at least one")
	for _, kind := range s.Kinds {
		check(kind.Method != "", "method of "+kind.Path, "an HTTP method")
		check(len(kind.Path) > 0 && kind.Path[0] == '/', "path "+kind.Path, "a leading slash")
		check(kind.Weight > 0, "weight of "+kind.Path, "more than 0")
	}
	check(s.Rate > 0 && s.Rate <= maxRate, "rate", "more than 0 and at most 20000")
	check(s.Count > 0 && s.Count <= maxCount, "count", "1 to 1000000")
	check(s.Length > 0 && s.Length <= maxLength, "length", "more than 0 and at most 10m")
	check(s.Timeout > 0, "timeout", "more than 0")
	check(s.Repeat >= 0 && s.Repeat <= 1, "repeat", "0 to 1")
	return errors.Join(faults...)
}
