// Package site wires the services of an entry on the users' platform into a kernel
// and runs them.
package site

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/fleet/upkeep"
	"github.com/monsoonfold/monsoonfold/internal/job/follower"
	"github.com/monsoonfold/monsoonfold/internal/job/intake"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/relay"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/access"
	"github.com/monsoonfold/monsoonfold/internal/target/directory"
	"github.com/monsoonfold/monsoonfold/platform"
)

// Bounds on starting and stopping an entry.
const (
	startTimeout = 5 * time.Second
	// drainTime is how long the load balancer may still send new connections once
	// the readiness check fails: it makes two checks, a second apart.
	drainTime = 2200 * time.Millisecond
	// exitTime is the part of the termination grace that is left when the kernel has stopped,
	// as a busy machine may end the process late.
	exitTime = 500 * time.Millisecond
)

// memoryLimitShare is the share of the memory limit above which garbage is collected more
// often.
const memoryLimitShare = 0.6

// entry is a running entry.
type entry struct {
	log      logr.Logger
	kernel   *registry.Kernel
	owner    *owner.Service
	grace    time.Duration // between SIGTERM and SIGKILL
	draining atomic.Bool
}

// Run runs an entry until the context ends, then hands its shard over and stops it.
// With baseline it places tasks by the simple policy that the product is compared
// with.
func Run(ctx context.Context, s platform.Settings, baseline bool, log logr.Logger) error {
	if s.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.Memory)))
	}
	self := newEntryID(s.Node)
	log = log.WithValues("entry", self)
	e, err := assemble(self, s, baseline, log)
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.kernel.Start(startCtx); err != nil {
		return errors.Errorf("start entry: %w", err)
	}
	log.Info("entry started", "zone", s.Zone, "front", s.FrontAddress, "store", s.StoreAddress)
	waitErr := e.kernel.Wait(ctx)
	if waitErr == nil {
		e.drain()
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.stopTimeout())
	defer cancel()
	if err := e.kernel.Stop(stopCtx); err != nil {
		log.Info("entry stopped with faults", "error", err.Error())
	}
	log.Info("entry stopped")
	return waitErr
}

// drain fails the readiness check, hands the shard over and keeps serving until the
// load balancer sends no new connections, and longer if the hand-over waits for the store.
func (e *entry) drain() {
	e.log.Info("entry leaves")
	e.draining.Store(true)
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), e.handOverDeadline(started))
	defer cancel()
	e.owner.HandOver(ctx)
	time.Sleep(drainTime - time.Since(started))
}

// handOverDeadline returns when the hand-over of an entry that is told to stop at a time has
// to end, so that the rest of the stop fits in the termination grace.
func (e *entry) handOverDeadline(stoppedAt time.Time) time.Time {
	return stoppedAt.Add(max(e.grace-e.stopTimeout()-exitTime, owner.HandOverTimeout))
}

// stopTimeout returns the time that the services have to stop.
func (e *entry) stopTimeout() time.Duration { return e.grace / 3 }

// newEntryID returns a unique id for each process, so that a restarted entry is not
// taken for the previous process.
func newEntryID(node string) unit.EntryID {
	var suffix [4]byte
	for i := range suffix {
		suffix[i] = byte(rand.Uint32())
	}
	return unit.EntryID(node + "." + hex.EncodeToString(suffix[:]))
}

func assemble(self unit.EntryID, s platform.Settings, baseline bool, log logr.Logger) (*entry, error) {
	e := &entry{log: log, kernel: registry.New(), grace: s.Bounds.TerminationGrace}
	var adviser owner.Adviser
	if s.AdviceAddress != "" {
		adviser = platform.NewAdviceClient(s.AdviceAddress)
	}
	e.owner = owner.New(log, platform.Fleet{}, adviser, owner.Options{
		Limits: scheduler.Limits{
			Baseline:    baseline,
			MaxLease:    s.Bounds.MaxLease,
			StopTimeout: s.Bounds.StopTimeout,

			StartBytesPerSecond: owner.StartBytesPerSecond(s.Limits.Link),
			OpenMemory:          owner.OpenMemory(s.Limits.Memory),
			JobMemory:           owner.JobMemory(s.Limits.Memory),
		},
		Link:                s.Limits.Link,
		Processor:           s.Limits.Cores,
		FinalStateRetention: s.Bounds.FinalStateRetention,
		Delays: owner.Delays{
			Cancel: s.Bounds.CancelDelay, Drain: s.Bounds.DrainDelay,
			Evacuation: s.Bounds.EvacuationDelay, Visibility: s.Bounds.VisibilityDelay,
			Configuration: s.Bounds.ConfigDelay,
		},
	})
	services := []registry.Service{
		limiter.New(log, limiter.Limits(s.Limits.Memory)),
		mesh.New(log, s.IP, s.PeerPorts),
		access.New(log, platform.NewStoreClient(s.StoreAddress)),
		newDirectory(s.Bounds, log),
		ownership.New(log, self, ownership.Capacity(s.Limits), s.Bounds.MinLeaseTTL),
		newCollectorService(debug.SetGCPercent),
		relay.New(log, platform.Fleet{}),
		follower.New(log, platform.Fleet{}),
		e.owner,
		intake.New(log),
		newServer("front", s.FrontAddress, metric.CallerTraffic, log, newJobHandler),
		newServer("ready", s.ReadyAddress, metric.OtherTraffic, log, e.newReadinessHandler),
		newServer("metrics", net.JoinHostPort(s.IP, s.MetricsPort), metric.OtherTraffic, log, newMetricsHandler),
	}
	if s.ProviderAddress != "" {
		services = append(services, upkeep.New(log, platform.NewMachineClient(s.ProviderAddress), platform.WaveFormat{}, s.Bounds.HolderInterval))
	}
	for _, service := range services {
		if err := e.kernel.Register(service); err != nil {
			return nil, errors.Errorf("register service: %w", err)
		}
	}
	return e, nil
}

// newDirectory returns the service that follows the configuration.
func newDirectory(b platform.Bounds, log logr.Logger) *directory.Service {
	var options []directory.Option
	if b.StrictRevocation {
		options = append(options, directory.RevokeWithin(b.RevokeDelay))
	}
	return directory.New(log, platform.OperatorDecoder{}, b.ConfigDelay, options...)
}

func newJobHandler(k *registry.Kernel) (http.Handler, error) {
	jobs, err := registry.Find[platform.Jobs](k, intake.ServiceName)
	if err != nil {
		return nil, errors.Errorf("find intake: %w", err)
	}
	documents, err := registry.Find[platform.Directory](k, directory.ServiceName)
	if err != nil {
		return nil, errors.Errorf("find directory: %w", err)
	}
	bodies, err := limiter.Find(k)
	if err != nil {
		return nil, errors.Errorf("find limiter: %w", err)
	}
	return &platform.JobHandler{Jobs: jobs, Directory: documents, Bodies: bodies}, nil
}

// readiness reports whether the configuration lets an entry serve requests.
type readiness interface{ Ready() bool }

// newReadinessHandler returns the handler of the readiness check. An entry is ready
// while it has a configuration and is not draining. It stays ready during an outage
// of the store, which affects all entries alike, unless keys are then rejected.
func (e *entry) newReadinessHandler(k *registry.Kernel) (http.Handler, error) {
	configuration, err := registry.Find[readiness](k, directory.ServiceName)
	if err != nil {
		return nil, errors.Errorf("find directory: %w", err)
	}
	return platform.ReadinessHandler(func() bool {
		return !e.draining.Load() && configuration.Ready()
	}), nil
}
