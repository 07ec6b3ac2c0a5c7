package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// runWaveChaos plays waves beside random disruptions of the entries and of the provider, and
// checks LIMIT, MIXED and ONE of waves.
func runWaveChaos(d *deployment, trouble bool) ([]string, error) {
	d.extra = fmt.Sprintf("[cloud-api]\naddr = \"%s1:6998\"\nrate-per-s = 60.0\nduties = []\nduties-per-s = 60.0\n", d.net)
	fault := &storeFault{mode: map[int]string{}}
	if err := d.startAll(8, 3, fault.wrap); err != nil {
		return nil, err
	}
	c := newCloud(d)
	var lost atomic.Bool
	lost.Store(strings.Contains(os.Getenv("FAULTS"), "cloudlost") && trouble)
	err := d.serve(d.net+"1:6998", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lost.Load() && rand.IntN(3) == 0 {
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			c.ServeHTTP(discard{http.Header{}}, r)
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		c.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	stop := time.Now().Add(85 * time.Second)
	if trouble {
		go d.disturb(fault, stop, strings.Split(os.Getenv("FAULTS"), ","))
	}
	go func() {
		for n := 0; time.Now().Before(stop); n++ {
			j := newChaosJob(n, []string{"plain", "saves", "lasts"}[n%3])
			go d.playJob(j)
			time.Sleep(400 * time.Millisecond)
		}
	}()
	var broken []string
	wave := 0
	for time.Now().Before(stop) {
		wave++
		names := []string{}
		for _, i := range rand.Perm(8)[:5] {
			names = append(names, fmt.Sprintf("m-%02d", i))
		}
		d.putWave(wave, 1+wave%2, names...)
		eventually(min(40*time.Second, time.Until(stop)), func() bool {
			if d.waveState(wave) != "completed" {
				return false
			}
			for _, id := range names {
				if !c.begun(id, wave) {
					broken = append(broken, fmt.Sprintf("MIXED: wave %d is said to be completed, and %s has not begun its upkeep of it", wave, id))
				}
			}
			return true
		})
		time.Sleep(maintenance + time.Second)
	}
	if wave < 2 {
		return nil, errors.New("no wave is completed")
	}
	return append(broken, c.check()...), nil
}

// check checks LIMIT and ONE in the orders that were carried out.
func (c *cloud) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	slices.SortFunc(c.orders, func(a, b upkeepOrder) int { return int(a.at - b.at) })
	for i, o := range c.orders {
		down := 0
		for _, earlier := range c.orders[:i] {
			if earlier.wave == o.wave && o.at-earlier.at < int64(maintenance) {
				down++
			}
			if earlier.holder != o.holder && earlier.fence == o.fence {
				broken = append(broken, fmt.Sprintf("ONE: fence %s of %s and %s", o.fence, earlier.holder, o.holder))
			}
		}
		if down >= 1+o.wave%2 {
			broken = append(broken, fmt.Sprintf("LIMIT: upkeep of %s for wave %d at %d while %d are down", o.machine, o.wave, o.at, down))
		}
	}
	return broken
}
