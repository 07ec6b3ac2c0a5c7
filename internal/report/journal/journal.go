// Package journal keeps a bounded record of decisions with their reasons, which the
// explain command reads. It does no I/O and reads no clock: each event carries its
// time.
package journal

import (
	"slices"
	"time"
)

// Kind is the kind of a subject.
type Kind string

// Kinds of subjects.
const (
	KindTask    Kind = "task"
	KindJob     Kind = "job"
	KindRequest Kind = "request"
	KindWorker  Kind = "worker"
	KindZone    Kind = "zone"
	KindClass   Kind = "class"
	KindShard   Kind = "shard"
	KindEntry   Kind = "entry"
)

// Subject is what an event is about.
type Subject struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// Event is one decision or observation.
type Event struct {
	Time     time.Time `json:"time"`
	Subjects []Subject `json:"subjects"`
	What     string    `json:"what"`          // what happened, in a few words
	Why      string    `json:"why,omitempty"` // the reason, and which alternatives were ruled out
}

// Limits of a journal. At about 545 bytes per event, 8,192 events take 4.5 MB of the
// 32 MB that the control processes may use on an instance.
const (
	maxEvents     = 8192
	maxPerSubject = 64
)

// Journal holds the maxEvents newest events and, per subject, references to at most
// the maxPerSubject newest ones. The zero value is not usable; call New.
type Journal struct {
	since     time.Time
	events    []Event              // ring buffer; the event with sequence number n is at n % maxEvents
	next      uint64               // sequence number of the next event
	bySubject map[Subject][]uint64 // sequence numbers, oldest first
}

// New returns an empty journal that starts at now.
func New(now time.Time) *Journal {
	return &Journal{since: now, bySubject: map[Subject][]uint64{}}
}

// Since returns the start of the period that the journal covers: the start of the
// journal, or the time of the oldest event if older ones were dropped.
func (j *Journal) Since() time.Time {
	if j.next > maxEvents {
		return j.eventAt(j.next - maxEvents).Time
	}
	return j.since
}

// Record adds an event. It drops the oldest one if the journal is full.
func (j *Journal) Record(e Event) {
	if j.next >= maxEvents {
		j.removeReferences(j.next - maxEvents)
		j.events[j.next%maxEvents] = e
	} else {
		j.events = append(j.events, e)
	}
	for _, s := range e.Subjects {
		numbers := append(j.bySubject[s], j.next)
		if len(numbers) > maxPerSubject {
			numbers = slices.Delete(numbers, 0, len(numbers)-maxPerSubject)
		}
		j.bySubject[s] = numbers
	}
	j.next++
}

// Explain returns the recorded events about a subject, oldest first.
func (j *Journal) Explain(s Subject) []Event {
	events := make([]Event, 0, len(j.bySubject[s]))
	for _, n := range j.bySubject[s] {
		events = append(events, j.eventAt(n))
	}
	return events
}

// eventAt returns the event with sequence number n.
func (j *Journal) eventAt(n uint64) Event { return j.events[n%maxEvents] }

// removeReferences removes the references to the event with sequence number n.
func (j *Journal) removeReferences(n uint64) {
	for _, s := range j.eventAt(n).Subjects {
		numbers := j.bySubject[s]
		if i := slices.Index(numbers, n); i >= 0 {
			numbers = slices.Delete(numbers, i, i+1)
		}
		if len(numbers) == 0 {
			delete(j.bySubject, s)
		} else {
			j.bySubject[s] = numbers
		}
	}
}
