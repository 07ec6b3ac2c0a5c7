package upkeep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "upkeep"

// Intervals and timeouts of the service.
const (
	// stepInterval is the interval between two steps while a wave is open. Each
	// step requests the list of machines.
	stepInterval = 700 * time.Millisecond
	// watchTimeout limits the delay before a new wave is seen if a connection stops
	// responding.
	watchTimeout = 5 * time.Second
	// minWatchTimeout is the shortest time that a watch can wait.
	minWatchTimeout = time.Millisecond
	retryDelay      = 300 * time.Millisecond
	orderTimeout    = 2 * time.Second
)

// shardOwnership reports whether this entry owns the shard.
type shardOwnership interface {
	Self() unit.EntryID
	Term() (ownership.Term, bool, <-chan struct{})
	MayOrder(now time.Time) bool
}

// workerDrainer moves work away from workers.
type workerDrainer interface {
	// Vacate drains exactly the given workers, in place of those of earlier calls,
	// and returns the ones that can be stopped without disturbing any task.
	Vacate(workers []unit.InstanceID) map[unit.InstanceID]bool
}

// Provider lists machines and starts their upkeep.
type Provider interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep orders the upkeep of a candidate. fence is the epoch of the holder; the
	// provider rejects a lower one than it has seen.
	Upkeep(ctx context.Context, c Candidate, holder unit.EntryID, fence unit.Epoch) Outcome
}

// Format decodes the operators' items about waves and encodes their status.
type Format interface {
	// Prefix is the prefix of the keys of all waves.
	Prefix() kv.Key
	// Number returns the number in the key of a wave.
	Number(kv.Key) (unit.WaveNumber, bool)
	// Wave decodes a wave.
	Wave(kv.Item) (Wave, error)
	// Status encodes the state of a wave.
	Status(Report) (kv.Put, error)
}

// Service carries out waves while this entry owns the shard.
type Service struct {
	*registry.Tasks
	log         logr.Logger
	provider    Provider
	format      Format
	holderLease time.Duration // least time between the orders of two holders for one machine
	ownership   shardOwnership
	drainer     workerDrainer
	store       kv.Client
}

// New returns a service that has not been started. holderLease is the least time
// between the orders of two holders for one machine.
func New(log logr.Logger, p Provider, f Format, holderLease time.Duration) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log, provider: p, format: f, holderLease: holderLease}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.ownership, err = registry.Find[shardOwnership](k, ownership.ServiceName); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	if s.drainer, err = registry.Find[workerDrainer](k, "owner"); err != nil {
		return errors.Errorf("find owner: %w", err)
	}
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	s.Begin(ctx, s.runTerms)
	return nil
}

// runTerms runs the service in each term in which this entry owns the shard.
func (s *Service) runTerms(ctx context.Context) { ownership.EachTerm(ctx, s.ownership, s.startTerm) }

// startTerm starts to carry out waves in a term. The returned function stops it and
// waits for it to end.
func (s *Service) startTerm(ctx context.Context, term ownership.Term) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.followWaves(ctx, term)
	}()
	return func() {
		cancel()
		<-done
	}
}

// followWaves reads the waves and carries them out until the term ends.
func (s *Service) followWaves(ctx context.Context, term ownership.Term) {
	// The previous owner may have given orders until the takeover. Workers are vacated
	// meanwhile, and stay so if the previous owner has vacated them.
	mayOrderAt := time.Now()
	if term.Epoch > 1 {
		mayOrderAt = mayOrderAt.Add(s.holderLease)
	}
	plan := NewPlan()
	for ctx.Err() == nil {
		items, revision, err := s.store.List(ctx, s.format.Prefix())
		if err != nil {
			wait.For(ctx, retryDelay)
			continue
		}
		s.replaceWaves(plan, items)
		s.runPlan(ctx, term, mayOrderAt, plan, revision)
	}
}

// runPlan carries out the plan, with orders from mayOrderAt on, and applies changes of the
// waves. It returns when it may have missed changes.
func (s *Service) runPlan(ctx context.Context, term ownership.Term, mayOrderAt time.Time, plan *Plan, since unit.Revision) {
	for ctx.Err() == nil {
		timeout := watchTimeout
		if plan.HasOpenWaves() {
			s.step(ctx, term, mayOrderAt, plan)
			timeout = nextStepIn(mayOrderAt)
		} else {
			s.drainer.Vacate(nil)
		}
		events, next, err := s.store.Watch(ctx, s.format.Prefix(), since, timeout)
		if err != nil {
			wait.For(ctx, retryDelay)
			return
		}
		since = next
		for _, i := range events {
			s.applyItem(plan, i)
		}
	}
}

