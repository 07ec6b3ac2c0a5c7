package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// Burst is the time whose jobs may come at once and still be within the rate.
const Burst = 2 * time.Second

// period is the time after which each bucket is full again, counted from the Unix epoch. It
// makes the result depend on the jobs of one period only, which is shorter than the time for
// which the records of ended jobs are kept. A new owner thus computes the same from the
// records that it reads.
const period = time.Minute

// keptPeriods is the number of periods before the current one whose jobs are kept, as the
// record of a job may be read after those of later ones.
const keptPeriods = 2

// Arrival is the acceptance of a job.
type Arrival struct {
	at     int64 // Unix time in nanoseconds
	job    unit.JobID
	tokens float64 // left in the bucket after the job
	within bool
}

// Within reports whether the job is within the rate of its organisation. A job without an
// organisation, which has no arrival, always is, and one that is not settled counts as within.
// The result may change while the records of earlier jobs are still read.
func (a *Arrival) Within() bool { return a == nil || a.within }

// Meter decides by token buckets which jobs are within the rate of their organisation: its
// weight, in jobs a second. The zero Meter is ready for use. It is not safe for concurrent
// use.
type Meter struct {
	weights map[unit.OrganisationID]float64
	lanes   map[unit.OrganisationID]*lane
	dirty   []*lane // with arrivals that are not settled
	changed bool    // arrivals were settled since the last call of Settle
}

// lane holds the latest arrivals of one organisation, in order of time.
type lane struct {
	rate     float64 // jobs a second
	arrivals []*Arrival
	settled  int  // arrivals before this index are settled
	dirty    bool // listed in Meter.dirty
}

// SetOrganisations replaces the organisations. One that is not named has weight 1.
func (m *Meter) SetOrganisations(organisations []organisation.Organisation) {
	m.weights = make(map[unit.OrganisationID]float64, len(organisations))
	for _, o := range organisations {
		m.weights[o.ID] = validWeight(o.Weight)
	}
	for id, l := range m.lanes {
		if rate := m.Weight(id); rate != l.rate {
			l.rate = rate
			m.unsettle(l, 0)
		}
	}
}

// Weight returns the weight of an organisation.
func (m *Meter) Weight(id unit.OrganisationID) float64 {
	if w, ok := m.weights[id]; ok {
		return w
	}
	return 1
}

// Record counts a job. Jobs may be recorded in any order; the arrival of one that is not the
// latest is valid after the next call of Settle, and those after it may change then.
func (m *Meter) Record(id unit.OrganisationID, job unit.JobID, accepted time.Time) *Arrival {
	if id == "" {
		return nil
	}
	l := m.lanes[id]
	if l == nil {
		if m.lanes == nil {
			m.lanes = map[unit.OrganisationID]*lane{}
		}
		l = &lane{rate: m.Weight(id)}
		m.lanes[id] = l
	}
	a := &Arrival{at: accepted.UnixNano(), job: job, within: true}
	i := l.positionOf(a)
	l.arrivals = slices.Insert(l.arrivals, i, a)
	if l.settled == i && i == len(l.arrivals)-1 {
		l.settle()
		return a
	}
	m.unsettle(l, i)
	return a
}

// compareArrivals orders arrivals by time, and by job at the same time.
func compareArrivals(a, b *Arrival) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.job, b.job))
}

// positionOf returns the index before which an arrival belongs: after all equal ones.
func (l *lane) positionOf(a *Arrival) int {
	i, _ := slices.BinarySearchFunc(l.arrivals, a, func(other, a *Arrival) int {
		if compareArrivals(other, a) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// unsettle records that the arrivals of a lane from an index on have to be decided.
func (m *Meter) unsettle(l *lane, from int) {
	l.settled = min(l.settled, from)
	if !l.dirty {
		l.dirty = true
		m.dirty = append(m.dirty, l)
	}
}

// Settle decides about the jobs that were recorded since the last call, and reports whether
// any may have changed.
func (m *Meter) Settle() (changed bool) {
	m.settle()
	changed, m.changed = m.changed, false
	return changed
}

// settle decides about the jobs that are not settled.
func (m *Meter) settle() {
	m.changed = m.changed || len(m.dirty) > 0
	for _, l := range m.dirty {
		l.settle()
	}
	m.dirty = m.dirty[:0]
}

// Forget drops the jobs of periods so long ago that no other record of them is expected. What
// was decided about them stays.
func (m *Meter) Forget(now time.Time) {
	m.settle()
	oldest := periodOf(now.UnixNano()) - keptPeriods
	for id, l := range m.lanes {
		kept := slices.IndexFunc(l.arrivals, func(a *Arrival) bool { return periodOf(a.at) >= oldest })
		if kept < 0 {
			delete(m.lanes, id)
			continue
		}
		l.arrivals = slices.Delete(l.arrivals, 0, kept)
		l.settled = len(l.arrivals)
	}
}

// Delay returns the time until the next job of an organisation would be within its rate.
func (m *Meter) Delay(id unit.OrganisationID, now time.Time) time.Duration {
	m.settle()
	l := m.lanes[id]
	if l == nil || len(l.arrivals) == 0 {
		return 0
	}
	last := l.arrivals[len(l.arrivals)-1]
	at := max(now.UnixNano(), last.at)
	missing := 1 - l.tokensAt(last, at)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / l.rate * float64(time.Second))
	return min(wait, time.Duration(periodOf(at)+1)*period-time.Duration(at))
}

// settle decides about the arrivals that are not settled.
func (l *lane) settle() {
	for i := l.settled; i < len(l.arrivals); i++ {
		a := l.arrivals[i]
		tokens := l.capacity()
		if i > 0 {
			tokens = l.tokensAt(l.arrivals[i-1], a.at)
		}
		a.within = tokens >= 1
		if a.within {
			tokens--
		}
		a.tokens = tokens
	}
	l.settled, l.dirty = len(l.arrivals), false
}

// capacity returns the number of jobs that may come at once.
func (l *lane) capacity() float64 { return max(l.rate*Burst.Seconds(), 1) }

// tokensAt returns what is in the bucket at a time after an arrival, the last one before.
func (l *lane) tokensAt(last *Arrival, at int64) float64 {
	if periodOf(at) != periodOf(last.at) {
		return l.capacity()
	}
	return min(last.tokens+time.Duration(at-last.at).Seconds()*l.rate, l.capacity())
}

// periodOf returns the number of the period of a time in Unix nanoseconds.
func periodOf(at int64) int64 { return at / int64(period) }
