package main

import (
	"net/http"
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
	return d.awaitStuck(gang, body, "it needs 64 cores and 9 workers have 144")
}
