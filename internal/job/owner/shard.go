package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Times of the shard.
const (
	tickInterval = 50 * time.Millisecond
	retryPause   = 150 * time.Millisecond
	// jobsPause is the time between two looks for jobs whose submission did not
	// reach this owner. Each look is a priced call.
	jobsPause = time.Second
	// watchWait bounds how long a silent connection hides changes of workers.
	watchWait = 900 * time.Millisecond
	// workersPause is the time between two looks at the instance list, which
	// changes with each heartbeat of a worker.
	workersPause = 300 * time.Millisecond
	// leaseLength is how long a worker goes on without word from an owner. A
	// takeover takes about 3 s; a lost worker's tasks start elsewhere after it.
	leaseLength = 6 * time.Second
	// clockDrift bounds how slow the steady clock of a worker may be.
	clockDrift = 1.025
)

// longest returns how long a lease of length d may last by this entry's clock.
func longest(d time.Duration) time.Duration { return time.Duration(float64(d) * clockDrift) }

// shard is one term of ownership.
type shard struct {
	service *Service
	log     logr.Logger
	term    ownership.Term
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	done    chan struct{}
	dirty   chan struct{} // something has to become durable

	writing  sync.Mutex // held for a transaction, so that none overtakes another
	mu       sync.Mutex
	core     *scheduler.Core
	before   takeover
	revs     map[unit.JobID]unit.Revision // of the records of open jobs
	finishes []scheduler.FinalState       // to make durable
	contacts map[unit.InstanceID]*contact
	closing  bool // no more orders
	listings map[unit.InstanceID]scheduler.Listing
	progress unit.Revision // of the progress record
	last     time.Time     // of the last progress write
	learned  time.Time     // of the last write of the model
	summed   time.Time     // of the last summary; only run uses it
}

func newShard(ctx context.Context, s *Service, t ownership.Term) *shard {
	ctx, cancel := context.WithCancel(ctx)
	return &shard{
		service: s, log: s.log.WithValues("epoch", t.Epoch), term: t,
		ctx: ctx, cancel: cancel,
		done:     make(chan struct{}),
		dirty:    make(chan struct{}, 1),
		revs:     map[unit.JobID]unit.Revision{},
		contacts: map[unit.InstanceID]*contact{},
		listings: map[unit.InstanceID]scheduler.Listing{},
	}
}

// run takes over and then works until the term ends.
func (sh *shard) run() {
	defer sh.tasks.Wait()
	defer sh.cancel()
	started := time.Now()
	var jobs, workers unit.Revision
	for {
		var err error
		if jobs, workers, err = sh.takeOver(started); err == nil {
			break
		}
		sh.log.Info("takeover not possible yet", "error", err.Error())
		if !sh.pause(retryPause) {
			return
		}
	}
	sh.tasks.Go(func() { sh.followJobs(jobs) })
	sh.tasks.Go(func() { sh.followWorkers(workers) })
	sh.tasks.Go(sh.followZones)
	sh.tasks.Go(sh.commit)
	sh.tasks.Go(sh.sweep)
	if sh.service.adviser != nil {
		sh.tasks.Go(sh.advise)
	}
	metric.Terms.Add("taken over", 1)
	sh.service.publish(sh)
	for sh.pause(tickInterval) {
		sh.update(func(c *scheduler.Core, now time.Time) { c.Tick(now) })
		sh.summarize()
	}
}

// summaryInterval is the time between two log lines about the whole shard.
const summaryInterval = 2 * time.Second

// summarize logs the state of the shard from time to time.
func (sh *shard) summarize() {
	now := time.Now()
	if now.Sub(sh.summed) < summaryInterval {
		return
	}
	sh.summed = now
	sh.mu.Lock()
	s := sh.core.Stats(now)
	sh.mu.Unlock()
	sh.log.Info("shard", "jobs", s.OpenJobs, "unplaced", s.Unplaced, "runs", s.Runs, "unsure", s.Unconfirmed, "filling", s.BestEffort,
		"slowed", s.Slowed, "over", s.OverTarget, "cores", s.UsedCores, "workers", s.Workers, "reporting", s.Reporting,
		"aside", s.Quarantined, "unresolved", s.Unresolved, "oldest", s.LongestWait.String())
}

func (sh *shard) pause(d time.Duration) bool { return wait.For(sh.ctx, d) }

