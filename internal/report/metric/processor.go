package metric

import (
	"expvar"
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// Work is a kind of work that takes processor time.
type Work string

// Kinds of work. Those that are timed are pure processing: they neither wait nor call the
// system. Their time is taken by the clock, so it holds the time in which the process is
// kept from the processor, and in pieces of more than 10 ms that of other goroutines.
const (
	WorkCore    Work = "core"    // uses of the scheduler core, without the three kinds that follow
	WorkPlace   Work = "place"   // placement passes
	WorkRecord  Work = "record"  // snapshot and encoding of the progress
	WorkListing Work = "listing" // changes of the instance list
	WorkReply   Work = "reply"   // decoding of the answers of workers
	WorkStore   Work = "store"   // decoding of the answers of the store
	WorkRequest Work = "request" // encoding of the bodies of calls to workers and the platform
	WorkPeers   Work = "peers"   // encoding of batches of starts for other entries, and decoding of their answers
	WorkLog     Work = "log"     // formatting and limiting of log lines, also of those written during other work
	// WorkCollect is the marking of the garbage collector, with what allocating goroutines
	// mark, which is part of their work too. The runtime counts it at the end of a cycle.
	WorkCollect Work = "collect"
	// WorkRest is the time in user mode that no other kind explains: HTTP, timers, the
	// scheduling of goroutines, the sweep of the collector and allocation outside of other
	// kinds.
	WorkRest Work = "rest"
)

// workTimes counts the nanoseconds of each kind of timed work.
var workTimes = expvar.NewMap("work_ns")

// Timers of work.
var (
	CoreTimer    = newWorkTimer(WorkCore) // with the kinds of coreParts
	PlaceTimer   = newWorkTimer(WorkPlace)
	RecordTimer  = newWorkTimer(WorkRecord)
	ListingTimer = newWorkTimer(WorkListing)
	ReplyTimer   = newWorkTimer(WorkReply)
	StoreTimer   = newWorkTimer(WorkStore)
	RequestTimer = newWorkTimer(WorkRequest)
	PeersTimer   = newWorkTimer(WorkPeers)
	LogTimer     = newWorkTimer(WorkLog)
)

// coreParts are the kinds of work that are done during uses of the core.
var coreParts = []Work{WorkPlace, WorkRecord, WorkListing}

// WorkTimer adds up the time of a kind of work.
type WorkTimer struct{ nanoseconds *expvar.Int }

func newWorkTimer(w Work) *WorkTimer {
	t := &WorkTimer{nanoseconds: new(expvar.Int)}
	workTimes.Set(string(w), t.nanoseconds)
	return t
}

// Since adds the time since a piece of work began.
func (t *WorkTimer) Since(began time.Time) { t.nanoseconds.Add(int64(time.Since(began))) }

// lockWait is the total time, in nanoseconds, that goroutines have waited for the core.
var lockWait = expvar.NewInt("lockwait_ns")

// AddLockWait adds the time that a goroutine has waited for the core.
func AddLockWait(d time.Duration) { lockWait.Add(int64(d)) }

// Event is a kind of event that is counted beside the processor time it takes.
type Event string

// Kinds of events.
const (
	EventReport  Event = "reports" // reports of workers handled
	EventUpdate  Event = "updates" // updates of the core
	EventPass    Event = "passes"  // placement passes, with attempts that found nothing due
	EventLine    Event = "lines"   // log lines, with those left out
	EventWakeup  Event = "wakeups" // voluntary context switches: a thread waited and was woken
	EventPreempt Event = "preempted"
	EventCycle   Event = "cycles" // of the garbage collector
)

// events counts the events of the program by Event.
var events = expvar.NewMap("events")

// Counters of events.
var (
	Reports         = newEventCounter(EventReport)
	CoreUpdates     = newEventCounter(EventUpdate)
	PlacementPasses = newEventCounter(EventPass)
	LogLines        = newEventCounter(EventLine)
)

func newEventCounter(e Event) *expvar.Int {
	n := new(expvar.Int)
	events.Set(string(e), n)
	return n
}

func init() {
	expvar.Publish("processor", expvar.Func(func() any {
		r := readProcessor(time.Now())
		return struct {
			User     int64 `json:"user_us"`
			System   int64 `json:"system_us"`
			Collect  int64 `json:"collect_us"`
			Wakeups  int64 `json:"wakeups"`
			Preempts int64 `json:"preempted"`
			Cycles   int64 `json:"cycles"`
		}{
			r.user.Microseconds(), r.system.Microseconds(), r.work[WorkCollect].Microseconds(),
			r.events[EventWakeup], r.events[EventPreempt], r.events[EventCycle],
		}
	}))
}

// Percent is a share of one core, rounded to a tenth.
type Percent float64

// ProcessorRates is the processor time of the process over a period. System and the
// kinds of work add up to Total, but for what the clock adds to timed work.
type ProcessorRates struct {
	Total           Percent
	System          Percent // in the kernel: system calls and the network
	Work            map[Work]Percent
	EventsPerSecond map[Event]float64
	LockWait        Percent // of one goroutine that always waits for the core
}

// ProcessorMeter measures the processor time between two readings. It is for use by one
// goroutine.
type ProcessorMeter struct{ last processorReading }

// Rates returns the processor time since the last call, and none at the first call.
func (m *ProcessorMeter) Rates(now time.Time) ProcessorRates {
	last := m.last
	m.last = readProcessor(now)
	return ratesBetween(last, m.last)
}

// processorReading is the state of all counters at a time.
type processorReading struct {
	at                     time.Time
	user, system, lockWait time.Duration
	work                   map[Work]time.Duration
	events                 map[Event]int64
}

// ratesBetween returns the processor time between two readings, or none if no time has
// passed or the first one is missing.
func ratesBetween(last, current processorReading) ProcessorRates {
	if last.at.IsZero() || !current.at.After(last.at) {
		return ProcessorRates{}
	}
	period := current.at.Sub(last.at)
	share := func(d time.Duration) Percent {
		return Percent(toTenths(100 * float64(max(d, 0)) / float64(period)))
	}
	user, system := current.user-last.user, current.system-last.system
	work := map[Work]time.Duration{}
	for kind, total := range current.work {
		work[kind] = total - last.work[kind]
	}
	for _, part := range coreParts {
		work[WorkCore] -= work[part]
	}
	work[WorkRest] = user
	for kind, d := range work {
		if kind != WorkRest {
			work[WorkRest] -= d
		}
	}
	rates := ProcessorRates{
		Total: share(user + system), System: share(system), LockWait: share(current.lockWait - last.lockWait),
		Work: map[Work]Percent{}, EventsPerSecond: map[Event]float64{},
	}
	for event, n := range difference(current.events, last.events) {
		rates.EventsPerSecond[event] = toTenths(float64(n) / period.Seconds())
	}
	for kind, d := range work {
		rates.Work[kind] = share(d)
	}
	return rates
}

// toTenths rounds to a tenth: cycles of the collector are less frequent than one a second.
func toTenths(x float64) float64 { return math.Round(10*x) / 10 }

func readProcessor(now time.Time) processorReading {
	r := processorReading{at: now, lockWait: time.Duration(lockWait.Value()), work: map[Work]time.Duration{}, events: readCounters[Event](events)}
	for kind, nanoseconds := range readCounters[Work](workTimes) {
		r.work[kind] = time.Duration(nanoseconds)
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil { // fails only for another argument
		r.user, r.system = time.Duration(usage.Utime.Nano()), time.Duration(usage.Stime.Nano())
		r.events[EventWakeup], r.events[EventPreempt] = int64(usage.Nvcsw), int64(usage.Nivcsw)
	}
	r.readCollector()
	return r
}

// collectorTimes are the parts of the collector's processor time. That of its pauses is
// left out, as the runtime counts it for every processor, whether it was used or not.
var collectorTimes = []string{
	"/cpu/classes/gc/mark/assist:cpu-seconds",
	"/cpu/classes/gc/mark/dedicated:cpu-seconds",
	"/cpu/classes/gc/mark/idle:cpu-seconds",
}

// collectorCycles is the number of completed cycles of the collector.
const collectorCycles = "/gc/cycles/total:gc-cycles"

// readCollector adds the counters of the garbage collector to a reading.
func (r *processorReading) readCollector() {
	samples := []metrics.Sample{{Name: collectorCycles}}
	for _, name := range collectorTimes {
		samples = append(samples, metrics.Sample{Name: name})
	}
	metrics.Read(samples)
	for _, s := range samples {
		switch s.Value.Kind() {
		case metrics.KindUint64:
			r.events[EventCycle] = int64(s.Value.Uint64())
		case metrics.KindFloat64:
			r.work[WorkCollect] += time.Duration(s.Value.Float64() * float64(time.Second))
		}
	}
}
