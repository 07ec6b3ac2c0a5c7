package day

import (
	"slices"
	"time"
)

// Day is a summary of the logs of a day.
type Day struct {
	From, To      time.Time
	Seconds       []Second // one element per second, starting at From
	Queues        map[string]*Queue
	Orders        map[string]int // by kind and outcome
	Reasons       map[string]int // reasons of orders other than starts
	Takeovers     []Takeover
	Rejections    map[string]int // jobs rejected for want of capacity, by cause
	ExpiredLeases int            // workers whose lease expired while they had runs
	DroppedLines  int            // log lines that entries dropped
	Organisations map[string]*Organisation
}

// Second summarizes one second.
type Second struct {
	Starts, JobEnds, Refusals int
	OverTarget                int           // serving runs above their latency target
	Slowed                    int           // best-effort runs that were slowed
	LongestWait               time.Duration // longest wait of a task that is ready to run
}

// Queue summarizes the jobs of a queue.
type Queue struct {
	Taken       int
	FinalStates map[string]int  // number of jobs by final state
	Durations   []time.Duration // from taken to final state, sorted
	LongestIdle time.Duration   // longest time for which a step had nothing running although its turn had come
}

// Takeover is one change of a shard's owner. A time is zero if the logs do not show
// it.
type Takeover struct {
	Epoch       int
	Entry       string
	At          time.Time
	LastStart   time.Time // last start by the previous owner
	FirstStart  time.Time // first start by this owner
	RecoveredAt time.Time // when the rate of starts reached recoveredShare of its former value
}

const (
	// rateWindow is the window in which the rate of starts before a takeover is
	// measured.
	rateWindow = 3 * time.Second
	// recoveredShare of the former rate, over one second, ends a recovery.
	recoveredShare = 0.8
)

// Messages of the log lines that a Day is computed from.
const (
	textOrder        = "order"
	textTaken        = "job taken"
	textFinal        = "job reached its final state"
	textTakeover     = "shard taken over"
	textShard        = "shard"
	textLeaseExpired = "lease of worker expired; its runs are given up"
	textSubmit       = "submission"
	textRejected     = "submission rejected"
	textDropped      = "log lines left out"
)

// Summarize computes the summary of lines, which must be in order of time.
func Summarize(lines []Line) *Day {
	d := &Day{
		Queues: map[string]*Queue{}, Organisations: map[string]*Organisation{},
		Orders: map[string]int{}, Reasons: map[string]int{}, Rejections: map[string]int{},
	}
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
		slices.Sort(q.Durations)
	}
	b.measureRecoveries()
	return d
}

// builder accumulates a Day from lines.
type builder struct {
	day    *Day
	taken  map[string]Line // line "job taken" of each job, by its first owner
	ended  map[string]bool // jobs whose final state is counted
	starts []start
}

// start is the start of one attempt by the owner with that epoch.
type start struct {
	at    time.Time
	epoch int
}

func (b *builder) add(l Line) {
	d := b.day
	s := &d.Seconds[int(l.At.Sub(d.From)/time.Second)]
	switch l.Text {
	case textOrder:
		b.addOrder(l, s)
	case textTaken:
		b.addTaken(l)
	case textFinal:
		b.addFinalState(l, s)
	case textTakeover:
		d.Takeovers = append(d.Takeovers, Takeover{Epoch: int(l.numberField("epoch")), Entry: l.Entry, At: l.At})
	case textShard:
		s.OverTarget, s.Slowed = int(l.numberField("over")), int(l.numberField("slowed"))
		s.LongestWait = l.durationField("oldest")
		b.addIdle(l)
	case textSubmit:
		if l.Fields["error"] != nil {
			s.Refusals++
		}
	case textRejected:
		d.Rejections[l.stringField("cause")] += 1 + int(l.numberField("omitted"))
	case textLeaseExpired:
		d.ExpiredLeases++
	case textOrganisation:
		b.addOrganisation(l)
	case textDropped:
		d.DroppedLines += int(l.numberField("count"))
	}
}

func (b *builder) addOrder(l Line, s *Second) {
	kind, outcome := l.stringField("kind"), l.stringField("outcome")
	b.day.Orders[kind+" "+outcome]++
	if reason := l.stringField("reason"); kind != "start" {
		b.day.Reasons[reason]++
	}
	if kind == "start" && outcome == "done" {
		s.Starts++
		b.starts = append(b.starts, start{l.At, int(l.numberField("epoch"))})
	}
}

func (b *builder) addTaken(l Line) {
	id := l.stringField("job")
	if _, seen := b.taken[id]; seen {
		return // taken again by a later owner
	}
	b.taken[id] = l
	b.queue(l.stringField("queue")).Taken++
}

// addFinalState counts the final state of a job once: an owner that could not store
// it, and the next owner, may both have logged it.
func (b *builder) addFinalState(l Line, s *Second) {
	id := l.stringField("job")
	taken, seen := b.taken[id]
	if !seen || b.ended[id] {
		return
	}
	b.ended[id] = true
	s.JobEnds++
	q := b.queue(taken.stringField("queue"))
	q.FinalStates[l.stringField("state")]++
	q.Durations = append(q.Durations, l.At.Sub(taken.At))
}

// addIdle records for how long steps of each queue have had nothing running.
func (b *builder) addIdle(l Line) {
	idle, _ := l.Fields["longestidle"].(map[string]any)
	for name, text := range idle {
		text, _ := text.(string)
		if d, err := time.ParseDuration(text); err == nil { // another release may print it in another format
			q := b.queue(name)
			q.LongestIdle = max(q.LongestIdle, d)
		}
	}
}

func (b *builder) queue(name string) *Queue {
	q := b.day.Queues[name]
	if q == nil {
		q = &Queue{FinalStates: map[string]int{}}
		b.day.Queues[name] = q
	}
	return q
}

// measureRecoveries sets the times of each takeover up to its recovery.
func (b *builder) measureRecoveries() {
	for i := range b.day.Takeovers {
		t := &b.day.Takeovers[i]
		for _, s := range b.starts {
			if s.epoch < t.Epoch && s.at.After(t.LastStart) && s.at.Before(t.At) {
				t.LastStart = s.at
			}
			if s.epoch == t.Epoch && t.FirstStart.IsZero() {
				t.FirstStart = s.at
			}
		}
		if !t.LastStart.IsZero() {
			t.RecoveredAt = b.recoveredAt(t)
		}
	}
}

// recoveredAt returns when the rate of starts of a new owner first reached
// recoveredShare of the rate before the takeover.
func (b *builder) recoveredAt(t *Takeover) time.Time {
	formerRate := float64(b.countStarts(t.LastStart.Add(-rateWindow), t.LastStart)) / rateWindow.Seconds()
	for _, s := range b.starts {
		if s.epoch == t.Epoch && float64(b.countStarts(s.at, s.at.Add(time.Second))) >= recoveredShare*formerRate {
			return s.at
		}
	}
	return time.Time{}
}

// countStarts returns the number of starts from from, inclusive, to to, exclusive.
func (b *builder) countStarts(from, to time.Time) int {
	n := 0
	for _, s := range b.starts {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}
