package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maintenance is maintenance-s of the settings.
const maintenance = 2 * time.Second

// cloud is a stand-in of the platform's list of machines, with one worker on each machine.
type cloud struct {
	d *deployment

	mu       sync.Mutex
	machines []*machine
	lives    int
	orders   []upkeepOrder // that were carried out
}

type machine struct {
	id, state string // up, upkeep
	worker    *workerProcess
	waves     map[int]bool // of which it has begun its upkeep
}

type upkeepOrder struct {
	at      int64
	machine string
	wave    int
	holder  string
	fence   string
}

// newCloud returns a cloud with the machines of the workers of a deployment.
func newCloud(d *deployment) *cloud {
	c := &cloud{d: d, lives: len(d.workers)}
	for i, w := range d.workers {
		c.machines = append(c.machines, &machine{id: fmt.Sprintf("m-%02d", i), state: "up", worker: w, waves: map[int]bool{}})
	}
	return c
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/machines":
		sendJSON(w, http.StatusOK, map[string]any{"machines": c.list(), "next-token": nil})
	case "/-/machine-upkeep":
		var body struct {
			Machine string `json:"machine"`
			Wave    int    `json:"wave"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reason := c.upkeep(body.Machine, body.Wave, r.Header)
		c.d.log.add("cloud: upkeep of %s for wave %d by %s, fence %s -> %d %s", body.Machine, body.Wave, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"), status, reason)
		sendJSON(w, status, map[string]any{"reason": reason})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []any{}
	for _, m := range c.machines {
		row := map[string]any{"machine": m.id, "pool": c.d.service, "state": m.state, "zone": m.worker.zone, "labels": []string{"a", m.worker.rack}, "capacity": map[string]any{"cpu": 16000, "mem-mb": 62500, "gpu": 0}}
		if m.state == "up" {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	return rows
}

// upkeep begins the upkeep of a machine for a wave.
func (c *cloud) upkeep(id string, wave int, header http.Header) (status int, reason string) {
	var w struct {
		Machines []string `json:"machines"`
	}
	if json.Unmarshal(c.d.store.get(fmt.Sprintf("op/wave/%d", wave)), &w) != nil {
		return http.StatusConflict, "wave"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		switch {
		case m.id != id:
			continue
		case m.waves[wave]:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		m.state, m.waves[wave] = "upkeep", true
		c.orders = append(c.orders, upkeepOrder{time.Now().UnixNano(), id, wave, header.Get("X-Duty-Holder"), header.Get("X-Fence-Token")})
		crash(m.worker)
		time.AfterFunc(maintenance, func() { c.back(m) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// back starts a new worker on a machine.
func (c *cloud) back(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lives++
	old := m.worker
	m.worker = &workerProcess{id: fmt.Sprintf("i-%02d", c.lives), addr: old.addr, zone: old.zone, rack: old.rack, cpu: old.cpu}
	m.state = "up"
	c.d.workers = append(c.d.workers, m.worker)
	if err := c.d.startWorker(m.worker, 0); err != nil {
		c.d.log.add("cloud: %s: %v", m.id, err)
	}
}

// states returns the states of the machines by id.
func (c *cloud) states() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]string{}
	for _, m := range c.machines {
		states[m.id] = m.state
	}
	return states
}

// begun reports whether a machine has begun its upkeep of a wave.
func (c *cloud) begun(id string, wave int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id == id {
			return m.waves[wave]
		}
	}
	return false
}
