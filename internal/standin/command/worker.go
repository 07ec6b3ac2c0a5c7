package command

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// gibibyte is the unit of the memory flags.
const gibibyte = 1 << 30

// workerFlags are the flags of the worker command in the units of the flags.
type workerFlags struct {
	settings                      worker.Settings
	name, zone, rack, service     string
	cores, memory, accelerators   int
	reservedCores, reservedMemory int
	workers, racks                int
	interference                  []string
}

func newWorkerCommand() *command {
	d := worker.DefaultSettings("w")
	f := &workerFlags{
		settings: d, name: "w", zone: "z", rack: "r", service: "s",
		cores: int(d.Capacity.Cores / 1000), memory: int(d.Capacity.Memory / gibibyte),
		reservedCores: int(d.Reserved.Cores / 1000), reservedMemory: int(d.Reserved.Memory / gibibyte),
		workers: 1, racks: 1,
	}
	return &command{
		name:    "worker",
		summary: "Serve requests and run tasks as one or more workers.",
		flags:   f.attach,
		run:     f.run,
	}
}

func (f *workerFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.name, "", "name", "instance id; with several workers the prefix of their ids")
	sub.String(&f.zone, "", "zone", "availability zone")
	sub.String(&f.rack, "", "rack", "rack; with several racks the prefix of their ids")
	sub.String(&f.service, "", "service", "service of the upstream")
	sub.String(&f.settings.Upstream, "", "upstream", "IP and port to listen at for requests")
	sub.String(&f.settings.Control, "", "control", "IP and port to listen at for task orders")
	sub.Int(&f.cores, "", "cores", "capacity in cores")
	sub.Int(&f.memory, "", "memory", "capacity in GiB")
	sub.Int(&f.accelerators, "", "accelerators", "capacity in devices")
	sub.Int(&f.reservedCores, "", "reserved-cores", "cores of the worker's own service")
	sub.Int(&f.reservedMemory, "", "reserved-memory", "GiB of the worker's own service")
	sub.Int(&f.settings.Slots, "", "slots", "requests at a time")
	sub.Int(&f.settings.Connections, "", "connections", "open upstream connections")
	sub.Duration(&f.settings.Median, "", "median", "median service time of a request")
	sub.Float64(&f.settings.Sigma, "", "sigma", "spread of the service times, of the logarithm")
	sub.StringSlice(&f.interference, "", "interference", "class=factor by which tasks of the class slow requests down")
	sub.Float64(&f.settings.Spread, "", "spread", "of true task sizes and run times, of the logarithm")
	sub.Duration(&f.settings.UsageLag, "", "usage-lag", "how far reported usage lies back")
	sub.UInt64(&f.settings.Seed, "", "seed", "of the service times and random faults")
	sub.Int(&f.workers, "", "workers", "number of workers in this process")
	sub.Int(&f.racks, "", "racks", "number of racks over which the workers spread")
}

// run prints the workers as an instance list, which POST /instances of the
// platform stand-in takes.
func (f *workerFlags) run(ctx context.Context, stdout io.Writer) error {
	all, err := f.each()
	if err != nil {
		return errors.Errorf("check flags: %w", err)
	}
	var servers []*worker.Server
	var services []registry.Service
	for _, settings := range all {
		server := worker.New(settings)
		servers = append(servers, server)
		services = append(services, server)
	}
	return serve(ctx, stdout, services, func() any {
		var listing store.Listing
		for _, server := range servers {
			listing.Instances = append(listing.Instances, server.Instance())
		}
		return listing
	})
}

// each returns the settings of each worker.
func (f *workerFlags) each() ([]worker.Settings, error) {
	if f.workers < 1 || f.racks < 1 {
		return nil, errors.New("workers and racks: want at least 1")
	}
	interference, err := parseInterference(f.interference)
	if err != nil {
		return nil, err
	}
	s := f.settings
	s.Zone, s.Service = unit.ZoneID(f.zone), unit.ServiceID(f.service)
	s.Interference = interference
	s.Capacity = unit.Resources{
		Cores: unit.Millicores(f.cores) * 1000, Memory: unit.Bytes(f.memory) * gibibyte,
		Accelerators: unit.Accelerators(f.accelerators),
	}
	s.Reserved = unit.Resources{
		Cores: unit.Millicores(f.reservedCores) * 1000, Memory: unit.Bytes(f.reservedMemory) * gibibyte,
	}
	var all []worker.Settings
	for i := range f.workers {
		each := s
		each.Name = unit.InstanceID(numbered(f.name, i, f.workers))
		each.Rack = unit.RackID(numbered(f.rack, i%f.racks, f.racks))
		each.Seed += uint64(i)
		all = append(all, each)
	}
	return all, nil
}

// numbered returns the prefix with the number from 1, or alone if there is only
// one.
func numbered(prefix string, i, count int) string {
	if count == 1 {
		return prefix
	}
	return prefix + strconv.Itoa(i+1)
}

func parseInterference(pairs []string) (map[unit.ClassID]float64, error) {
	factors := map[unit.ClassID]float64{}
	for _, pair := range pairs {
		class, text, ok := strings.Cut(pair, "=")
		factor, err := strconv.ParseFloat(text, 64)
		if !ok || class == "" || err != nil || !(factor >= 0) {
			return nil, errors.Errorf("interference %q: want class=factor", pair)
		}
		factors[unit.ClassID(class)] = factor
	}
	return factors, nil
}
