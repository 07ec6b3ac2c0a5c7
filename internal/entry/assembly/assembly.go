// Package assembly wires the services of an entry into a kernel and runs them.
package assembly

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonfold/monsoonfold/internal/desk/api"
	"github.com/monsoonfold/monsoonfold/internal/desk/health"
	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/dispatch"
	"github.com/monsoonfold/monsoonfold/internal/job/policy"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/link"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/config"
)

// Timeouts of an entry.
const (
	// startTimeout bounds the start. It is long enough to detect an unreachable store.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the stop after the drain: the longest request in flight
	// takes 30 s.
	stopTimeout = 40 * time.Second
)

// maxClients bounds the connections of callers and operators together.
const maxClients = 1024

// Entry holds the services of one entry and the kernel that runs them.
type Entry struct {
	settings settings.Settings
	kernel   *registry.Kernel
	store    *store.Service
	peers    *link.Service
	gateway  *gateway.Gateway
	dispatch *dispatch.Service
}

// Run runs an entry until the context ends, then stops it gracefully. It calls
// ready once the entry has started.
func Run(ctx context.Context, s settings.Settings, log logr.Logger, ready func(*Entry)) error {
	credentials, err := credential.Load(credential.Files{
		Certificate: s.Keys.Certificate, Key: s.Keys.Key, Authority: s.Keys.Authority,
	})
	if err != nil {
		return errors.Errorf("load keys: %w", err)
	}
	e, err := New(s, credentials, log)
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	// Published here and not by New: expvar panics if a process that runs several
	// entries publishes a name twice.
	expvar.Publish("gateway", e.gateway.Counters())
	expvar.Publish("store_calls", expvar.Func(func() any { return e.store.Calls() }))
	ready(e)
	waitErr := e.kernel.Wait(ctx)
	return errors.Join(waitErr, e.Stop())
}

// New returns an entry whose services are registered but not started.
func New(s settings.Settings, credentials *credential.Source, log logr.Logger) (*Entry, error) {
	id, err := newID(s.Name)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, kernel: registry.New(), store: store.NewService(s.Store)}
	e.peers = link.New(log.WithName("peers"), link.Options{
		Address: s.Listen.Peers, Credentials: credentials, Seed: xxhash.Sum64String(string(id)),
	})
	e.gateway = gateway.New(log.WithName("gateway"), gateway.Settings{
		Address: s.Listen.Callers, DrainDelay: s.Drain.Std(), SlotTiming: slot.DefaultTiming(),
	})
	targets := policy.New(uint16(s.Buckets), time.Now)
	e.dispatch = dispatch.NewService(log.WithName("dispatch"), dispatchOptions(s, targets))
	self := roster.Entry{ID: id, Zone: s.Zone, Address: s.Listen.Peers}
	// The kernel stops services in reverse order, so a service comes after those that
	// it calls.
	limits := limiter.Limits(0)
	limits.Connections = min(limits.Connections, maxClients)
	services := []registry.Service{
		limiter.New(log.WithName("limiter"), limits),
		e.store,
		membership.New(log.WithName("membership"), self),
		e.peers,
		journal.NewService(time.Now()),
		config.New(log.WithName("config")),
		listing.New(log.WithName("fleet")),
		burn.NewService(),
		claim.New(),
		e.dispatch,
		targets,
		e.gateway,
		api.New(log.WithName("api"), api.Options{
			Address: s.Listen.Operators, Credentials: credentials, OperatorsFile: s.TokenFile,
		}),
		health.New(s.Listen.Metrics),
	}
	for _, service := range services {
		if err := e.kernel.Register(service); err != nil {
			return nil, errors.Errorf("assemble entry: %w", err)
		}
	}
	return e, nil
}

func dispatchOptions(s settings.Settings, targets *policy.Service) dispatch.Options {
	regions := map[unit.ZoneID]shard.Region{}
	for zone, region := range s.Regions {
		regions[zone] = shard.Region(region)
	}
	return dispatch.Options{
		Buckets:   uint16(s.Buckets),
		Regions:   regions,
		Connect:   func(address string) dispatch.Client { return worker.NewClient(address) },
		NewPlacer: targets.NewPlacer,
		OnReport:  targets.ObserveReport,
		Now:       time.Now,
	}
}

// Start starts all services. If one fails, those already started are stopped.
func (e *Entry) Start(ctx context.Context) error {
	// The peer link listens before the entry registers itself, so that a start
	// that fails because the port is in use leaves no registration behind.
	if err := e.peers.Listen(); err != nil {
		return errors.Errorf("start entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Errorf("start entry: %w", err)
	}
	return nil
}

// Ready reports whether the entry accepts requests of callers.
func (e *Entry) Ready() bool { return e.gateway.Ready() }

// Stop stops the entry gracefully: the gateway stops accepting requests and waits for
// those in flight while the dispatcher releases its shards, then all services stop.
func (e *Entry) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Drain.Std()+stopTimeout)
	defer cancel()
	var drainGroup errgroup.Group
	drainGroup.Go(func() error { e.gateway.Drain(ctx); return nil })
	drainGroup.Go(func() error { return e.dispatch.Drain(ctx) })
	drainErr := drainGroup.Wait()
	if err := errors.Join(drainErr, e.kernel.Stop(ctx)); err != nil {
		return errors.Errorf("stop entry: %w", err)
	}
	return nil
}

// newID returns a unique id for each process, since a registration describes the
// state of one process.
func newID(name string) (unit.EntryID, error) {
	suffix := make([]byte, 4)
	if _, err := rand.Read(suffix); err != nil {
		return "", errors.Errorf("draw entry id: %w", err)
	}
	return unit.EntryID(name + "-" + hex.EncodeToString(suffix)), nil
}
