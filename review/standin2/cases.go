package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// finish is the time after the end of the traffic at which jobs are asked for; see the
// settings.
const finish = 14 * time.Second

// state asks an entry for the state of a job.
func (e *entry) state(job string) string {
	_, answer := e.call(http.MethodGet, job, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &body) // without one the state is empty
	return body.State
}

// submit hands a job in at an entry and reports whether it was accepted.
func (s *stage) submit(entry int, id string, body []byte) bool {
	status, _ := s.entries[entry%len(s.entries)].call(http.MethodPost, id, body)
	return status/100 == 2
}

// runsNothing reports whether no task of a job runs.
func (f *fleet) runsNothing(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, workers := range f.running {
		if strings.HasPrefix(task, job+".") && len(workers) > 0 {
			return false
		}
	}
	return true
}

// idleWorkers returns how many workers are up and run nothing.
func (f *fleet) idleWorkers() int {
	n := 0
	for _, w := range f.workers {
		if w.isIdle() {
			n++
		}
	}
	return n
}

// isLost checks the rule LOST at the time that it names, finish after the traffic.
func (s *stage) isLost(job string, workersNeeded int) verdict {
	time.Sleep(finish)
	if s.areStuck([]string{job}, workersNeeded) > 0 {
		return broken
	}
	return held
}

// areStuck returns how many of some jobs of which none is to be completed have, for three
// seconds on end, nothing running, while idle workers are enough for each twice over and under
// half of the workers are in use.
func (s *stage) areStuck(jobs []string, workersNeeded int) int {
	stuck := map[string]bool{}
	for _, job := range jobs {
		stuck[job] = true
	}
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		idle := s.fleet.idleWorkers()
		for job := range stuck {
			if !s.fleet.runsNothing(job) || idle < 2*workersNeeded || 2*idle < workerCount {
				delete(stuck, job)
			}
		}
	}
	n := 0
	for _, job := range jobs {
		state := s.entries[0].state(job)
		if !stuck[job] || state == "completed" {
			continue
		}
		s.record.add("LOST: for 3 s nothing of job %s has run, with %d idle workers; its state is %q", job, s.fleet.idleWorkers(), state)
		n++
	}
	return n
}

// gangSize is the number of workers in a rack. Each member of the gang takes a worker.
const gangSize = 11

// playGang hands in a gang that prefers one rack. While it runs, one worker in each rack is
// lost for good.
func playGang(s *stage) verdict {
	id, body := newJob(taskSpec{WorkMS: 6000, Needs: resources{CPU: 60000, Mem: 20000}, Gang: gangSize}, step{Count: gangSize, Gang: true, SameRack: true})
	started := s.fleet.awaitStarts(gangSize)
	if !s.submit(0, id, body) {
		return notRun
	}
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		s.record.add("the gang does not start")
		return notRun
	}
	time.Sleep(time.Second)
	if s.trouble {
		lost := map[string]bool{}
		for _, w := range s.fleet.workers {
			if !lost[w.rack] {
				lost[w.rack] = true
				w.crash()
			}
		}
		s.record.add("%d of %d workers are lost for good, one in each rack", len(lost), workerCount)
	}
	return s.isLost(id, gangSize)
}

// playAfter hands in a job whose second step names the first one twice.
func playAfter(s *stage) verdict {
	after := []int{0}
	if s.trouble {
		after = []int{0, 0}
	}
	id, body := newJob(taskSpec{WorkMS: 500, Needs: resources{CPU: 1000, Mem: 1000}}, step{Count: 2}, step{Count: 2, After: after})
	if !s.submit(0, id, body) {
		s.record.add("the job is not accepted")
		return held
	}
	return s.isLost(id, 1)
}

// pendingOf asks an entry for the number of pending jobs.
func (e *entry) pendingOf() (int, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, text := request(ctx, http.MethodGet, "http://"+e.front+"/queue/", "jobs.example", nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &body) != nil {
		return 0, false
	}
	return body.Pending, true
}

// Sizes of the case of the number of pending jobs.
const (
	pendingJobs  = 10
	pendingPause = 150 * time.Millisecond // between two jobs
	pendingAge   = 5 * time.Second        // visible_ms and 2 s
)

// playPending lets the worker that has started a task last fall silent while small jobs come,
// and asks each entry for the number of pending jobs.
func playPending(s *stage) verdict {
	small := taskSpec{WorkMS: 20_000, Needs: resources{CPU: 500, Mem: 500}}
	started := s.fleet.awaitStarts(1)
	id, body := newJob(small, step{Count: 1})
	if !s.submit(0, id, body) {
		return notRun
	}
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		return notRun
	}
	time.Sleep(time.Second)
	for _, w := range s.fleet.workers {
		if s.trouble && !w.isIdle() {
			w.crash()
			s.record.add("%s is silent, 1 of %d workers", w.id, workerCount)
		}
	}
	accepted := map[string]time.Time{}
	for n := range pendingJobs {
		id, body := newJob(small, step{Count: 1})
		if !s.submit(n, id, body) {
			return notRun
		}
		accepted[id] = time.Now()
		time.Sleep(pendingPause)
	}
	wrong := 0
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, e := range s.entries {
			asked := time.Now()
			pending, ok := e.pendingOf()
			waiting := s.fleet.notBegun(accepted, asked.Add(-pendingAge))
			if ok && waiting > 0 {
				s.record.add("%s gives %d as pending; %d jobs that were accepted over %s before have not begun", e.name, pending, waiting, pendingAge)
			}
			if ok && 2*pending < waiting {
				wrong++
			}
		}
	}
	if wrong > 0 {
		s.record.add("MIXED: %d answers gave under half of the jobs as pending", wrong)
		return broken
	}
	return held
}

