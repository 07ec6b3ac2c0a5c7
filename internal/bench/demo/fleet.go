package demo

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/desk/keys"
	"github.com/monsoonfold/monsoonfold/internal/entry/assembly"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/standin/address"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

var zones = []unit.ZoneID{"guj-morbi", "guj-hazira", "guj-vadodara"}

// workersPerZone is the number of workers of a zone, each in its own rack.
const workersPerZone = 2

const (
	stopTimeout = 60 * time.Second
	// drainDelay is short, since no load balancer has to see the drain.
	drainDelay = 500 * time.Millisecond
)

// fleet holds the running entries and stand-ins of the demo.
type fleet struct {
	workers  []*worker.Server
	entries  []*assembly.Entry
	settings []settings.Settings // of the entries
	kernels  []*registry.Kernel  // of the stand-ins, in the order of their starts
}

// startFleet starts workers, platform and entries. If one fails to start, those
// that run are stopped.
func startFleet(ctx context.Context, folder string, log logr.Logger) (*fleet, error) {
	f := &fleet{}
	if err := keys.WriteFiles(folder, "asha", []net.IP{net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, errors.Errorf("make keys: %w", err)
	}
	if err := f.startWorkers(ctx); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	storeAddress, err := f.startPlatform(ctx)
	if err != nil {
		return nil, errors.Join(err, f.stop())
	}
	if err := f.startEntries(ctx, folder, storeAddress, log); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, nil
}

func (f *fleet) startWorkers(ctx context.Context) error {
	var services []registry.Service
	for _, zone := range zones {
		for i := range workersPerZone {
			number := strconv.Itoa(i + 1)
			s := worker.DefaultSettings(unit.InstanceID(string(zone) + "-w" + number))
			s.Zone, s.Rack, s.Service = zone, unit.RackID("rack-"+number), "order-desk"
			s.Median, s.Sigma = 8*time.Millisecond, 0.3
			s.Interference = map[unit.ClassID]float64{"takeoff": 1.5}
			s.UsageLag = 2 * time.Second
			s.Seed = uint64(len(f.workers) + 1)
			w := worker.New(s)
			f.workers = append(f.workers, w)
			services = append(services, w)
		}
	}
	return f.startKernel(ctx, services...)
}

func (f *fleet) startPlatform(ctx context.Context) (string, error) {
	var instances []store.Instance
	for _, w := range f.workers {
		instances = append(instances, w.Instance())
	}
	p := platform.New(platform.Settings{Address: "127.0.0.1:0", Instances: instances})
	if err := f.startKernel(ctx, p); err != nil {
		return "", err
	}
	return p.Address(), nil
}

func (f *fleet) startKernel(ctx context.Context, services ...registry.Service) error {
	k := registry.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return errors.Errorf("register stand-in: %w", err)
		}
	}
	if err := k.Start(ctx); err != nil {
		return errors.Errorf("start stand-ins: %w", err)
	}
	f.kernels = append(f.kernels, k)
	return nil
}

// startEntries starts one entry in each zone.
func (f *fleet) startEntries(ctx context.Context, folder, storeAddress string, log logr.Logger) error {
	credentials, err := credential.Load(credential.Files{
		Certificate: filepath.Join(folder, keys.CertificateFile),
		Key:         filepath.Join(folder, keys.KeyFile),
		Authority:   filepath.Join(folder, keys.AuthorityFile),
	})
	if err != nil {
		return errors.Errorf("load keys: %w", err)
	}
	for i, zone := range zones {
		listen, err := freeAddresses()
		if err != nil {
			return err
		}
		s := settings.Settings{
			Name: "entry-" + strconv.Itoa(i+1), Zone: zone, Listen: listen, Store: storeAddress,
			TokenFile: filepath.Join(folder, keys.OperatorsFile), Buckets: 1, Drain: unit.Duration(drainDelay),
		}
		e, err := assembly.New(s, credentials, log.WithValues("entry", s.Name))
		if err != nil {
			return errors.Errorf("assemble entry: %w", err)
		}
		if err := e.Start(ctx); err != nil {
			return errors.Errorf("start entry: %w", err)
		}
		f.entries = append(f.entries, e)
		f.settings = append(f.settings, s)
	}
	return nil
}

// freeAddresses returns loopback addresses that were free when it looked.
func freeAddresses() (settings.Listen, error) {
	var listen settings.Listen
	for _, each := range []*string{&listen.Callers, &listen.Peers, &listen.Operators, &listen.Metrics} {
		free, err := address.Next()
		if err != nil {
			return listen, errors.Errorf("find free port: %w", err)
		}
		*each = free
	}
	return listen, nil
}

// operatorClient returns a client with the operator's token.
func (f *fleet) operatorClient(folder string) (*client.Client, error) {
	authority, err := os.ReadFile(filepath.Join(folder, keys.AuthorityFile))
	if err != nil {
		return nil, errors.Errorf("read authority: %w", err)
	}
	token, err := readToken(folder)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, s := range f.settings {
		addresses = append(addresses, s.Listen.Operators)
	}
	c, err := client.New(client.Options{Addresses: addresses, Authority: authority, Token: token})
	if err != nil {
		return nil, errors.Errorf("connect operator: %w", err)
	}
	return c, nil
}

func (f *fleet) callerAddresses() []string {
	var addresses []string
	for _, s := range f.settings {
		addresses = append(addresses, s.Listen.Callers)
	}
	return addresses
}

// ready reports whether every entry accepts requests.
func (f *fleet) ready() bool {
	for _, e := range f.entries {
		if !e.Ready() {
			return false
		}
	}
	return true
}

// audits returns the audit of each worker.
func (f *fleet) audits() []worker.Audit {
	var audits []worker.Audit
	for _, w := range f.workers {
		audits = append(audits, w.Audit())
	}
	return audits
}

// stop stops the entries concurrently, then the stand-ins in reverse order.
func (f *fleet) stop() error {
	var g errgroup.Group
	for _, e := range f.entries {
		g.Go(e.Stop)
	}
	faults := []error{g.Wait()}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i := len(f.kernels) - 1; i >= 0; i-- {
		faults = append(faults, f.kernels[i].Stop(ctx))
	}
	return errors.Join(faults...)
}
