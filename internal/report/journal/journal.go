// Package journal keeps a bounded record of decisions with their reasons, from
// which explain answers. It is pure: the time comes with each event.
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
	Why      string    `json:"why,omitempty"` // the reason, and what was ruled out
}

// Bounds of a journal. At about 545 bytes an event, 8,192 events take 4.5 MB of
// the 32 MB that control may take on an instance.
const (
	maxEvents     = 8192
	maxPerSubject = 64
)

// Journal holds the newest events, and of each subject at most maxPerSubject.
// The zero value is not usable; call New.
type Journal struct {
	since     time.Time
	events    []Event // ring; sequence number n is at n % maxEvents
	next      uint64  // sequence number of the next event
	bySubject map[Subject][]uint64
}

// New returns a journal that begins at now.
func New(now time.Time) *Journal {
	return &Journal{since: now, bySubject: map[Subject][]uint64{}}
}

// Since returns the time from which the journal has data: its start, or the time
// of the oldest event if older ones were dropped.
func (j *Journal) Since() time.Time {
	if j.next > maxEvents {
		return j.at(j.next - maxEvents).Time
	}
	return j.since
}

// Record adds an event and drops the oldest one if the journal is full.
func (j *Journal) Record(e Event) {
	if j.next >= maxEvents {
		j.forget(j.next - maxEvents)
		j.events[j.next%maxEvents] = e
	} else {
		j.events = append(j.events, e)
	}
	for _, s := range e.Subjects {
		kept := append(j.bySubject[s], j.next)
		if len(kept) > maxPerSubject {
			kept = slices.Delete(kept, 0, len(kept)-maxPerSubject)
		}
		j.bySubject[s] = kept
	}
	j.next++
}

// Explain returns the events about a subject, oldest first.
func (j *Journal) Explain(s Subject) []Event {
	events := make([]Event, 0, len(j.bySubject[s]))
	for _, n := range j.bySubject[s] {
		events = append(events, j.at(n))
	}
	return events
}

func (j *Journal) at(n uint64) Event { return j.events[n%maxEvents] }

// forget removes the references to the event with sequence number n.
func (j *Journal) forget(n uint64) {
	for _, s := range j.at(n).Subjects {
		kept := j.bySubject[s]
		if i := slices.Index(kept, n); i >= 0 {
			kept = slices.Delete(kept, i, i+1)
		}
		if len(kept) == 0 {
			delete(j.bySubject, s)
		} else {
			j.bySubject[s] = kept
		}
	}
}
