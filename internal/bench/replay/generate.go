package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Names of the firms of design section 1.1.
const (
	FirmSaurashtra = "saurashtra"
	FirmTenjin     = "tenjin"
)

// batchShape is the distribution of the jobs of a batch class.
type batchShape struct {
	class          Class
	tasks          int           // mean per job
	cores          float64       // real, of one task
	memory         float64       // GB, real
	work           time.Duration // real, median
	declaredFactor float64       // declared size over real size, median
	spread         float64       // standard deviation of the logarithm of sizes, run times and errors of declaration
	load           float64       // offered work divided by the capacity for batch work
	nightOnly      bool          // all jobs arrive in the first part of the trace
}

type firmShape struct {
	name       string
	zones      []unit.ZoneID
	workers    int
	perRack    int
	capacity   unit.Resources
	reserved   unit.Resources
	zoneDelay  time.Duration
	callerWait time.Duration
	requests   []Class
	rates      []float64 // requests a second of each, over all workers
	replicas   Class
	perZone    int
	replica    unit.Resources
	batch      []batchShape
}

const gigabyte = 1e9

func resources(cores, gigabytes float64) unit.Resources {
	return unit.Resources{Cores: unit.Millicores(cores * 1000), Memory: unit.Bytes(gigabytes * gigabyte)}
}

func requestClass(name unit.ClassID, median, bound time.Duration) Class {
	return Class{
		Name: name, Kind: spec.KindRequest, Median: unit.Duration(median), Spread: 0.35,
		Target: spec.Target{Percentile: 99, Bound: unit.Duration(bound)},
	}
}

func batchClass(name unit.ClassID, weight float64, finish time.Duration, harm map[unit.ClassID]float64) Class {
	return Class{
		Name: name, Kind: spec.KindBatch, Weight: weight, Harm: harm,
		Target: spec.Target{Finish: unit.Duration(finish)},
	}
}

func standingClass(name unit.ClassID, replicas int, harm map[unit.ClassID]float64) Class {
	return Class{Name: name, Kind: spec.KindStanding, Weight: 8, Harm: harm, Target: spec.Target{Replicas: replicas}}
}

// firms returns the shapes of both firms. The sizes, zones, racks and delays are
// those of design section 1.1. The rates, the demand and the interference of the
// classes are assumptions, since no measurements of the firms are available.
func firms() []firmShape {
	return []firmShape{{
		name: FirmSaurashtra, zones: []unit.ZoneID{"guj-morbi", "guj-hazira", "guj-vadodara"},
		workers: 65, perRack: 11, capacity: resources(64, 250), reserved: resources(24, 64),
		zoneDelay: 500 * time.Microsecond, callerWait: 2 * time.Millisecond,
		requests: []Class{requestClass("quotes", 80*time.Millisecond, 250*time.Millisecond)},
		rates:    []float64{2200},
		replicas: standingClass("cut-lists", 6, map[unit.ClassID]float64{"quotes": 0.3}),
		perZone:  6, replica: resources(4, 8),
		batch: []batchShape{
			{class: batchClass("takeoffs", 4, 8*time.Minute, map[unit.ClassID]float64{"quotes": 1.0}),
				tasks: 24, cores: 6, memory: 20, work: 70 * time.Second, declaredFactor: 1.6, spread: 0.5, load: 0.40},
			{class: batchClass("nesting", 2, 15*time.Minute, map[unit.ClassID]float64{"quotes": 3.0}),
				tasks: 16, cores: 8, memory: 16, work: 50 * time.Second, declaredFactor: 0.8, spread: 0.5, load: 0.15},
			{class: batchClass("archive", 1, time.Hour, map[unit.ClassID]float64{"quotes": 0.1}),
				tasks: 32, cores: 4, memory: 12, work: 60 * time.Second, declaredFactor: 2.5, spread: 0.6, load: 0.20},
		},
	}, {
		name: FirmTenjin, zones: []unit.ZoneID{"kyushu-fuk", "kyushu-kum", "kyushu-kag"},
		workers: 50, perRack: 8, capacity: resources(16, 60), reserved: resources(6, 16),
		zoneDelay: time.Millisecond, callerWait: 6 * time.Millisecond,
		requests: []Class{
			requestClass("checks", 25*time.Millisecond, 90*time.Millisecond),
			requestClass("settlements", 200*time.Millisecond, 620*time.Millisecond),
		},
		rates:    []float64{2000, 300},
		replicas: standingClass("sync", 10, map[unit.ClassID]float64{"checks": 0.25, "settlements": 0.25}),
		perZone:  10, replica: resources(1, 3),
		batch: []batchShape{
			{class: batchClass("reconciliation", 2, 8*time.Hour, map[unit.ClassID]float64{"checks": 2.2, "settlements": 1.4}),
				tasks: 40, cores: 2, memory: 8, work: 60 * time.Second, declaredFactor: 1.7, spread: 0.5, load: 0.50, nightOnly: true},
			{class: batchClass("exports", 1, 2*time.Hour, map[unit.ClassID]float64{"checks": 0.2, "settlements": 0.1}),
				tasks: 20, cores: 1.5, memory: 4, work: 45 * time.Second, declaredFactor: 2.0, spread: 0.5, load: 0.20},
		},
	}}
}

