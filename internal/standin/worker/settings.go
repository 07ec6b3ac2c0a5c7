package worker

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Settings describe one worker.
type Settings struct {
	Name     unit.InstanceID
	Zone     unit.ZoneID
	Rack     unit.RackID
	Service  unit.ServiceID
	Upstream string // IP and port to listen at for requests
	Control  string // IP and port to listen at for task orders

	Capacity    unit.Resources
	Reserved    unit.Resources // by the worker's own service
	Slots       int            // requests at a time
	Connections int            // open upstream connections

	// Median and Sigma give the service time of a request without interference:
	// Median * exp(Sigma * normal). A Median of 0 responds at once.
	Median time.Duration
	Sigma  float64
	// Interference has, by class of task, the factor by which tasks of that class
	// slow requests down when they use all cores and all slots are in use.
	Interference map[unit.ClassID]float64
	// Spread is the sigma by which the true sizes and run times of tasks differ
	// from the declared ones; 0 makes the declarations true.
	Spread   float64
	UsageLag time.Duration // how far reported usage lies back
	Seed     uint64
}

// DefaultSettings returns a worker of the size of design section 1.1, at free
// ports of the loopback address, that responds at once.
func DefaultSettings(name unit.InstanceID) Settings {
	return Settings{
		Name:        name,
		Upstream:    "127.0.0.1:0",
		Control:     "127.0.0.1:0",
		Capacity:    unit.Resources{Cores: 64000, Memory: 250 << 30},
		Reserved:    unit.Resources{Cores: 16000, Memory: 64 << 30},
		Slots:       8,
		Connections: 64,
		UsageLag:    5 * time.Second,
	}
}

// Validate reports every fault of the settings.
func (s Settings) Validate() error {
	var faults []error
	check := func(ok bool, field, want string) {
		if !ok {
			faults = append(faults, errors.Errorf("%s: want %s", field, want))
		}
	}
	check(s.Name != "", "name", "a worker id")
	check(s.Capacity.Valid(), "capacity", "positive resources")
	check(s.Reserved == unit.Resources{} || s.Reserved.Valid(), "reserved", "no negative resources")
	check(s.Reserved.Fits(s.Capacity), "reserved", "at most the capacity")
	check(s.Slots > 0, "slots", "at least 1")
	check(s.Connections > 0, "connections", "at least 1")
	check(s.Median >= 0, "median", "0 or more")
	check(s.Sigma >= 0, "sigma", "0 or more")
	check(s.Spread >= 0, "spread", "0 or more")
	check(s.UsageLag >= 0, "usage lag", "0 or more")
	return errors.Join(faults...)
}

// Instance returns the row of the platform's list for the worker. The addresses
// are those that it listens at once it has started.
func (s *Server) Instance() store.Instance {
	return store.Instance{
		ID: s.settings.Name, Zone: s.settings.Zone, Rack: s.settings.Rack, Service: s.settings.Service,
		State: store.InstanceLive, Upstream: s.Address(), Control: s.ControlAddress(),
		Capacity: s.settings.Capacity, Slots: s.settings.Slots, Connections: s.settings.Connections,
	}
}
