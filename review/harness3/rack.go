package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runRack loses one worker of the largest rack for good and then hands in a gang that has
// same-rack and is as wide as that rack was. It checks LOST: for 3 s the job has nothing running
// while there is capacity for it twice over and under half of the service's capacity is in use.
func runRack(d *deployment, trouble bool) ([]string, error) {
	const gang = "00000000000000b1"
	d.rackOf = func(i int) string {
		switch {
		case i < 4:
			return "r1-1"
		case i < 7:
			return "r1-2"
		}
		return "r1-3"
	}
	if err := d.startAll(10, 3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	if trouble {
		d.log.add("worker %s is lost for good", d.workers[0].id)
		crash(d.workers[0])
	}
	time.Sleep(15 * time.Second) // the loss is known, and all machines are in touch
	body := map[string]any{
		"spec":  `{"ms":500,"cpu":16000,"gang":{"0":4}}`,
		"steps": []any{map[string]any{"count": 4, "cpu": 16000, "mem-mb": 1000, "est-ms": 500, "gang": true, "same-rack": true}},
	}
	if !d.submit(gang, body) {
		return nil, errors.New("the gang is not accepted")
	}
	acceptedAt := time.Now()
	plain := 0
	for n := 0; time.Since(acceptedAt) < 40*time.Second; n++ { // a few small jobs beside it
		id := fmt.Sprintf("%016x", 0xe000+n)
		if !d.submit(id, map[string]any{"spec": `{"ms":200}`, "steps": []any{map[string]any{"count": 2, "cpu": 1000, "mem-mb": 100, "est-ms": 200}}}) {
			return nil, errors.New("a small job is not accepted")
		}
		time.Sleep(time.Second)
		if d.state(d.entries[n%3], id) == "completed" {
			plain++
		}
		if d.state(d.entries[n%3], gang) == "completed" {
			return nil, nil
		}
	}
	if plain < 30 {
		return nil, fmt.Errorf("only %d small jobs were completed", plain)
	}
	for _, e := range d.events() {
		if e.What == "start" && strings.HasPrefix(e.Task, gang) {
			return nil, errors.New("the gang has started and is not completed")
		}
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted and has nothing running for %s; it needs 64 cores, 9 workers have 144, small jobs use under 4 and are completed", gang, time.Since(acceptedAt).Round(time.Second))}, nil
}
