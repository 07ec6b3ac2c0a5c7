package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/target/directory"
)

// Intervals, timeouts and lease lengths of the shard.
const (
	tickInterval = 50 * time.Millisecond
	retryDelay   = 150 * time.Millisecond
	// jobReadInterval is the time between two reads of job records, which find
	// submissions that did not reach this owner. Each read is a billed store call.
	jobReadInterval = time.Second
	// workerReadInterval is the time between two reads of the instance list, which
	// changes with each heartbeat of a worker.
	workerReadInterval = 300 * time.Millisecond
	// workerLeaseTTL is how long a worker keeps its tasks running without a
	// heartbeat from an owner. A takeover takes about 3 s and must fit in; the
	// tasks of a lost worker start elsewhere only after the TTL.
	workerLeaseTTL = 6 * time.Second
	// maxClockDrift is the largest factor by which the monotonic clock of a worker
	// may run slower than that of this entry.
	maxClockDrift = 1.025
)

// withMaxDrift returns the longest time by this entry's clock that a lease of
// length d by a worker's clock may last.
func withMaxDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockDrift) }

// shard runs the scheduler core during one term of ownership.
type shard struct {
	service    *Service
	log        logr.Logger
	term       ownership.Term
	claimedAt  time.Time // not before the claim
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	done       chan struct{}
	commitDue  chan struct{} // signals that progress or final states wait to be written

	jobsConfirmed    confirmation // of the job records
	workersConfirmed confirmation // of the instance list
	zonesConfirmed   confirmation // of the zones out of service
	heartbeats       *heartbeatPacer

	commitMu           sync.Mutex // held during a transaction, so that transactions stay in order
	mu                 coreLock
	core               *scheduler.Core
	takeover           takeover
	jobRevisions       map[unit.JobID]unit.Revision // revisions of the job records
	finalStates        []scheduler.FinalState       // not written yet
	workerClients      map[unit.InstanceID]*workerClient
	relays             *relayPool
	placement          placementPacer
	progress           progressPacer
	handingOver        bool                // no new orders are queued
	abandoned          bool                // the state of the core cannot be trusted after a fault
	startsHeld         bool                // nothing is placed, as a view of the store is too old
	cappedHeld         bool                // nothing is placed for organisations with a cap, as the configuration is too old
	configuration      *directory.Document // whose organisations the core has
	summary            organisationSummary // used only by run
	listings           map[unit.InstanceID]scheduler.Listing
	progressRevision   unit.Revision // of the progress record in the store
	lastEstimatesWrite time.Time
	lastSummary        time.Time // used only by run
	load               loadCache
	room               atomic.Pointer[jobRoom] // as of the last update of the core; nil before
	traffic            metric.TrafficMeter     // used only by run
	processor          metric.ProcessorMeter   // used only by run
	maxTickDelay       time.Duration           // since the last summary; used only by run
}

func newShard(ctx context.Context, s *Service, t ownership.Term) *shard {
	ctx, cancel := context.WithCancel(ctx)
	sh := &shard{
		service: s, log: s.log.WithValues("epoch", t.Epoch), term: t, claimedAt: time.Now(),
		ctx: ctx, cancel: cancel,
		heartbeats: newHeartbeatPacer(s.options.Link), progress: newProgressPacer(s.options.Link),
		done:          make(chan struct{}),
		commitDue:     make(chan struct{}, 1),
		jobRevisions:  map[unit.JobID]unit.Revision{},
		workerClients: map[unit.InstanceID]*workerClient{},
		listings:      map[unit.InstanceID]scheduler.Listing{},
	}
	sh.relays = newRelayPool(sh)
	return sh
}

