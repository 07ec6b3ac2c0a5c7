package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// gangs decides when the members of gangs work and how they end. Workers ask it for each member
// that they have begun, as real members would find each other.
type gangs struct {
	mu   sync.Mutex
	runs map[gangKey]*gangRun
}

type gangKey struct {
	step string // ID.K.STEP
	run  int64
}

type gangRun struct {
	present map[string]bool
	changed chan struct{} // closed and replaced at each change
	began   time.Time     // when all were present
	broken  bool          // a member has ended
	done    bool
}

type gangCall struct {
	Task string `json:"task"`
	Run  int64  `json:"run"`
	Size int    `json:"size"`
	MS   int64  `json:"ms"`
}

func newGangs() *gangs { return &gangs{runs: map[gangKey]*gangRun{}} }

// ServeHTTP answers how a member ends. A member whose worker leaves breaks its gang.
func (g *gangs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c gangCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sendJSON(w, http.StatusOK, map[string]any{"how": g.member(r, c)})
}

func (g *gangs) member(r *http.Request, c gangCall) string {
	key := gangKey{c.Task[:strings.LastIndexByte(c.Task, '.')], c.Run}
	g.mu.Lock()
	run := g.runs[key]
	if run == nil {
		run = &gangRun{present: map[string]bool{}, changed: make(chan struct{})}
		g.runs[key] = run
	}
	run.present[c.Task] = true
	if len(run.present) == c.Size && !run.broken {
		run.began = time.Now()
	}
	run.signal()
	g.mu.Unlock()
	alone := time.After(gangTimeout)
	for {
		g.mu.Lock()
		began, broken, done, changed := run.began, run.broken, run.done, run.changed
		g.mu.Unlock()
		var work <-chan time.Time
		switch {
		case done:
			return "done"
		case broken:
			return "broken"
		case !began.IsZero():
			work, alone = time.After(time.Until(began.Add(time.Duration(c.MS)*time.Millisecond))), nil
		}
		select {
		case <-changed:
		case <-work:
			g.settle(run, func() { run.done = run.done || !run.broken })
		case <-alone:
			g.settle(run, func() { run.broken = true })
			return "alone"
		case <-r.Context().Done():
			g.settle(run, func() { run.broken = run.broken || !run.done })
			return "gone"
		}
	}
}

func (g *gangs) settle(run *gangRun, change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	run.signal()
}

// signal wakes the members. The lock is held.
func (r *gangRun) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}
