package main

import (
	"fmt"
	"time"
)

// Limits of the rule AVAIL.
const (
	mayMiss = 1                       // tasks of a step that may be away by orders
	notice  = 4500 * time.Millisecond // notice-ms
)

// lastingTasks are the tasks that last. They are guarded by the lock of the fleet.
type lastingTasks struct {
	tasks  map[string]*lastingTask
	broken int           // orders that ended too many tasks of a step
	stop   chan struct{} // closed at the next stop of a task at work
}

// awaitLastingStop returns a channel that is closed at the next stop of a task at work.
func (f *fleet) awaitLastingStop() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lasting.stop = make(chan struct{})
	return f.lasting.stop
}

// stopped records that a task at work is told to stop.
func (f *fleet) lastingStopped() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lasting.stop != nil {
		close(f.lasting.stop)
		f.lasting.stop = nil
	}
}

// lastingTask is one task that lasts.
type lastingTask struct {
	job     string
	members int  // tasks of its step
	run     *run // nil while it has none
	byOrder bool // the last run at work was ended by a stop or an upkeep
	away    time.Time
}

// atWork reports whether the task is at work.
func (t *lastingTask) atWork() bool { return t.run != nil && t.run.percent() == 100 }

// began records a run of a task.
func (l *lastingTasks) began(job, task string, members int, r *run) {
	if l.tasks == nil {
		l.tasks = map[string]*lastingTask{}
	}
	if l.tasks[task] == nil {
		l.tasks[task] = &lastingTask{job: job, members: members, away: time.Now()}
	}
	l.tasks[task].run = r
}

// ended records the end of a run. One that was at work when a stop or an upkeep ended it is
// checked against the rule AVAIL.
func (l *lastingTasks) ended(f *fleet, name string, r *run) {
	t := l.tasks[name]
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	if r.percent() == 100 {
		t.away, t.byOrder = time.Now(), r.atWork
	}
	if !r.atWork {
		return
	}
	others := 0
	for i := range t.members {
		other := l.tasks[fmt.Sprintf("%s.0.0.%d", t.job, i)]
		if other != nil && other != t && !other.atWork() && (other.byOrder || time.Since(other.away) >= notice) {
			others++
		}
	}
	f.record.add("an order has ended %s, which was at work, while %d other tasks of its step are away", name, others)
	if others >= mayMiss {
		f.record.add("AVAIL: may-miss is %d", mayMiss)
		l.broken++
	}
}