// TraceOptions selects one trace.
type TraceOptions struct {
	Firm  string
	Seed  uint64
	Span  time.Duration
	Scale float64 // of the number of workers and of the rates; 1 is the firm's size
}

// Generate returns the trace of a firm, or nil for an unknown one. Equal options
// give equal traces.
func Generate(o TraceOptions) *Trace {
	shapes := firms()
	i := slices.IndexFunc(shapes, func(f firmShape) bool { return f.name == o.Firm })
	if i < 0 {
		return nil
	}
	g := &generator{firm: &shapes[i], options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(i)+1))}
	return g.trace()
}

type generator struct {
	firm    *firmShape
	options TraceOptions
	rng     *rand.Rand
	out     Trace
	jobs    []unit.JobID // batch jobs so far
}

// at returns the time after a fraction of the span.
func (g *generator) at(part float64) unit.Duration {
	return roundToMillisecond(part * float64(g.options.Span))
}

func (g *generator) trace() *Trace {
	f := g.firm
	g.out.Header = Header{
		Firm: f.name, Seed: g.options.Seed, Span: unit.Duration(g.options.Span), Entries: 6, Slots: 8,
		ZoneDelay: unit.Duration(f.zoneDelay), CallerWait: unit.Duration(f.callerWait),
	}
	workers := max(3*len(f.zones), int(float64(f.workers)*g.options.Scale))
	for i := range workers {
		zone := f.zones[i%len(f.zones)]
		g.out.Workers = append(g.out.Workers, Worker{
			ID: unit.InstanceID(fmt.Sprintf("w%03d", i)), Zone: zone,
			Rack:     unit.RackID(fmt.Sprintf("%s-r%d", zone, i/len(f.zones)/f.perRack)),
			Capacity: f.capacity, Reserved: f.reserved,
		})
	}
	g.out.Classes = append(slices.Clone(f.requests), f.replicas)
	for _, b := range f.batch {
		g.out.Classes = append(g.out.Classes, b.class)
	}
	g.addRates(float64(workers) / float64(f.workers))
	g.addReplicas()
	g.addBatchJobs(workers)
	g.addDisturbances()
	slices.SortStableFunc(g.out.Events, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return &g.out
}

// addRates changes the request rates up and down in steps.
func (g *generator) addRates(scale float64) {
	steps := []struct{ part, factor float64 }{{0, 0.8}, {0.15, 1}, {0.30, 1.25}, {0.45, 0.9}, {0.75, 1.3}, {0.9, 0.8}}
	for _, s := range steps {
		jitter := 0.9 + 0.2*g.rng.Float64()
		for i, c := range g.firm.requests {
			g.add(Line{Kind: KindRate, At: g.at(s.part), Class: c.Name, Rate: g.firm.rates[i] * scale * s.factor * jitter})
		}
	}
}

func (g *generator) addReplicas() {
	for _, zone := range g.firm.zones {
		g.add(Line{Kind: KindJob, Job: &Job{
			ID: unit.JobID(string(g.firm.replicas.Name) + "." + string(zone)), Class: g.firm.replicas.Name, Zone: zone,
			Tasks: max(2, int(float64(g.firm.perZone)*min(g.options.Scale, 1))), Declared: g.firm.replica, Real: g.firm.replica,
		}})
	}
}

// addBatchJobs adds jobs of each batch class until the load is reached. Declared
// sizes and run times differ from the real ones, and every task of one job in
// thirty fails.
func (g *generator) addBatchJobs(workers int) {
	perWorker := float64(g.firm.capacity.Cores-g.firm.reserved.Cores) / 1000
	for _, b := range g.firm.batch {
		offered := b.load * perWorker * float64(workers) * g.options.Span.Seconds()
		from, to := 0.03, 0.85
		if b.nightOnly {
			to = 0.5
		}
		for n := 0; offered > 0; n++ {
			scale := func() float64 { return math.Exp(b.spread * g.rng.NormFloat64()) }
			tasks := 1 + g.rng.IntN(2*b.tasks)
			work := time.Duration(float64(b.work) * scale())
			real := resources(min(b.cores*math.Sqrt(scale()), perWorker), min(b.memory*math.Sqrt(scale()), 0.8*float64(g.firm.capacity.Memory-g.firm.reserved.Memory)/gigabyte))
			wrong := b.declaredFactor * scale()
			declared := resources(min(float64(real.Cores)/1000*wrong, perWorker),
				min(float64(real.Memory)/gigabyte*b.declaredFactor*scale(), 0.9*float64(g.firm.capacity.Memory-g.firm.reserved.Memory)/gigabyte))
			id := unit.JobID(fmt.Sprintf("%s-%d", b.class.Name, n))
			g.add(Line{Kind: KindJob, At: g.at(from + (to-from)*g.rng.Float64()), Job: &Job{
				ID: id, Class: b.class.Name, Tasks: tasks, Declared: declared, Real: real,
				Work: roundToMillisecond(float64(work)), DeclaredWork: roundToMillisecond(float64(work) * b.declaredFactor * scale()),
				Fails: g.rng.IntN(30) == 0,
			}})
			g.jobs = append(g.jobs, id)
			offered -= float64(tasks) * float64(real.Cores) / 1000 * work.Seconds()
		}
	}
}

// addDisturbances adds bursts of interference, slow and failed workers, a zone
// that goes out of service and comes back, and a burst of cancellations.
func (g *generator) addDisturbances() {
	for range 14 {
		b := g.firm.batch[g.rng.IntN(len(g.firm.batch))]
		g.add(Line{Kind: KindBurst, At: g.at(0.05 + 0.9*g.rng.Float64()), Span: g.at(0.03 + 0.06*g.rng.Float64()),
			Class: b.class.Name, Workers: g.sampleWorkers(0.35), Factor: 2.5 + 2.5*g.rng.Float64()})
	}
	for range 4 {
		g.add(Line{Kind: KindSlow, At: g.at(0.05 + 0.9*g.rng.Float64()), Span: g.at(0.01 + 0.03*g.rng.Float64()),
			Workers: g.sampleWorkers(0.03), Factor: 1.5 + g.rng.Float64()})
	}
	for range 3 {
		g.add(Line{Kind: KindFail, At: g.at(0.1 + 0.8*g.rng.Float64()), Span: g.at(0.1), Workers: g.sampleWorkers(0)})
	}
	g.add(Line{Kind: KindBroken, At: g.at(0.05 + 0.1*g.rng.Float64()), Span: g.at(0.5), Workers: g.sampleWorkers(0)})
	zone := g.firm.zones[g.rng.IntN(len(g.firm.zones))]
	g.add(Line{Kind: KindZoneOut, At: g.at(0.5), Zone: zone, Span: unit.Duration(20 * time.Second)})
	g.add(Line{Kind: KindZoneIn, At: g.at(0.7), Zone: zone})
	at := g.at(0.35 + 0.3*g.rng.Float64())
	for _, id := range g.jobs {
		if g.rng.IntN(20) == 0 {
			g.add(Line{Kind: KindCancel, At: at, Job: &Job{ID: id}})
		}
	}
}

// sampleWorkers draws a fraction of the workers, at least one.
func (g *generator) sampleWorkers(part float64) []unit.InstanceID {
	n := max(1, int(part*float64(len(g.out.Workers))))
	var ids []unit.InstanceID
	for _, i := range g.rng.Perm(len(g.out.Workers))[:n] {
		ids = append(ids, g.out.Workers[i].ID)
	}
	slices.Sort(ids)
	return ids
}

func (g *generator) add(l Line) { g.out.Events = append(g.out.Events, l) }

// roundToMillisecond keeps the encoded traces short.
func roundToMillisecond(nanoseconds float64) unit.Duration {
	return unit.Duration(time.Duration(nanoseconds).Round(time.Millisecond))
}
