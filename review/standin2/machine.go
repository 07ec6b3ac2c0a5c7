package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the provider of machines.
const (
	providerLatency = 20 * time.Millisecond
	maintenance     = 2 * time.Second // maintenance-s
)

// provider is the provider of the machines on which the workers run.
type provider struct {
	fleet   *fleet
	address string

	mu       sync.Mutex
	machines []*machine
}

type machine struct {
	id     string
	worker *worker // nil during an upkeep
	waves  []int   // whose upkeep it has begun
}

func newProvider(f *fleet) (*provider, error) {
	p := &provider{fleet: f}
	for i, w := range f.workers {
		p.machines = append(p.machines, &machine{id: fmt.Sprintf("m-%02d", i), worker: w})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", p.list)
	mux.HandleFunc("POST /-/machine-upkeep", p.upkeep)
	var err error
	p.address, err = serve(mux)
	return p, err
}

// ids returns the ids of the first machines.
func (p *provider) ids(count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = p.machines[i].id
	}
	return ids
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(providerLatency)
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.id, "pool": "svc", "state": "upkeep", "zone": "z1", "labels": []string{"a"}, "capacity": capacity}
		if m.worker != nil {
			row["state"], row["id"] = "up", m.worker.id
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows})
}

func (p *provider) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(providerLatency)
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.IndexFunc(p.machines, func(m *machine) bool { return m.id == body.Machine })
	if at < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := p.machines[at]
	p.fleet.record.add("upkeep of %s in wave %d ordered by %s with token %s", m.id, body.Wave, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"))
	switch {
	case slices.Contains(m.waves, body.Wave):
	case m.worker == nil:
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	default:
		p.begin(m, body.Wave)
	}
	reply(w, http.StatusOK, struct{}{})
}

// begin begins the upkeep of a machine, after which a new worker joins the service.
func (p *provider) begin(m *machine, wave int) {
	m.waves = append(m.waves, wave)
	m.worker.leave()
	m.worker = nil
	go func() {
		time.Sleep(maintenance)
		fresh, err := p.fleet.addWorker()
		if err != nil {
			p.fleet.record.add("no worker on machine %s: %v", m.id, err)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		m.worker = fresh
	}()
}

// leave ends all that the worker runs, and the worker.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.atWork = r.lasts && r.percent() == 100
	}
	w.lose()
	w.fleet.store.remove("servers/" + w.id)
}
