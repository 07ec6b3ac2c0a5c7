package interference

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// caution is the number of deviations added to the rise of a new task.
	caution = 1.0
	// margin is the part of the room below the target that placement may use. The
	// rest is for bursts, which the model cannot foresee.
	margin = 0.7
	// leastRoom is allowed even where a class misses its target without any batch
	// work, since refusing all of it would not help the class.
	leastRoom = 0.1

	// firstTail is the ratio of the tail to the median before reports show it. It
	// counts as much as firstTailReports.
	firstTail        = 2.5
	firstTailReports = 10
	tailWeight       = 0.01
	// minTailRequests is the least number of requests of which the highest is near
	// a 99th percentile.
	minTailRequests = 20
	// defaultBand is assumed of a worker that has not reported yet.
	defaultBand = Band(1)
)

// Advisor turns the model into the two judgements that schedulers ask for: the
// harm of adding a task to a worker, and the relief of taking one away. The zero
// value is not usable; call NewAdvisor.
type Advisor struct {
	Model   *Model
	targets map[unit.ClassID]spec.Target
	tails   map[unit.ClassID]tail
	alive   map[unit.ClassID]bool
	sites   map[unit.InstanceID]*site
	on      map[unit.ClassID]int // workers that run a batch class
}

// tail is the moving average of the tail latency over the median.
type tail struct {
	ratio, reports float64
}

type site struct {
	capacity unit.Millicores
	serves   []unit.ClassID
	bands    map[unit.ClassID]Band
	batch    []load // a slice, so that sums don't depend on the order of a map
}

type load struct {
	class unit.ClassID
	cores unit.Millicores
	tasks int
}

// NewAdvisor returns an advisor without knowledge.
func NewAdvisor() *Advisor {
	return &Advisor{
		Model:   New(),
		targets: map[unit.ClassID]spec.Target{},
		tails:   map[unit.ClassID]tail{},
		alive:   map[unit.ClassID]bool{},
		sites:   map[unit.InstanceID]*site{},
		on:      map[unit.ClassID]int{},
	}
}

// SetTarget sets the target of a class. A standing class is never refused a worker,
// since its own target is to stay alive.
func (a *Advisor) SetTarget(class unit.ClassID, kind spec.Kind, t spec.Target) {
	switch kind {
	case spec.KindRequest:
		a.targets[class] = t
	case spec.KindStanding:
		a.alive[class] = true
	case spec.KindBatch:
	}
}

// UpsertWorker adds a worker or changes its cores and the classes of requests that it
// serves.
func (a *Advisor) UpsertWorker(id unit.InstanceID, cores unit.Millicores, serves []unit.ClassID) {
	s, ok := a.sites[id]
	if !ok {
		s = &site{bands: map[unit.ClassID]Band{}}
		a.sites[id] = s
	}
	s.capacity, s.serves = cores, serves
}

// RemoveWorker forgets a worker.
func (a *Advisor) RemoveWorker(id unit.InstanceID) {
	if s, ok := a.sites[id]; ok {
		for _, l := range s.batch {
			a.on[l.class]--
		}
		delete(a.sites, id)
	}
}

// AdjustLoad counts tasks of a batch class that start (positive) or end (negative)
// on a worker, and the cores that they may use. A throttle changes only cores.
func (a *Advisor) AdjustLoad(id unit.InstanceID, class unit.ClassID, tasks int, cores unit.Millicores) {
	s, ok := a.sites[id]
	if !ok {
		return
	}
	i := s.find(class)
	if i < 0 {
		i = len(s.batch)
		s.batch = append(s.batch, load{class: class})
		a.on[class]++
	}
	s.batch[i].tasks += tasks
	s.batch[i].cores += cores
	if s.batch[i].tasks <= 0 {
		s.batch = slices.Delete(s.batch, i, i+1)
		a.on[class]--
	}
}