// run takes the shard over, retrying until that succeeds, and then drives the core
// until the term ends.
func (sh *shard) run() {
	defer sh.goroutines.Wait()
	defer sh.cancel()
	stored := newStoredState(sh.service.fleet.Prefix())
	var jobsRevision, workersRevision unit.Revision
	for {
		err := guard.Call(func() error {
			var err error
			jobsRevision, workersRevision, err = sh.takeOver(stored, sh.claimedAt)
			return err
		})
		if err == nil {
			break
		}
		if errors.Is(err, errHandingOver) {
			<-sh.ctx.Done() // the hand-over ends the term
			return
		}
		if _, panicked := errors.Into[*guard.PanicError](err); panicked {
			sh.abandon(err)
			return
		}
		sh.log.Info("takeover failed; retrying", "error", err.Error())
		if !sh.sleep(retryDelay) {
			return
		}
	}
	sh.newJobReader().start(jobsRevision)
	sh.newWorkerReader().start(workersRevision)
	sh.goroutines.Go(sh.commitLoop)
	sh.goroutines.Go(sh.removeEndedJobs)
	if sh.service.adviser != nil {
		sh.goroutines.Go(sh.advisePlacement)
	}
	metric.OwnershipChanges.Add("taken over", 1)
	sh.load.drop(time.Now())
	sh.service.setShard(sh)
	defer publishOrganisations(nil)
	for sh.awaitTick() {
		sh.update(func(c *scheduler.Core, now time.Time) {
			sh.applyZones(c)
			sh.applyOrganisations(c)
			c.SetStartRelays(sh.relays.update(now))
			if sh.takeover.endOverlap(now) {
				c.MarkProgressChanged()
			}
			c.Tick(now)
			sh.refreshLoad(now)
		})
		sh.logSummary()
		sh.summary.log(sh)
	}
}

// awaitTick waits for the next tick and reports whether the term goes on.
func (sh *shard) awaitTick() bool {
	due := time.Now().Add(tickInterval)
	goesOn := sh.sleep(tickInterval)
	sh.maxTickDelay = max(sh.maxTickDelay, time.Since(due))
	return goesOn
}

// newJobReader returns a reader of the job records.
func (sh *shard) newJobReader() *changeReader {
	return &changeReader{shard: sh, prefix: record.JobPrefix, handler: jobRecords{sh}, confirmed: &sh.jobsConfirmed, pace: readPace{interval: jobReadInterval}}
}

// newWorkerReader returns a reader of the instance list.
func (sh *shard) newWorkerReader() *changeReader {
	return &changeReader{shard: sh, prefix: sh.service.fleet.Prefix(), handler: &instanceList{shard: sh}, source: newListSource(sh), confirmed: &sh.workersConfirmed, pace: readPace{interval: workerReadInterval}}
}

// summaryInterval is the time between two summaries of the shard in the log.
const summaryInterval = 2 * time.Second

// logSummary logs a summary of the shard once per summaryInterval.
func (sh *shard) logSummary() {
	now := time.Now()
	if now.Sub(sh.lastSummary) < summaryInterval {
		return
	}
	sh.lastSummary = now
	sh.mu.Lock()
	s, sharing := sh.core.Stats(now), sh.relays.sharing
	relayQueued, relayAnswer := sh.relays.takeLongestTimes()
	sh.mu.Unlock()
	traffic, processor := sh.traffic.Rates(now), sh.processor.Rates(now)
	sh.log.Info("shard", "jobs", s.OpenJobs, "parked", s.Parked, "unplaced", s.Unplaced, "runs", s.Runs, "unsure", s.Unconfirmed, "filling", s.BestEffort,
		"slowed", s.Slowed, "over", s.OverTarget, "cores", s.UsedCores, "workers", s.Workers, "reporting", s.Reporting,
		"aside", s.Quarantined, "unresolved", s.Unresolved, "heldback", s.HeldBack, "resolvedin", s.ResolvedIn.String(), "oldest", s.LongestWait.String(), "deferred", s.Deferred,
		"jobsage", sh.jobsConfirmed.age(now).String(), "workersage", sh.workersConfirmed.age(now).String(),
		"zonesage", sh.zonesConfirmed.age(now).String(), "lateanswers", metric.LateAnswers.Value(), "relays", s.StartRelays, "relayed", metric.RelayedStarts.Value(), "sharing", sharing,
		"batches", metric.RelayedBatches.Value(), "relayedbytes", metric.RelayedBytes.Value(), "startbytes", s.StartBytes, "waitingfill", s.Filling,
		"quota", s.HeldByQuota, "beyondrate", s.BeyondRate, "idle", s.Idle, "longestidle", roundedByQueue(s.LongestIdle), "crowded", s.Crowded, "blocked", s.Blocked,
		"relayqueued", relayQueued.String(), "relayanswer", relayAnswer.String(),
		"linkin", sh.linkUse(traffic.Received()), "linkout", sh.linkUse(traffic.Sent()),
		"received", traffic.ReceivedPerSecond, "sent", traffic.SentPerSecond, "opened", traffic.Opened, "store", traffic.StorePerSecond, "calls", traffic.CallsPerSecond,
		"cpu", processor.Total, "system", processor.System, "work", processor.Work, "events", processor.EventsPerSecond,
		"lockwait", processor.LockWait, "late", sh.maxTickDelay.String())
	sh.maxTickDelay = 0
}

