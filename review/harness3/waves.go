package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// waveState returns the state of a wave that the system has written, or "".
func (d *deployment) waveState(wave int) string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(d.store.get(fmt.Sprintf("status/wave/%d", wave)), &body) // "" without one
	return body.State
}

func (d *deployment) putWave(wave, limit int, machines ...string) {
	d.log.add("operator: wave %d of %v, cap %d", wave, machines, limit)
	d.store.put(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": machines, "duration-s": 60, "cap": limit})
}

// eventually waits up to d for a condition.
func eventually(d time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// runWaves has an operator ask for the upkeep of a machine while it is in the upkeep of an earlier
// wave. Without trouble the operator asks after that has ended. It checks MIXED: a wave is said
// to be completed, and a machine of it has not begun its upkeep.
func runWaves(d *deployment, trouble bool) ([]string, error) {
	d.extra = fmt.Sprintf("[cloud-api]\naddr = \"%s1:6998\"\nrate-per-s = 60.0\nduties = []\nduties-per-s = 60.0\n", d.net)
	if err := d.startAll(8, 3, func(_ int, h http.Handler) http.Handler { return h }); err != nil {
		return nil, err
	}
	c := newCloud(d)
	if err := d.serve(d.net+"1:6998", c); err != nil {
		return nil, err
	}
	d.putWave(1, 1, "m-00", "m-01")
	if !eventually(30*time.Second, func() bool { return c.begun("m-00", 1) }) {
		return nil, errors.New("wave 1 does not begin")
	}
	if !trouble && !eventually(40*time.Second, func() bool {
		return d.waveState(1) == "completed" && c.states()["m-00"] == "up" && c.states()["m-01"] == "up"
	}) {
		return nil, errors.New("wave 1 is not completed")
	}
	d.putWave(2, 1, "m-00", "m-02")
	if !eventually(50*time.Second, func() bool { return d.waveState(2) == "completed" }) {
		return nil, errors.New("wave 2 is not completed")
	}
	time.Sleep(3 * time.Second) // what was ordered before has arrived
	var broken []string
	for _, id := range []string{"m-00", "m-02"} {
		if !c.begun(id, 2) && d.waveState(2) == "completed" {
			broken = append(broken, fmt.Sprintf("MIXED: wave 2 is said to be completed, and %s has not begun its upkeep of it", id))
		}
	}
	return broken, nil
}
