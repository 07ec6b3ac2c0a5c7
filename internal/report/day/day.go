package day

import (
	"slices"
	"time"
)

// Day is what the logs of a day say.
type Day struct {
	From, To  time.Time
	Seconds   []Second // from From on
	Queues    map[string]*Queue
	Orders    map[string]int // by kind and outcome
	Reasons   map[string]int // of orders other than starts that are due
	Takeovers []Takeover
	Lapses    int // workers whose lease expired with runs on it
	Dropped   int // lines that entries left out
}

// Second is what happened within one second.
type Second struct {
	Starts, Finals, Refusals int
	Over                     int           // serving runs over their target
	Slowed                   int           // filling runs that were slowed
	Oldest                   time.Duration // longest wait of a task that could run
}

// Queue is what happened to the jobs of a queue.
type Queue struct {
	Taken  int
	Finals map[string]int  // by state
	Times  []time.Duration // from taken to final, sorted
}

// Takeover is one change of the owner. Times are zero if the logs do not show them.
type Takeover struct {
	Epoch     int
	Entry     string
	At        time.Time
	LastOrder time.Time // start by the owner before
	First     time.Time // start by this one
	Regained  time.Time // when starts were at regainedShare of their rate before
}

const (
	// rateWindow is the time over which the rate of starts before a takeover counts.
	rateWindow = 3 * time.Second
	// regainedShare of the rate before, within a second, ends a recovery.
	regainedShare = 0.8
)

// Texts of the lines that a day is made of.
const (
	textOrder    = "order"
	textTaken    = "job taken"
	textFinal    = "job reached its final state"
	textTakeover = "shard taken over"
	textShard    = "shard"
	textLapse    = "lease of worker expired; its runs are given up"
	textSubmit   = "submission"
	textDropped  = "log lines left out"
)

// Summarize makes a day from lines in order of time.
func Summarize(lines []Line) *Day {
	d := &Day{Queues: map[string]*Queue{}, Orders: map[string]int{}, Reasons: map[string]int{}}
	if len(lines) == 0 {
		return d
	}
	d.From, d.To = lines[0].At, lines[len(lines)-1].At
	d.Seconds = make([]Second, int(d.To.Sub(d.From)/time.Second)+1)
	b := builder{day: d, taken: map[string]Line{}, ended: map[string]bool{}}
	for _, l := range lines {
		b.add(l)
	}
	for _, q := range d.Queues {
		slices.Sort(q.Times)
	}
	b.recoveries()
	return d
}

// builder collects a day.
type builder struct {
	day    *Day
	taken  map[string]Line // first line of each job
	ended  map[string]bool // jobs whose final state was counted
	starts []start
}

type start struct {
	at    time.Time
	epoch int
}

func (b *builder) add(l Line) {
	d := b.day
	s := &d.Seconds[int(l.At.Sub(d.From)/time.Second)]
	switch l.Text {
	case textOrder:
		b.order(l, s)
	case textTaken:
		b.take(l)
	case textFinal:
		b.final(l, s)
	case textTakeover:
		d.Takeovers = append(d.Takeovers, Takeover{Epoch: int(l.number("epoch")), Entry: l.Entry, At: l.At})
	case textShard:
		s.Over, s.Slowed = int(l.number("over")), int(l.number("slowed"))
		s.Oldest = l.duration("oldest")
	case textSubmit:
		if l.Fields["error"] != nil {
			s.Refusals++
		}
	case textLapse:
		d.Lapses++
	case textDropped:
		d.Dropped += int(l.number("count"))
	}
}

func (b *builder) order(l Line, s *Second) {
	kind, outcome := l.text("kind"), l.text("outcome")
	b.day.Orders[kind+" "+outcome]++
	if reason := l.text("reason"); kind != "start" {
		b.day.Reasons[reason]++
	}
	if kind == "start" && outcome == "done" {
		s.Starts++
		b.starts = append(b.starts, start{l.At, int(l.number("epoch"))})
	}
}

func (b *builder) take(l Line) {
	id := l.text("job")
	if _, known := b.taken[id]; known {
		return // by a later owner
	}
	b.taken[id] = l
	b.queue(l.text("queue")).Taken++
}

// final counts the end of a job once: an owner that could not make it durable, and
// the next one, may both have logged it.
func (b *builder) final(l Line, s *Second) {
	id := l.text("job")
	taken, known := b.taken[id]
	if !known || b.ended[id] {
		return
	}
	b.ended[id] = true
	s.Finals++
	q := b.queue(taken.text("queue"))
	q.Finals[l.text("state")]++
	q.Times = append(q.Times, l.At.Sub(taken.At))
}

func (b *builder) queue(name string) *Queue {
	q := b.day.Queues[name]
	if q == nil {
		q = &Queue{Finals: map[string]int{}}
		b.day.Queues[name] = q
	}
	return q
}

// recoveries works out how long each takeover took until work went on as before.
func (b *builder) recoveries() {
	for i := range b.day.Takeovers {
		t := &b.day.Takeovers[i]
		for _, s := range b.starts {
			if s.epoch < t.Epoch && s.at.After(t.LastOrder) && s.at.Before(t.At) {
				t.LastOrder = s.at
			}
			if s.epoch == t.Epoch && t.First.IsZero() {
				t.First = s.at
			}
		}
		if !t.LastOrder.IsZero() {
			t.Regained = b.regained(t)
		}
	}
}

// regained returns when the starts of an owner first reached their rate before.
func (b *builder) regained(t *Takeover) time.Time {
	before := float64(b.count(t.LastOrder.Add(-rateWindow), t.LastOrder)) / rateWindow.Seconds()
	for _, s := range b.starts {
		if s.epoch == t.Epoch && float64(b.count(s.at, s.at.Add(time.Second))) >= regainedShare*before {
			return s.at
		}
	}
	return time.Time{}
}

// count returns the number of starts within a time.
func (b *builder) count(from, to time.Time) int {
	n := 0
	for _, s := range b.starts {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}
