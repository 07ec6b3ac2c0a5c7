package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	decisionTime = 20 * time.Millisecond
	periodTime   = 2 * time.Millisecond
	ticketLife   = 3 * time.Second
)

// adviceServer is the placement advice. Its policy allows every worker. It handles one call
// at a time.
type adviceServer struct {
	fleet *fleet
	turn  sync.Mutex
	last  int
}

func startAdvice(f *fleet) (string, error) {
	f.tickets = map[string]time.Time{}
	s := &adviceServer{fleet: f}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", s.advise)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, mux) }() // until this process ends
	return listener.Addr().String(), nil
}

func (s *adviceServer) advise(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.turn.Lock()
	defer s.turn.Unlock()
	time.Sleep(decisionTime + time.Duration(len(body.Workers))*periodTime)
	approved := [][2]string{}
	s.fleet.mu.Lock()
	for _, w := range body.Workers {
		s.last++
		ticket := fmt.Sprintf("t%d", s.last)
		s.fleet.tickets[fmt.Sprintf("%s %s %s", body.Step, w, ticket)] = time.Now().Add(ticketLife)
		approved = append(approved, [2]string{w, ticket})
	}
	s.fleet.mu.Unlock()
	s.fleet.record.add("advice   for %s, %d workers named, all approved", body.Step, len(body.Workers))
	writeJSON(rw, http.StatusOK, map[string]any{"approved": approved, "valid-ms": ticketLife.Milliseconds()})
}

// finishTime is finish_s of the settings, and idleTime the time for which a job may have
// nothing running after it.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// idleJobs watches the given jobs for idleTime, beginning finishTime after the end of the
// traffic, and returns those that had nothing running all the while and are not completed.
func (d *deployment) idleJobs(e *entry, prefix string, jobs []string) []string {
	time.Sleep(finishTime)
	idle := map[string]bool{}
	for _, id := range jobs {
		idle[id] = d.state(e, prefix, id) != "completed"
	}
	for end := time.Now().Add(idleTime + 200*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id := range idle {
			if d.fleet.running(id) > 0 {
				idle[id] = false
			}
		}
	}
	var list []string
	for _, id := range jobs {
		if idle[id] && d.state(e, prefix, id) != "completed" {
			list = append(list, id)
		}
	}
	return list
}

// submitLasting hands in the twenty jobs of a class whose tasks last, within three seconds. With the disruption one
// of them, a share of 0.05, has the given step and can never be done. Its id ends in ff.
func (d *deployment) submitLasting(e *entry, first int, trouble bool, hopeless stepSpec) error {
	for n := range 20 {
		id, step := fmt.Sprintf("00000000000000%02x", first+n), stepSpec{Count: 6, CPU: 1000, MemMB: 1000, EstMS: 400, LongRunning: true}
		if n == 10 && trouble {
			id, step = hopelessJob, hopeless
		}
		if !d.submit(e, quotes, id, &jobSpec{Spec: "(text)", Steps: []stepSpec{step}}) {
			return fmt.Errorf("job %s of tasks that last not accepted", id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// hopelessJob is the id of the job that can never be done.
const hopelessJob = "00000000000000ff"

// playAdvice hands in jobs of a queue with placement advice, and before them twenty of the more urgent queue, whose
// tasks last. With the disruption one of these can never be done, as it needs more cores than any worker has.
func playAdvice(d *deployment, trouble bool) (string, error) {
	advice, err := startAdvice(d.fleet)
	if err != nil {
		return "", err
	}
	for i := range 6 {
		if _, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{"a", "r1-1"}, cpu: 64000, memMB: 256000}, ""); err != nil {
			return "", err
		}
	}
	d.configure(fmt.Sprintf(`,"advice":{"decision-ms":%d,"period-ms":%d,"valid-ms":%d}`, decisionTime.Milliseconds(), periodTime.Milliseconds(), ticketLife.Milliseconds()))
	var e *entry
	for range 2 {
		if e, err = d.startEntry(advice, d.store.Address(), ""); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	id := func(n int) string { return fmt.Sprintf("00000000000000%02x", n) }
	work := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 8, CPU: 7000, MemMB: 13000, EstMS: 2700, takes: 2700 * time.Millisecond}}}
	first := id(0xa0)
	if !d.submit(e, takeoffs, first, work) {
		return "", fmt.Errorf("first job not accepted")
	}
	if err := until(6*time.Second, func() bool { return d.state(e, takeoffs, first) == "completed" }); err != nil {
		return "", fmt.Errorf("first job not completed: %w", err)
	}
	never := stepSpec{Count: 1, CPU: 99000, MemMB: 26000, EstMS: 400, LongRunning: true}
	if err := d.submitLasting(e, 0xb0, trouble, never); err != nil {
		return "", err
	}
	var jobs []string
	for n := range 19 {
		if job := id(n + 1); d.submit(e, takeoffs, job, work) {
			jobs = append(jobs, job)
		}
		time.Sleep(400 * time.Millisecond)
	}
	d.record.add("end of the traffic: %d jobs accepted", len(jobs))
	idle := d.idleJobs(e, takeoffs, jobs)
	d.copyLogs("placement advice", "job taken")
	_, running := d.fleet.unacknowledged()
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs had nothing running for 3 s, %s after the end of the traffic; 6 workers of 64 cores ran %d tasks of one core", len(idle), len(jobs), finishTime, running), nil
	}
	return "", nil
}
