package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the placement advice, as the configuration says.
const (
	adviceDecision = 50 * time.Millisecond
	advicePeriod   = 2 * time.Millisecond
	adviceValidity = 5 * time.Second
)

// adviser is the placement advice service. It approves every second worker.
type adviser struct {
	record  *record
	address string
	turn    sync.Mutex // one call at a time

	mu      sync.Mutex
	tickets map[string]time.Time // expiry, by step, worker and ticket
}

func newAdviser(r *record) (*adviser, error) {
	a := &adviser{record: r, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	var err error
	a.address, err = serve(mux)
	return a, err
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(adviceDecision + time.Duration(len(body.Workers))*advicePeriod)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	approved := [][2]string{}
	for _, id := range body.Workers {
		if id[len(id)-1]%2 == 0 {
			ticket := fmt.Sprintf("t%d", len(a.tickets))
			a.tickets[body.Step+" "+id+" "+ticket] = time.Now().Add(adviceValidity)
			approved = append(approved, [2]string{id, ticket})
		}
	}
	a.record.add("advice for step %s: %d of %d workers approved", body.Step, len(approved), len(body.Workers))
	reply(w, http.StatusOK, map[string]any{"approved": approved, "valid-ms": adviceValidity.Milliseconds()})
}

// accepts reports whether a ticket is valid for a step on a worker.
func (a *adviser) accepts(step, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+worker+" "+ticket])
}
