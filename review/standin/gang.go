package main

import (
	"fmt"
	"time"
)

// playGang hands in a gang whose tasks are slower on more than one rack. Of four racks one has four workers,
// on which it fits, and three have three. With the disruption one of the four is lost for good before.
func playGang(d *deployment, trouble bool) (string, error) {
	var workers []*worker
	for rack, size := range []int{4, 3, 3, 3} {
		for range size {
			w, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", len(workers)), labels: []string{"a", fmt.Sprintf("r1-%d", rack+1)}, cpu: 64000, memMB: 256000}, "")
			if err != nil {
				return "", err
			}
			workers = append(workers, w)
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
	if trouble {
		workers[0].end("crash, lost for good")
		time.AfterFunc(3*heartbeatInterval, func() { d.store.Remove("servers/" + workers[0].id) })
	}
	time.Sleep(6 * time.Second)
	work := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 4, CPU: 40000, MemMB: 11000, EstMS: 1600, Gang: true, SameRack: true, takes: 1600 * time.Millisecond}}}
	const job = "00000000000000a1"
	if !d.submit(e, quotes, job, work) {
		return "", fmt.Errorf("job not accepted")
	}
	idle := d.idleJobs(e, quotes, []string{job})
	d.copyLogs("job taken", "worker left", "final state")
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: a gang of 4 tasks of 40 cores had nothing running for 3 s, %s after it was accepted; 12 idle workers had room for one task each", finishTime), nil
	}
	return "", nil
}
