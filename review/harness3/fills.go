package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runFills loses the largest of the workers for good and then hands in a job that fills, with
// more cpu than the others have. It checks LOST like runRack.
func runFills(d *deployment, trouble bool) ([]string, error) {
	const job = "00000000000000c1"
	d.cpuOf = func(i int) int64 {
		if i == 0 {
			return 24000
		}
		return 16000
	}
	if err := d.startAll(8, 3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	if trouble {
		d.log.add("worker %s is lost for good", d.workers[0].id)
		crash(d.workers[0])
	}
	time.Sleep(15 * time.Second) // the loss is known, and all machines are in touch
	body := map[string]any{
		"spec":  `{"ms":500}`,
		"steps": []any{map[string]any{"count": 2, "cpu": 20000, "mem-mb": 1000, "est-ms": 500, "fills": true, "image": "im-1"}},
	}
	return d.awaitStuck(job, body, "its cpu is not counted, as it fills")
}

// awaitStuck hands in a job and small jobs beside it. It returns what breaks LOST if the job has
// not started after 40 s while the small ones are completed.
func (d *deployment) awaitStuck(job string, body map[string]any, why string) ([]string, error) {
	if !d.submit(job, body) {
		return nil, errors.New("the job is not accepted")
	}
	acceptedAt := time.Now()
	small := 0
	for n := 0; time.Since(acceptedAt) < 40*time.Second; n++ {
		id := fmt.Sprintf("%016x", 0xe000+n)
		if !d.submit(id, map[string]any{"spec": `{"ms":200}`, "steps": []any{map[string]any{"count": 2, "cpu": 1000, "mem-mb": 100, "est-ms": 200}}}) {
			return nil, errors.New("a small job is not accepted")
		}
		time.Sleep(time.Second)
		if d.state(d.entries[n%3], id) == "completed" {
			small++
		}
		if d.state(d.entries[n%3], job) == "completed" {
			return nil, nil
		}
	}
	if small < 30 {
		return nil, fmt.Errorf("only %d small jobs were completed", small)
	}
	for _, e := range d.events() {
		if e.What == "start" && strings.HasPrefix(e.Task, job) {
			return nil, errors.New("the job has started and is not completed")
		}
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted and has nothing running for %s; %s; %d small jobs were completed meanwhile", job, time.Since(acceptedAt).Round(time.Second), why, small)}, nil
}
