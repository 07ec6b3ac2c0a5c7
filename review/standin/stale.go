package main

import (
	"fmt"
	"syscall"
	"time"
)

// cutTime is how long the machine is cut off from the platform.
const cutTime = 5500 * time.Millisecond

// playStale asks for a wave. As the first order is on its way, the owner's machine is cut off
// from the platform, with the disruption; then the machine is stopped in turn, in both cases.
func playStale(d *deployment, trouble bool) (string, error) {
	var specs []workerSpec
	var wave []string
	for i := range 6 {
		s := workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{"a", "r1-1"}, cpu: 64000, memMB: 256000}
		specs, wave = append(specs, s), append(wave, machineOf(s.id))
	}
	c, err := startCloud(d.fleet, specs, map[int][]string{1: wave})
	if err != nil {
		return "", err
	}
	d.configure("")
	path := &network{record: d.record, name: "edge-1"}
	store, err := path.listen(d.store.Address())
	if err != nil {
		return "", err
	}
	provider, err := path.listen(c.address)
	if err != nil {
		return "", err
	}
	first, err := d.startEntry("", store, provider)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second) // it claims the shard, as it is alone
	if _, err := d.startEntry("", d.store.Address(), c.address); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	ordered := make(chan struct{})
	path.mu.Lock()
	path.trigger = []byte("POST /-/machine-upkeep")
	path.onTrigger = func() {
		d.record.add("path of edge-1: its first order of an upkeep is on the way")
		if trouble {
			path.startCut(cutTime)
		}
		close(ordered)
	}
	path.mu.Unlock()
	d.orderWave(1, wave, 1)
	select {
	case <-ordered:
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("edge-1 has ordered no upkeep")
	}
	time.Sleep(300 * time.Millisecond)
	d.record.add("platform sends SIGTERM to edge-1")
	first.kill(syscall.SIGTERM)
	time.Sleep(cutTime + 8*time.Second)
	c.mu.Lock()
	orders := c.orders
	c.mu.Unlock()
	d.copyLogs("owner changed", "claimed ownership", "upkeep", "wave", "entry leaves")
	if len(orders) < 2 {
		return "", fmt.Errorf("only %d orders seen", len(orders))
	}
	highest := map[string]upkeepOrder{}
	for _, o := range orders {
		if h, ok := highest[o.machine]; ok && o.fence < h.fence {
			return fmt.Sprintf("ONE: machine %s got an order of %s with fence %d after one of %s with fence %d", o.machine, o.holder, o.fence, h.holder, h.fence), nil
		}
		highest[o.machine] = o
	}
	return "", nil
}
