package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lastStarted returns the worker that has begun a run last.
func (d *deployment) lastStarted() *workerProcess {
	last := d.workers[0]
	for _, e := range d.events() {
		if e.What != "start" {
			continue
		}
		for _, w := range d.workers {
			if w.id == e.Worker {
				last = w
			}
		}
	}
	return last
}

// runReborn has busy workers crash and start again under the ids that they had, one at a time, while
// clients hand in jobs of short tasks. It checks TWICE.
func runReborn(d *deployment, trouble bool) ([]string, error) {
	if err := d.serve(d.net+"1:7000", d.store); err != nil {
		return nil, err
	}
	d.configure(7, route{
		"name": "r-1", "host": "desk.example", "prefix": "/q/", "kind": "unsafe", "timeout-ms": 3000,
		"target-latency-ms": 250, "priority": 0, "service": d.service, "max-attempts": 4, "stretch": 1.5,
	})
	if err := d.startWorkers(8); err != nil {
		return nil, err
	}
	if err := d.startEntries(3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	stop := time.Now().Add(75 * time.Second)
	for n := 0; time.Now().Before(stop); n++ {
		if n%100 == 99 && len(checkTwice(d.events(), d.crashTimes())) > 0 {
			break // one breach is enough
		}
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0xa000+n)
			body := map[string]any{"spec": `{"ms":100,"cpu":4000}`, "steps": []any{map[string]any{"count": 12, "cpu": 4000, "mem-mb": 500, "est-ms": 100}}}
			if d.submit(id, body) {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
		time.Sleep(100 * time.Millisecond)
		if trouble && n%20 == 19 {
			w := d.lastStarted()
			clients.Go(func() { d.crashAndRestart(w, (1080+time.Duration(n/20%4)*60)*time.Millisecond) })
		}
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	if accepted < 50 {
		return nil, fmt.Errorf("%d jobs accepted", accepted)
	}
	return checkTwice(d.events(), d.crashTimes()), nil
}
