package main

import (
	"net/http"
	"time"
)

// runFillsGang loses one of eight workers for good and then hands in a gang of 16 tasks that fill.
// It checks LOST like runFills.
func runFillsGang(d *deployment, trouble bool) ([]string, error) {
	const job = "00000000000000d1"
	if err := d.startAll(8, 3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	if trouble {
		d.log.add("worker %s is lost for good", d.workers[7].id)
		crash(d.workers[7])
	}
	time.Sleep(15 * time.Second) // the loss is known, and all machines are in touch
	body := map[string]any{
		"spec":  `{"ms":1000,"gang":{"0":16}}`,
		"steps": []any{map[string]any{"count": 16, "cpu": 16000, "mem-mb": 1000, "est-ms": 1000, "fills": true, "gang": true, "image": "im-1"}},
	}
	return d.awaitStuck(job, body, "its cpu is not counted, as it fills, and each worker has memory for 62 of its tasks")
}