// roundedByQueue returns durations by queue as they are logged.
func roundedByQueue(durations map[graph.QueueID]time.Duration) map[graph.QueueID]string {
	rounded := map[graph.QueueID]string{}
	for id, d := range durations {
		rounded[id] = d.Round(time.Millisecond).String()
	}
	return rounded
}

// linkUse returns the share of the link, in percent, that a rate in bytes a second takes
// without the headers of packets, or 0 if the capacity of the link is not known.
func (sh *shard) linkUse(bytesPerSecond int64) int64 {
	link := int64(sh.service.options.Link)
	if link == 0 {
		return 0
	}
	return 100 * 8 * bytesPerSecond / link
}

// sleep waits for d and reports whether the term goes on.
func (sh *shard) sleep(d time.Duration) bool { return wait.For(sh.ctx, d) }

// takeOver builds a new core from what the store holds and reads what of that is missing.
// No task starts before it succeeds. It returns the revisions from which changes of jobs
// and workers are read.
func (sh *shard) takeOver(stored *storedState, claimedAt time.Time) (jobsRevision, workersRevision unit.Revision, err error) {
	if err := stored.read(sh.ctx, sh.service.store); err != nil {
		return 0, 0, err
	}
	progress, progressRevision, err := stored.decodeProgress(sh.term.Epoch)
	if err != nil {
		return 0, 0, err
	}
	progress.AddCheckpoints(stored.decodeCheckpoints(sh.log))
	model := stored.decodeModel(sh.log)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.handingOver {
		return 0, 0, errHandingOver
	}
	leasesExpireAt := claimedAt.Add(ownership.MaxRenewalOverlap + withMaxDrift(workerLeaseTTL))
	core := scheduler.New(sh.service.options.Limits, sh.term.Epoch, leasesExpireAt)
	unresolved := progress.KnownWorkers
	if progress.HandedOver {
		unresolved = progress.BusyWorkers
	}
	renewalsEndAt := earlierRenewalsEnd(progress, sh.term.PreviousEndedAt, claimedAt)
	core.SetUnrecordedLeasesEnd(renewalsEndAt.Add(withMaxDrift(workerLeaseTTL)))
	core.LoadProgress(progress.Jobs, progress.KnownWorkers, unresolved)
	core.LoadLeases(progress.Leases, claimedAt)
	core.LoadClosed(progress.Closed)
	earlierStartsEndAt := earlierStartsEnd(progress, claimedAt)
	core.SetEarlierStartsEnd(earlierStartsEndAt)
	sh.core, sh.progressRevision = core, progressRevision
	sh.takeover = takeover{claimedAt: claimedAt, claimRevision: sh.term.EpochRevision, earlierStartsEndAt: earlierStartsEndAt, earlierRenewalsEndAt: renewalsEndAt}
	now := time.Now()
	core.RestoreInterference(model.Pairs, now)
	sh.applyZones(core)
	sh.configuration = nil // the core is new
	sh.applyOrganisations(core)
	for _, item := range stored.workers.items {
		sh.applyListing(item)
	}
	core.SetWorkers(sh.currentListings(), now)
	if !progress.HandedOver {
		core.AwaitReports()
	}
	for _, item := range stored.jobs.items {
		sh.applyJobRecord(item, now)
	}
	sh.updateWorkerClients()
	sh.workersConfirmed.record(stored.workers.requestedAt)
	sh.jobsConfirmed.record(stored.jobs.requestedAt)
	sh.log.Info("shard taken over", "jobs", len(stored.jobs.items), "workers", len(sh.listings), "clean", progress.HandedOver, "took", time.Since(claimedAt).String())
	return stored.jobs.listing.Revision, stored.workers.listing.Revision, nil
}

