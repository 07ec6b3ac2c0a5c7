package caller

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// plan draws the requests of a load one after the other. It has no I/O and no
// clock, so the same seed gives the same load.
type plan struct {
	settings Settings
	random   *rand.Rand
	due      time.Duration // of the last request, since the start of the load
	count    int
	weight   float64 // sum over all kinds
}

// arrival is one request that is due.
type arrival struct {
	due    time.Duration // since the start of the load
	kind   int           // index into Settings.Kinds
	entry  int           // index into Settings.Entries
	key    string        // Idempotency-Key, or empty
	check  string        // check id, unique among all requests and repeats
	repeat bool          // it is also sent through the next entry
}

func newPlan(s Settings) *plan {
	p := &plan{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	for _, kind := range s.Kinds {
		p.weight += kind.Weight
	}
	return p
}

// next returns the next request. It reports false once the count or the length
// of the load is reached.
func (p *plan) next() (arrival, bool) {
	p.due += time.Duration(p.random.ExpFloat64() / p.settings.Rate * float64(time.Second))
	if p.count == p.settings.Count || p.due > p.settings.Length {
		return arrival{}, false
	}
	p.count++
	id := strconv.FormatUint(p.settings.Seed, 36) + "-" + strconv.Itoa(p.count)
	a := arrival{
		due:   p.due,
		kind:  p.drawKind(),
		entry: p.random.IntN(len(p.settings.Entries)),
		check: "c" + id,
	}
	if p.settings.Kinds[a.kind].Once {
		a.key = "k" + id
		a.repeat = p.random.Float64() < p.settings.Repeat
	}
	return a, true
}

// repeatOf returns the repeat of a request.
func (p *plan) repeatOf(a arrival) arrival {
	a.entry = (a.entry + 1) % len(p.settings.Entries)
	a.check += "-again"
	a.repeat = false
	return a
}

func (p *plan) drawKind() int {
	left := p.random.Float64() * p.weight
	for i, kind := range p.settings.Kinds {
		if left -= kind.Weight; left < 0 {
			return i
		}
	}
	return len(p.settings.Kinds) - 1 // rounding left a remainder
}
