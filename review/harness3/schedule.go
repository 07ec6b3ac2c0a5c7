package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// runSchedule hands in one job with times, of which 1,200 tasks start a second, and small jobs
// of two steps beside it. Without trouble each time of the schedule is handed in as a job of its
// own. It checks LOST of the small jobs: for 3 s a job has nothing running while the turn of its
// first or second step has come and there is capacity: the schedule takes 6 of 512 cores.
func runSchedule(d *deployment, trouble bool) ([]string, error) {
	d.cpuOf = func(int) int64 { return 64000 }
	if err := d.startAll(8, 3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	began := time.Now()
	var steps []any
	for n := range 5 {
		step := map[string]any{"count": 240, "cpu": 1000, "mem-mb": 10, "est-ms": 5}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	schedule := map[string]any{"spec": `{"ms":5}`, "steps": steps}
	if trouble {
		schedule["times"], schedule["interval-ms"], schedule["start-at-ms"] = 1000, 1000, time.Now().UnixMilli()
		if !d.submit(fmt.Sprintf("%016x", 0xd0000), schedule) {
			return nil, errors.New("the schedule is not accepted")
		}
	}
	type smallJob struct {
		id string
		at time.Time
	}
	var small []smallJob
	for n := 0; time.Since(began) < 103*time.Second; n++ {
		if !trouble && !d.submit(fmt.Sprintf("%016x", 0xd0001+n), schedule) {
			return nil, errors.New("a job is not accepted")
		}
		j := smallJob{fmt.Sprintf("%016x", 0xe0000+n), time.Now()}
		body := map[string]any{"spec": `{"ms":200}`, "steps": []any{
			map[string]any{"count": 2, "cpu": 1000, "mem-mb": 10, "est-ms": 200},
			map[string]any{"count": 2, "cpu": 1000, "mem-mb": 10, "est-ms": 200, "after": []int{0}},
		}}
		if !d.submit(j.id, body) {
			return nil, errors.New("a small job is not accepted")
		}
		small = append(small, j)
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second)))
	}
	starts, ends := map[string]int{}, map[string]int64{}
	for _, e := range d.events() {
		switch e.What {
		case "start":
			starts[e.Task]++
		case "end":
			ends[e.Task] = e.At
		}
	}
	now := time.Now()
	d.log.add("transactions rejected for a value over %d bytes: %d", valueBytes, d.store.rejected())
	var broken []string
	for _, j := range small {
		first, second := max(ends[j.id+".0.0.0"], ends[j.id+".0.0.1"]), starts[j.id+".0.1.0"]+starts[j.id+".0.1.1"]
		done := ends[j.id+".0.0.0"] != 0 && ends[j.id+".0.0.1"] != 0
		if waits := now.Sub(j.at); starts[j.id+".0.0.0"]+starts[j.id+".0.0.1"] == 0 && waits > 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted %s ago and nothing of it has run (shown as %q)", j.id, waits.Round(100*time.Millisecond), d.state(d.entries[0], j.id)))
		}
		if waits := now.Sub(time.Unix(0, first)); done && second == 0 && waits > 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: the first step of job %s has ended done and nothing of it runs for %s (shown as %q)", j.id, waits.Round(100*time.Millisecond), d.state(d.entries[0], j.id)))
		}
	}
	return broken, nil
}
