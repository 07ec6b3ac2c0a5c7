// Package organisation holds what the operators' configuration says of organisations:
// their API keys, their shares and their quotas. The package does no I/O and reads no
// clock.
package organisation

import "github.com/monsoonfold/monsoonfold/internal/fleet/unit"

// Organisation is one organisation of a version of the configuration.
type Organisation struct {
	ID unit.OrganisationID
	// Weight is the share of the organisation while all capacity is in use, relative to
	// the weights of the others. It is also the number of jobs a second that are within
	// the organisation's rate.
	Weight float64
	// Cap bounds what the organisation may have running across all workers. A component
	// of 0 is no limit.
	Cap unit.Resources
}