// Observe learns from a report of a worker: a sample, and the tail latency of
// the same window at the percentile of the target.
func (a *Advisor) Observe(id unit.InstanceID, s Sample, slowest time.Duration) {
	a.Model.Observe(s)
	if at, ok := a.sites[id]; ok {
		at.bands[s.Class] = s.Band
	}
	if s.Requests >= minTailRequests && s.Latency > 0 {
		ratio := min(max(slowest.Seconds()/s.Latency.Seconds(), 1), 10)
		t, ok := a.tails[s.Class]
		if !ok {
			t = tail{ratio: firstTail, reports: firstTailReports}
		}
		t.reports++
		t.ratio += max(tailWeight, 1/t.reports) * (ratio - t.ratio)
		a.tails[s.Class] = t
	}
}

// Harm returns the part of the room below their targets that the requests of
// the worker are expected to have used up once the task runs there. It is
// infinite if that is more than placement may use, or if the pair is uncertain
// and is being tried on enough workers.
func (a *Advisor) Harm(id unit.InstanceID, class unit.ClassID, size unit.Resources) float64 {
	s, ok := a.sites[id]
	if !ok || s.capacity <= 0 {
		return 0
	}
	worst := 0.0
	for _, requests := range s.serves {
		band := s.band(requests)
		added := a.Model.Predict(requests, band, class, share(size.Cores, s.capacity))
		total, trying := size.Cores, a.on[class]
		if i := s.find(class); i >= 0 {
			total += s.batch[i].cores
			trying--
		}
		others, room := a.rise(s, requests, band), max(margin*a.room(requests, band), leastRoom)
		rise := others + added.Mean + caution*added.Deviation
		if !a.alive[class] {
			switch certain := a.Model.Confident(requests, band, class, share(total, s.capacity)); {
			case !certain && !a.Model.MayTry(trying, len(a.sites)):
				return math.Inf(1)
			case !certain && others+added.Mean-caution*added.Deviation > room:
				// Trying on few workers shows whether the pair is better than feared.
				return math.Inf(1)
			case certain && rise > room:
				return math.Inf(1)
			}
		}
		worst = max(worst, rise/room)
	}
	return worst
}

// Relief returns by how much the logarithm of the latency of a class of requests
// is expected to fall if the batch class uses so many cores less.
func (a *Advisor) Relief(requests unit.ClassID, id unit.InstanceID, batch unit.ClassID, cores unit.Millicores) float64 {
	s, ok := a.sites[id]
	if !ok || s.capacity <= 0 {
		return 0
	}
	return a.Model.Predict(requests, s.band(requests), batch, share(cores, s.capacity)).Mean
}

// rise returns the expected rise of the logarithm of the latency by all batch
// work of the worker.
func (a *Advisor) rise(s *site, requests unit.ClassID, band Band) float64 {
	sum := 0.0
	for _, l := range s.batch {
		sum += a.Model.Predict(requests, band, l.class, share(l.cores, s.capacity)).Mean
	}
	return sum
}

// room returns by how much the logarithm of the latency may rise until the tail
// reaches the bound of the target. It is infinite without a bound or reports.
func (a *Advisor) room(requests unit.ClassID, band Band) float64 {
	base, bound := a.Model.Baseline(requests, band), a.targets[requests].Bound.Std()
	if base <= 0 || bound <= 0 {
		return math.Inf(1)
	}
	return math.Log(bound.Seconds() / (base.Seconds() * a.tail(requests)))
}

func (a *Advisor) tail(requests unit.ClassID) float64 {
	if t, ok := a.tails[requests]; ok {
		return t.ratio
	}
	return firstTail
}

func (s *site) find(class unit.ClassID) int {
	return slices.IndexFunc(s.batch, func(l load) bool { return l.class == class })
}

func (s *site) band(requests unit.ClassID) Band {
	if b, ok := s.bands[requests]; ok {
		return b
	}
	return defaultBand
}

func share(cores, capacity unit.Millicores) float64 { return float64(cores) / float64(capacity) }