// takeOver loads what is durable. Nothing starts before.
func (sh *shard) takeOver(claimed time.Time) (jobsAt, workersAt unit.Revision, err error) {
	progress, rev, err := sh.loadProgress()
	if err != nil {
		return 0, 0, err
	}
	workers, workersAt, err := sh.service.store.List(sh.ctx, sh.service.fleet.Prefix())
	if err != nil {
		return 0, 0, errors.Errorf("list workers: %w", err)
	}
	jobs, jobsAt, err := sh.service.store.List(sh.ctx, record.JobPrefix)
	if err != nil {
		return 0, 0, errors.Errorf("list jobs: %w", err)
	}
	model := sh.loadModel()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	safe := claimed.Add(ownership.MaxRenewalOverlap + longest(leaseLength))
	core := scheduler.New(sh.service.options.Limits, sh.term.Epoch, safe)
	unresolved := progress.KnownWorkers
	if progress.HandedOver {
		unresolved = progress.BusyWorkers
	}
	core.LoadProgress(progress.Jobs, progress.KnownWorkers, unresolved)
	sh.core, sh.progress = core, rev
	sh.before = takeover{claimed: claimed, revision: sh.term.EpochRevision, clean: progress.HandedOver}
	now := time.Now()
	core.RestoreInterference(model.Pairs, now)
	zones, _ := sh.service.zones.Evacuated()
	core.SetEvacuatedZones(zones)
	for _, i := range workers {
		sh.list(i)
	}
	core.SetWorkers(sh.listed(), now)
	if !progress.HandedOver {
		core.AwaitReports()
	}
	for _, i := range jobs {
		sh.add(i, now)
	}
	sh.connect()
	sh.log.Info("shard taken over", "jobs", len(jobs), "workers", len(sh.listings), "clean", progress.HandedOver, "took", time.Since(claimed).String())
	return jobsAt, workersAt, nil
}

func (sh *shard) loadProgress() (record.Progress, unit.Revision, error) {
	item, err := sh.service.store.Get(sh.ctx, record.ProgressKey)
	if errors.Is(err, kv.ErrNotFound) {
		return record.Progress{HandedOver: sh.term.Epoch == 1}, 0, nil
	}
	if err != nil {
		return record.Progress{}, 0, errors.Errorf("read progress: %w", err)
	}
	p, err := record.DecodeProgress(item.Value)
	if err != nil {
		return record.Progress{}, 0, err
	}
	// The word of an owner holds only for its direct successor.
	p.HandedOver = p.HandedOver && p.Epoch+1 == sh.term.Epoch
	return p, item.Revision, nil
}

// loadModel reads what an earlier owner has learned. Without it the owner learns
// again.
func (sh *shard) loadModel() record.Model {
	item, err := sh.service.store.Get(sh.ctx, record.ModelKey)
	if errors.Is(err, kv.ErrNotFound) {
		return record.Model{}
	}
	var m record.Model
	if err == nil {
		m, err = record.DecodeModel(item.Value)
	}
	if err != nil {
		sh.log.Info("model of interference not read; it is learned again", "error", err.Error())
	}
	return m
}

// update changes the core and carries out what follows.
func (sh *shard) update(f func(c *scheduler.Core, now time.Time)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	f(sh.core, now)
	if sh.closing {
		sh.core.TakeOrders()
		return
	}
	if sh.service.tenure.MayOrder(now) {
		sh.core.Place(now)
	}
	for _, o := range sh.core.TakeOrders() {
		if c := sh.contacts[o.Worker]; c != nil {
			c.send(o)
		}
	}
	for _, l := range sh.core.TakeExpiredLeases() {
		metric.Lapses.Add(1)
		sh.log.Info("lease of worker expired; its runs are given up", "worker", l.Worker, "runs", l.Runs)
	}
	for _, f := range sh.core.TakeFinalStates() {
		sh.log.Info("job reached its final state", "job", f.Job, "state", f.State.String(), "cause", f.Cause)
		metric.Finals.Add(f.State.String(), 1)
		sh.finishes = append(sh.finishes, f)
	}
	if len(sh.finishes) > 0 || (sh.core.ProgressChanged() && now.Sub(sh.last) >= progressInterval) {
		select {
		case sh.dirty <- struct{}{}:
		default:
		}
	}
}
