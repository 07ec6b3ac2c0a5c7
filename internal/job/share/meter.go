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
	buckets map[unit.OrganisationID]*bucket
	dirty   []*bucket // with arrivals that are not settled
	changed bool      // arrivals were settled since the last call of Settle
}

// bucket holds the latest arrivals of one organisation, in order of time.
type bucket struct {
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
	for id, b := range m.buckets {
		if rate := m.Weight(id); rate != b.rate {
			b.rate = rate
			m.unsettle(b, 0)
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
	b := m.buckets[id]
	if b == nil {
		if m.buckets == nil {
			m.buckets = map[unit.OrganisationID]*bucket{}
		}
		b = &bucket{rate: m.Weight(id)}
		m.buckets[id] = b
	}
	a := &Arrival{at: accepted.UnixNano(), job: job, within: true}
	i := b.positionOf(a)
	b.arrivals = slices.Insert(b.arrivals, i, a)
	if b.settled == i && i == len(b.arrivals)-1 {
		b.settle()
		return a
	}
	m.unsettle(b, i)
	return a
}

// compareArrivals orders arrivals by time, and by job at the same time.
func compareArrivals(a, b *Arrival) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.job, b.job))
}

// positionOf returns the index before which an arrival belongs: after all equal ones.
func (b *bucket) positionOf(a *Arrival) int {
	i, _ := slices.BinarySearchFunc(b.arrivals, a, func(other, a *Arrival) int {
		if compareArrivals(other, a) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// unsettle records that the arrivals of a bucket from an index on have to be decided.
func (m *Meter) unsettle(b *bucket, from int) {
	b.settled = min(b.settled, from)
	if !b.dirty {
		b.dirty = true
		m.dirty = append(m.dirty, b)
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
	for _, b := range m.dirty {
		b.settle()
	}
	m.dirty = m.dirty[:0]
}

// Forget drops the jobs of periods so long ago that no other record of them is expected. What
// was decided about them stays.
func (m *Meter) Forget(now time.Time) {
	m.settle()
	oldest := periodOf(now.UnixNano()) - keptPeriods
	for id, b := range m.buckets {
		kept := slices.IndexFunc(b.arrivals, func(a *Arrival) bool { return periodOf(a.at) >= oldest })
		if kept < 0 {
			delete(m.buckets, id)
			continue
		}
		b.arrivals = slices.Delete(b.arrivals, 0, kept)
		b.settled = len(b.arrivals)
	}
}

// Delay returns the time until the next job of an organisation would be within its rate.
func (m *Meter) Delay(id unit.OrganisationID, now time.Time) time.Duration {
	m.settle()
	b := m.buckets[id]
	if b == nil || len(b.arrivals) == 0 {
		return 0
	}
	last := b.arrivals[len(b.arrivals)-1]
	at := max(now.UnixNano(), last.at)
	missing := 1 - b.tokensAt(last, at)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / b.rate * float64(time.Second))
	return min(wait, time.Duration(periodOf(at)+1)*period-time.Duration(at))
}

// settle decides about the arrivals that are not settled.
func (b *bucket) settle() {
	for i := b.settled; i < len(b.arrivals); i++ {
		a := b.arrivals[i]
		tokens := b.capacity()
		if i > 0 {
			tokens = b.tokensAt(b.arrivals[i-1], a.at)
		}
		a.within = tokens >= 1
		if a.within {
			tokens--
		}
		a.tokens = tokens
	}
	b.settled, b.dirty = len(b.arrivals), false
}

// capacity returns the number of jobs that may come at once.
func (b *bucket) capacity() float64 { return max(b.rate*Burst.Seconds(), 1) }

// tokensAt returns what is in the bucket at a time after an arrival, the last one before.
func (b *bucket) tokensAt(last *Arrival, at int64) float64 {
	if periodOf(at) != periodOf(last.at) {
		return b.capacity()
	}
	return min(last.tokens+time.Duration(at-last.at).Seconds()*b.rate, b.capacity())
}

// periodOf returns the number of the period of a time in Unix nanoseconds.
func periodOf(at int64) int64 { return at / int64(period) }
