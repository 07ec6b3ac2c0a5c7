package main

import (
	"fmt"
	"sync"
	"time"
)

// downTime is how long the worker is down between its lives.
const downTime = time.Second

// playReborn hands in jobs that require kind b. With the disruption one of the eight workers, of kind b,
// crashes and starts again under its id and address as kind a.
func playReborn(d *deployment, trouble bool) (string, error) {
	var mu sync.Mutex
	var broken []string
	d.fleet.onStart = func(w *worker, task string, job *jobSpec) {
		step := job.Steps[0]
		if step.Requires != "" && step.Requires != w.labels[0] {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("%s on %s of kind %s, born %d", task, w.id, w.labels[0], w.born.UnixMilli()))
		}
	}
	var workers []*worker
	for i := range 8 {
		kind := "a"
		if i >= 4 {
			kind = "b"
		}
		w, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{kind, fmt.Sprintf("r1-%d", i/4)}, cpu: 64000, memMB: 256000}, "")
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	d.configure("")
	var e *entry
	for range 2 {
		var err error
		if e, err = d.startEntry("", d.store.Address(), ""); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	var jobs []string
	accepted := 0
	end := time.Now().Add(14 * time.Second)
	crash := time.Now().Add(4 * time.Second)
	var pending sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("000000000000%04x", n+1)
		jobs = append(jobs, id)
		work := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 1, CPU: 5700, MemMB: 11000, EstMS: 1400, Requires: "b", takes: 1400 * time.Millisecond}}}
		pending.Go(func() {
			if d.submit(e, quotes, id, work) {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
		if trouble && !crash.IsZero() && time.Now().After(crash) {
			crash = time.Time{}
			busiest := workers[4]
			for _, w := range workers[5:] {
				if w.load() > busiest.load() {
					busiest = w
				}
			}
			pending.Go(func() {
				busiest.end("crash")
				time.Sleep(downTime)
				next := busiest.workerSpec
				next.labels = []string{"a", next.labels[1]}
				if _, err := d.fleet.startWorker(next, busiest.address); err != nil {
					d.record.add("worker %s could not start again: %v", next.id, err)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	pending.Wait()
	time.Sleep(4 * time.Second)
	d.copyLogs("worker not reached", "worker reached", "worker listed", "not sent")
	if accepted < len(jobs)/2 {
		return "", fmt.Errorf("%d of %d jobs accepted", accepted, len(jobs))
	}
	if len(broken) > 0 {
		return fmt.Sprintf("ROUTE: %d tasks that require kind b were started on a worker without that label, the first: %s", len(broken), broken[0]), nil
	}
	return "", nil
}

func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