// nextStepIn returns the time until the next step: the first one from mayOrderAt on comes at
// once.
func nextStepIn(mayOrderAt time.Time) time.Duration {
	if left := time.Until(mayOrderAt); left > 0 && left < stepInterval {
		return max(left, minWatchTimeout)
	}
	return stepInterval
}

// replaceWaves replaces the waves of the plan by the listed ones, as changes may
// have been missed.
func (s *Service) replaceWaves(plan *Plan, items []kv.Item) {
	listed := map[unit.WaveNumber]bool{}
	for _, i := range items {
		if number, ok := s.format.Number(i.Key); ok {
			listed[number] = true
		}
		s.applyItem(plan, i)
	}
	for _, number := range plan.Waves() {
		if !listed[number] {
			plan.Withdraw(number)
			s.log.Info("wave of upkeep withdrawn", "wave", number)
		}
	}
}

// applyItem applies a change of one wave to the plan.
func (s *Service) applyItem(plan *Plan, item kv.Item) {
	number, ok := s.format.Number(item.Key)
	if !ok {
		s.log.Info("item about upkeep ignored: no wave number in its key", "key", item.Key, "revision", item.Revision)
		return
	}
	if item.Deleted {
		plan.Withdraw(number)
		s.log.Info("wave of upkeep withdrawn", "wave", number, "revision", item.Revision)
		return
	}
	wave, err := guard.Value(func() (Wave, error) { return s.format.Wave(item) })
	if err != nil {
		metric.AddSkippedItem(item.Key)
		s.log.Error(err, "wave of upkeep not readable", "key", item.Key, "revision", item.Revision)
		return
	}
	plan.SetWave(wave)
	s.log.Info("wave of upkeep", "wave", number, "machines", len(wave.Machines), "cap", wave.MaxInUpkeep, "duration", wave.Duration.String(), "revision", item.Revision)
}

// step vacates workers, orders the upkeep of machines whose workers can be stopped, from
// mayOrderAt on, and writes the states of waves that changed.
func (s *Service) step(ctx context.Context, term ownership.Term, mayOrderAt time.Time, plan *Plan) {
	requestedAt := time.Now()
	machines, err := s.provider.Machines(ctx)
	if err != nil {
		s.log.Info("machines not listed", "error", err.Error())
		return
	}
	candidates := plan.Observe(machines, requestedAt)
	workers := make([]unit.InstanceID, len(candidates))
	for i, c := range candidates {
		workers[i] = c.Worker
	}
	vacant := s.drainer.Vacate(workers)
	for _, c := range candidates {
		if (c.Worker == "" || vacant[c.Worker]) && !time.Now().Before(mayOrderAt) {
			s.order(ctx, term, plan, c)
		}
	}
	s.report(ctx, term, plan)
}

// order orders the upkeep of one machine, if this entry may still give orders.
func (s *Service) order(ctx context.Context, term ownership.Term, plan *Plan, c Candidate) {
	if !s.ownership.MayOrder(time.Now()) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := s.provider.Upkeep(callCtx, c, s.ownership.Self(), term.Epoch)
	plan.RecordOutcome(c, outcome, time.Now())
	s.log.Info("upkeep ordered", "wave", c.Wave, "machine", c.Machine, "worker", c.Worker, "epoch", term.Epoch, "outcome", outcome.String())
}

// report writes the states of waves that changed. A guard on the epoch keeps a
// previous owner from overwriting them.
func (s *Service) report(ctx context.Context, term ownership.Term, plan *Plan) {
	for _, r := range plan.PendingReports() {
		put, err := s.format.Status(r)
		if err == nil {
			_, err = s.store.Commit(ctx, kv.Txn{
				Guards: []kv.Guard{{Key: ownership.EpochKey, Revision: term.EpochRevision}},
				Puts:   []kv.Put{put},
			})
		}
		if err != nil {
			s.log.Info("state of a wave not written", "wave", r.Wave, "state", r.State, "error", err.Error())
			return
		}
		plan.MarkReported(r)
		s.log.Info("wave of upkeep is "+string(r.State), "wave", r.Wave)
	}
}