// update applies f to the core, places tasks if this entry may start them, and
// passes on the orders, expired leases and final states that result. If that panics, the
// state of the core cannot be trusted, and the term ends.
func (sh *shard) update(f func(c *scheduler.Core, now time.Time)) {
	sh.mu.Lock()
	if sh.abandoned {
		sh.mu.Unlock()
		return
	}
	err := guard.Call(func() error {
		sh.updateCore(f)
		return nil
	})
	sh.abandoned = err != nil // before anything else uses the core
	sh.mu.Unlock()
	if err != nil {
		sh.abandon(err)
	}
}

// abandonTimeout bounds the call that releases an abandoned shard. Its lease expires
// without that too.
const abandonTimeout = time.Second

// abandon ends the term after a fault in the core. The next owner builds its core anew
// from the store and from the reports of the workers.
func (sh *shard) abandon(cause error) {
	sh.log.Error(cause, "shard abandoned after a fault")
	metric.OwnershipChanges.Add("abandoned", 1)
	sh.cancel()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(sh.ctx), abandonTimeout)
	defer cancel()
	sh.service.ownership.Abandon(ctx)
}

// updateCore is update without its precautions. It is called with the lock held.
func (sh *shard) updateCore(f func(c *scheduler.Core, now time.Time)) {
	metric.CoreUpdates.Add(1)
	now := time.Now()
	f(sh.core, now)
	full, left := sh.core.JobRoom()
	sh.room.Store(&jobRoom{full, left})
	if sh.handingOver {
		sh.core.TakeOrders()
		return
	}
	if sh.placement.due(now) && sh.mayStart(now) {
		began := time.Now()
		sh.core.HoldCapped(!sh.mayStartCapped(now))
		sh.core.Place(now)
		sh.placement.ended(began, time.Now())
		metric.PlaceTimer.Since(began)
		metric.PlacementPasses.Add(1)
	}
	sh.queueOrders(sh.core.TakeOrders())
	for _, l := range sh.core.TakeExpiredLeases() {
		metric.ExpiredLeases.Add(1)
		sh.log.Info("lease of worker expired; its runs are given up", "worker", l.Worker, "runs", l.Runs,
			"reported", l.ReportAge.String(), "unanswered", l.AnswerAge.String(), "listed", l.Listed)
	}
	if ids := sh.core.TakeResolvedWorkers(); len(ids) > 0 {
		sh.log.Info("leases of earlier owners expired on silent workers; their tasks may start elsewhere", "workers", len(ids), "first", ids[0])
	}
	for _, r := range sh.core.TakeReplacedWorkers() {
		sh.log.Info("worker has ended, another one answers at its address; its tasks may start elsewhere", "worker", r.Worker, "replacement", r.Replacement,
			"address", r.Address, "runs", r.Runs, "unresolved", r.Unresolved)
	}
	for _, f := range sh.core.TakeFinalStates() {
		sh.log.Info("job reached its final state", "job", f.Job, "state", f.State.String(), "cause", f.Cause)
		metric.FinalStates.Add(f.State.String(), 1)
		sh.finalStates = append(sh.finalStates, f)
	}
	if len(sh.finalStates) > 0 || (sh.core.ProgressChanged() && sh.progress.due(now)) {
		select {
		case sh.commitDue <- struct{}{}:
		default:
		}
	}
}
