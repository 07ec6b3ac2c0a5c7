package main

import (
	"fmt"
	"time"
)

// playFills hands in a job whose tasks fill, while each of the six workers runs one task that serves, with a
// fifth of its cores. With the disruption the load of these is high: their tails are at 85% of the target all the
// time, and at 30% without it.
func playFills(d *deployment, trouble bool) (string, error) {
	const target, serving, job = 100, "00000000000000e1", "00000000000000a1"
	d.fleet.tailMS = 30
	if trouble {
		d.fleet.tailMS = 85
	}
	const workers = 6
	for i := range workers {
		if _, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{"a", "r1-1"}, cpu: 64000, memMB: 256000}, ""); err != nil {
			return "", err
		}
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
	serve := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: workers, CPU: 13000, MemMB: 26000, EstMS: 400, LongRunning: true, Image: "serves", TargetMS: target, MayMiss: 1, PerWorker: 1}}}
	if !d.submit(e, quotes, serving, serve) {
		return "", fmt.Errorf("job that serves not accepted")
	}
	if err := until(5*time.Second, func() bool { return d.fleet.running(serving) == workers }); err != nil {
		return "", fmt.Errorf("tasks that serve do not run: %w", err)
	}
	time.Sleep(5 * time.Second)
	fill := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 4, CPU: 7000, MemMB: 13000, EstMS: 2700, Fills: true, Saves: true, Image: "fills", takes: 2700 * time.Millisecond}}}
	if !d.submit(e, takeoffs, job, fill) {
		return "", fmt.Errorf("job that fills not accepted")
	}
	if idle := d.idleJobs(e, takeoffs, []string{job}); len(idle) > 0 {
		return fmt.Sprintf("LOST: a job of 4 tasks that fill had nothing running for 3 s, %s after it was accepted; 6 workers use 13 of 64 cores each", finishTime), nil
	}
	return "", nil
}