// notBegun returns how many of the jobs that were accepted before a time have not begun.
func (f *fleet) notBegun(accepted map[string]time.Time, before time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, at := range accepted {
		if at.Before(before) && !f.begun[id] {
			n++
		}
	}
	return n
}

// Times of the case of a cancellation.
const (
	patience    = 300 * time.Millisecond // after which the client leaves and cancels
	lateBy      = 4 * time.Second        // of the write whose answer is lost
	othersEvery = 40 * time.Millisecond  // between the jobs of other clients
	cancelStep  = 2500 * time.Millisecond
	cancelBound = 3 * time.Second // cancel_ms
	stopBound   = 900 * time.Millisecond
	calmAfter   = 3 * time.Second // contact-ms
)

// playCancel hands in a job whose write gets no answer. The client leaves, cancels the job at
// the same entry and is told that there is none. Nothing of the job may run from cancel_ms and
// stop-timeout-ms on.
func playCancel(s *stage) verdict {
	id, body := newJob(taskSpec{WorkMS: cancelStep.Milliseconds(), Needs: resources{CPU: 1000, Mem: 1000}},
		step{Count: 2}, step{Count: 2, After: []int{0}}, step{Count: 2, After: []int{1}}, step{Count: 2, After: []int{2}}, step{Count: 2, After: []int{3}})
	entry := s.entries[1]
	stop := make(chan struct{})
	defer close(stop)
	go s.others(stop)
	time.Sleep(time.Second)
	lost := 0
	s.store.mu.Lock()
	before := s.store.writes
	if s.trouble {
		s.store.late = func(t *txn) time.Duration {
			if lost > 0 || !t.writes("job/"+id) {
				return 0
			}
			lost++
			s.record.add("the store gives no answer to the write of job %s, and executes it %s later", id, lateBy)
			return lateBy
		}
	}
	s.store.mu.Unlock()
	ctx, leave := context.WithTimeout(context.Background(), patience)
	status, _ := request(ctx, http.MethodPost, "http://"+entry.front+"/queue/"+id, "jobs.example", body)
	leave()
	s.record.add("POST %s at %s: %d (0: the client has left after %s)", id, entry.name, status, patience)
	cancelled, _ := entry.call(http.MethodDelete, id, nil)
	at := time.Now()
	if cancelled/100 != 2 && cancelled != http.StatusGone {
		s.record.add("the cancellation is not acknowledged")
		return notRun
	}
	time.Sleep(time.Second)
	s.store.mu.Lock()
	s.record.add("the store has lost the answers of %d of %d writes", lost, s.store.writes-before)
	s.store.late = nil
	s.store.mu.Unlock()
	time.Sleep(time.Until(at.Add(cancelBound + stopBound + calmAfter)))
	v := held
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		if !s.fleet.runsNothing(id) {
			v = broken
		}
	}
	s.record.add("the state of the job is %q", entry.state(id))
	if v == broken {
		s.record.add("UNASKED: tasks of job %s run over %s after its cancellation was acknowledged", id, cancelBound+stopBound+calmAfter)
	}
	return v
}

// others hands in small jobs of other clients at the other entries.
func (s *stage) others(stop <-chan struct{}) {
	for n := 0; ; n += 2 {
		select {
		case <-stop:
			return
		case <-time.After(othersEvery):
			id, body := newJob(taskSpec{WorkMS: 200, Needs: resources{CPU: 100, Mem: 100}}, step{Count: 1})
			s.submit(n%4, id, body)
		}
	}
}

// Sizes of the case of an upkeep.
const (
	lastingJobs   = 8
	lastingWidth  = 12 // tasks of a job
	waveMachines  = 24
	waveCap       = 3
	handOvers     = 6
	handOverDelay = 50 * time.Millisecond   // from a stop of a task that lasts to the stop of the owner
	handOverGap   = 2500 * time.Millisecond // from the restart of an entry to the next stop
)

// playUpkeep lets the platform stop and start the owner, by SIGTERM, in the middle of a wave of
// upkeep, several times.
func playUpkeep(s *stage) verdict {
	spec := taskSpec{WorkMS: 400, Needs: resources{CPU: 13000, Mem: 26000}, Lasts: lastingWidth}
	started := s.fleet.awaitStarts(lastingJobs * lastingWidth)
	for n := range lastingJobs {
		id, body := newJob(spec, step{Count: lastingWidth, LongRunning: true, MayMiss: mayMiss})
		if !s.submit(n, id, body) {
			return notRun
		}
	}
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		s.record.add("the tasks that last do not start")
		return notRun
	}
	time.Sleep(2 * time.Second)
	s.record.add("wave 1 is asked for: %d machines, %d at once", waveMachines, waveCap)
	s.store.put("op/wave/1", map[string]any{"wave": 1, "machines": s.provider.ids(waveMachines), "duration-s": 60, "cap": waveCap})
	for range handOvers {
		time.Sleep(handOverGap)
		select {
		case <-s.fleet.awaitLastingStop():
		case <-time.After(10 * time.Second):
			s.record.add("no task that lasts is stopped")
			continue
		}
		time.Sleep(handOverDelay)
		if !s.trouble {
			continue
		}
		leaving := awaitOwner(s.store, s.entries)
		if leaving == nil {
			return notRun
		}
		leaving.signal(syscall.SIGTERM)
		<-leaving.ended
		if err := leaving.start(); err != nil {
			s.record.add("%s not started: %v", leaving.name, err)
			return notRun
		}
	}
	time.Sleep(5 * time.Second)
	s.record.add("the status of the wave is %s", s.store.value("status/wave/1"))
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.record.add("%d orders broke AVAIL", s.fleet.lasting.broken)
	if s.fleet.lasting.broken > 0 {
		return broken
	}
	return held
}
