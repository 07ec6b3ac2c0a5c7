package upkeep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "upkeep"

// Times of the service.
const (
	// stepInterval is the time between two steps while a wave is open. Each asks
	// for the list of machines.
	stepInterval = 700 * time.Millisecond
	// watchWait bounds how long a silent connection hides a wave.
	watchWait    = 5 * time.Second
	retryPause   = 300 * time.Millisecond
	orderTimeout = 2 * time.Second
)

// tenure tells whether this entry owns the shard.
type tenure interface {
	Self() unit.EntryID
	Term() (ownership.Term, bool, <-chan struct{})
	MayOrder(now time.Time) bool
}

// vacater frees workers of what runs there.
type vacater interface {
	// Vacate makes exactly these workers be freed, and returns those of them whose
	// end disturbs nobody.
	Vacate(workers []unit.InstanceID) map[unit.InstanceID]bool
}

// Provider lists machines and gives them their upkeep.
type Provider interface {
	Machines(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, c Candidate, holder unit.EntryID, fence unit.Epoch) Outcome
}

// Format reads and writes the operators' items about waves.
type Format interface {
	// Prefix is the prefix of the keys of all waves.
	Prefix() kv.Key
	// Number returns the number in the key of a wave.
	Number(kv.Key) (unit.WaveNumber, bool)
	Wave(kv.Item) (Wave, error)
	Status(Report) (kv.Put, error)
}

// Service carries out the waves.
type Service struct {
	*registry.Tasks
	log      logr.Logger
	provider Provider
	format   Format
	lease    time.Duration // for which another holder's orders keep this one's away
	tenure   tenure
	vacater  vacater
	store    kv.Client
}

// New returns the service. lease is the time between the orders of two holders for
// one machine.
func New(log logr.Logger, p Provider, f Format, lease time.Duration) *Service {
	return &Service{Tasks: registry.NewTasks(), log: log, provider: p, format: f, lease: lease}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.tenure, err = registry.Find[tenure](k, ownership.ServiceName); err != nil {
		return errors.Errorf("find ownership: %w", err)
	}
	if s.vacater, err = registry.Find[vacater](k, "owner"); err != nil {
		return errors.Errorf("find owner: %w", err)
	}
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	s.Begin(ctx, s.follow)
	return nil
}

// follow works in each term of this entry.
func (s *Service) follow(ctx context.Context) { ownership.EachTerm(ctx, s.tenure, s.startTerm) }

// startTerm starts to work on the waves in a term, and returns what ends that.
func (s *Service) startTerm(ctx context.Context, term ownership.Term) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.work(ctx, term)
	}()
	return func() {
		cancel()
		<-done
	}
}

// work follows the waves and carries them out until the term ends.
func (s *Service) work(ctx context.Context, term ownership.Term) {
	// The holder before may have given orders until now.
	if term.Epoch > 1 && !wait.For(ctx, s.lease) {
		return
	}
	plan := NewPlan()
	for ctx.Err() == nil {
		items, revision, err := s.store.List(ctx, s.format.Prefix())
		if err != nil {
			wait.For(ctx, retryPause)
			continue
		}
		s.replace(plan, items)
		s.carryOut(ctx, term, plan, revision)
	}
}

// carryOut works on the plan until changes of the waves may have been missed.
func (s *Service) carryOut(ctx context.Context, term ownership.Term, plan *Plan, since unit.Revision) {
	for ctx.Err() == nil {
		pause := watchWait
		if plan.HasOpenWaves() {
			s.step(ctx, term, plan)
			pause = stepInterval
		} else {
			s.vacater.Vacate(nil)
		}
		events, next, err := s.store.Watch(ctx, s.format.Prefix(), since, pause)
		if err != nil {
			wait.For(ctx, retryPause)
			return
		}
		since = next
		for _, i := range events {
			s.take(plan, i)
		}
	}
}

// replace makes the plan hold the listed waves and no others: changes may have
// been missed.
func (s *Service) replace(plan *Plan, items []kv.Item) {
	listed := map[unit.WaveNumber]bool{}
	for _, i := range items {
		if number, ok := s.format.Number(i.Key); ok {
			listed[number] = true
		}
		s.take(plan, i)
	}
	for _, number := range plan.Waves() {
		if !listed[number] {
			plan.Withdraw(number)
			s.log.Info("wave of upkeep withdrawn", "wave", number)
		}
	}
}

// take reads one item about a wave.
func (s *Service) take(plan *Plan, i kv.Item) {
	number, ok := s.format.Number(i.Key)
	if !ok {
		s.log.Info("item about upkeep left aside", "key", i.Key, "revision", i.Revision)
		return
	}
	if i.Deleted {
		plan.Withdraw(number)
		s.log.Info("wave of upkeep withdrawn", "wave", number, "revision", i.Revision)
		return
	}
	w, err := s.format.Wave(i)
	if err != nil {
		s.log.Error(err, "wave of upkeep left aside", "key", i.Key, "revision", i.Revision)
		return
	}
	plan.SetWave(w)
	s.log.Info("wave of upkeep", "wave", number, "machines", len(w.Machines), "cap", w.MaxUnavailable, "duration", w.Duration.String(), "revision", i.Revision)
}

// step begins what may begin now and tells the operators how far the waves are.
func (s *Service) step(ctx context.Context, term ownership.Term, plan *Plan) {
	asked := time.Now()
	machines, err := s.provider.Machines(ctx)
	if err != nil {
		s.log.Info("machines not listed", "error", err.Error())
		return
	}
	candidates := plan.Observe(machines, asked)
	workers := make([]unit.InstanceID, len(candidates))
	for i, c := range candidates {
		workers[i] = c.Worker
	}
	vacant := s.vacater.Vacate(workers)
	for _, c := range candidates {
		if c.Worker == "" || vacant[c.Worker] {
			s.order(ctx, term, plan, c)
		}
	}
	s.report(ctx, term, plan)
}

// order orders the upkeep of one machine.
func (s *Service) order(ctx context.Context, term ownership.Term, plan *Plan, c Candidate) {
	if !s.tenure.MayOrder(time.Now()) {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := s.provider.Upkeep(call, c, s.tenure.Self(), term.Epoch)
	plan.RecordOutcome(c, outcome, time.Now())
	s.log.Info("upkeep ordered", "wave", c.Wave, "machine", c.Machine, "worker", c.Worker, "epoch", term.Epoch, "outcome", outcome.String())
}

// report writes the states of waves that changed. The epoch guards them, so that
// an owner before this one cannot overwrite them.
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
