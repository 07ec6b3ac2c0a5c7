package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonfold/monsoonfold/platform/standin"
)

// Bounds of the platform that workers keep.
const (
	heartbeatInterval = 1100 * time.Millisecond
	maxHold           = 10 * time.Second
	maxWait           = 2 * time.Second
	gangTimeout       = 3 * time.Second
	// registerDelay is how long after it has opened its port a worker writes its entry.
	registerDelay = 100 * time.Millisecond
)

// workerSpec says what a life of a worker is.
type workerSpec struct {
	id     string
	labels []string
	cpu    int64
	memMB  int64
}

// worker is one life of a worker that follows PROTOCOL.md. Its service rejects overload.
type worker struct {
	workerSpec
	fleet    *fleet
	address  string
	born     time.Time
	server   *http.Server
	listener net.Listener
	stopped  chan struct{}

	mu           sync.Mutex
	fence        int64
	leaseUntil   int64
	runs         map[string]*taskRun
	highestEnded map[string]int64
	ends         []taskEnd
	lastEnd      int64
	changed      chan struct{}
	seq          int
	gone         bool
}

type taskRun struct {
	number int64
	cpu    int64
	began  time.Time
	takes  time.Duration // 0: until it is stopped
	gang   *gang         // nil: it works alone
	serves bool
}

// gang is one run of a gang. Its fields are guarded by the lock of the fleet.
type gang struct {
	missing  int       // members that have not started
	complete time.Time // when the last one started
	broken   bool      // a member has ended otherwise than as done
}

type taskEnd struct {
	number int64
	task   string
	run    int64
	how    string
}

// fleet is the workers of a service, and what was handed in, which says what tasks need.
type fleet struct {
	store  *standin.Store
	record *recorder

	mu      sync.Mutex
	jobs    map[string]*jobSpec
	tickets map[string]time.Time  // "step worker ticket" to the end of its validity; nil: no queue has advice
	started map[string]int        // starts by job
	active  map[string]int        // present runs by job
	gangs   map[string]*gang      // by step and run
	workers []*worker             // all lives
	fails   func(job string) bool // whether the tasks of a job fail after startupTime; nil: none do
	late    *lateOrder            // nil: no order is held up
	tailMS  int64                 // of each task that serves
	quiet   string                // job whose runs are not recorded, as there are too many
	// onStart is called for each start that a worker has begun.
	onStart func(w *worker, task string, job *jobSpec)
}

func newFleet(store *standin.Store, r *recorder) *fleet {
	return &fleet{store: store, record: r, jobs: map[string]*jobSpec{}, started: map[string]int{}, active: map[string]int{}, gangs: map[string]*gang{}}
}

// startWorker begins a life of a worker at an address; an empty one takes a free port.
func (f *fleet) startWorker(s workerSpec, address string) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		workerSpec: s, fleet: f, address: listener.Addr().String(), born: time.Now(), listener: listener,
		stopped: make(chan struct{}), runs: map[string]*taskRun{}, highestEnded: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/pace", w.handle(w.pace))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go func() { _ = w.server.Serve(listener) }() // ends with an error when the life ends
	go w.live()
	f.record.add("worker %s begins, kind and rack %v, address %s, born %d", w.id, w.labels, w.address, w.born.UnixMilli())
	return w, nil
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.seq++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "addr": w.address, "zone": zones[int(w.id[len(w.id)-1])%len(zones)], "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "seq": w.seq, "born": w.born.UnixMilli(), "labels": w.labels, "machine": machineOf(w.id),
		"capacity": map[string]any{"cpu": w.cpu, "mem-mb": w.memMB},
	})
	if err != nil {
		panic(err) // the entry consists of plain values
	}
	w.fleet.store.Put("servers/"+w.id, body)
}

// live ends tasks that are done or whose lease has expired, and writes the entry.
func (w *worker) live() {
	first := time.After(registerDelay)
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-first:
			w.register("ready")
		case <-beat.C:
			w.register("ready")
		case <-tick.C:
			w.mu.Lock()
			w.endDue()
			w.mu.Unlock()
		}
	}
}

// end ends the life: everything that runs there terminates and connections break.
func (w *worker) end(how string) {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.gone = true
	for task := range w.runs {
		w.fleet.present(task, -1)
	}
	w.fleet.record.add("worker %s ends (%s) with %d runs", w.id, how, len(w.runs))
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close() // its connections break
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// order holds the fields of all calls.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Cursor     int64  `json:"ack-cursor"`
	Wait       int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (w *worker) handle(f func(rw http.ResponseWriter, r *http.Request, o order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if w.fleet.late != nil && w.fleet.late.holdUp(w, r, body) {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.gone {
			panic(http.ErrAbortHandler)
		}
		w.endDue()
		if o.Fence < w.fence {
			w.refuse(rw, "fence")
			return
		}
		w.fence = o.Fence
		f(rw, r, o)
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller has left
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

func (w *worker) accept(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

func (w *worker) extend(deadline int64) {
	w.leaseUntil = max(w.leaseUntil, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, o order) {
	job, step := w.fleet.jobOf(o.Task)
	present := w.runs[o.Task]
	switch {
	case job == nil:
		w.fleet.record.add("worker %s is told to start %s, which no client sent", w.id, o.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	case present != nil && present.number == o.Run:
		w.extend(o.Deadline)
		w.accept(rw)
		return
	case present != nil || o.Run <= w.highestEnded[o.Task]:
		w.extend(o.Deadline)
		w.refuse(rw, "old")
		return
	case o.Deadline <= w.clock():
		w.refuse(rw, "late")
		return
	case !step.Fills && w.used()+step.CPU > w.cpu:
		w.extend(o.Deadline)
		w.refuse(rw, "room")
		return
	case !w.fleet.hasTicket(o.Task, w.id, o.Ticket):
		w.refuse(rw, "ticket")
		return
	}
	w.runs[o.Task] = &taskRun{number: o.Run, cpu: step.reserved(), began: time.Now(), takes: step.takes, gang: w.fleet.joinGang(o, step), serves: step.TargetMS > 0}
	w.extend(o.Deadline)
	w.fleet.present(o.Task, 1)
	if jobOfTask(o.Task) != w.fleet.quiet {
		w.fleet.record.add("start    %s run %d on %s (kind %s, born %d), fence %d", o.Task, o.Run, w.id, w.labels[0], w.born.UnixMilli(), o.Fence)
	}
	if w.fleet.onStart != nil {
		w.fleet.onStart(w, o.Task, job)
	}
	w.accept(rw)
}

func (w *worker) used() int64 {
	var sum int64
	for _, r := range w.runs {
		sum += r.cpu
	}
	return sum
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, o order) {
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.finish(o.Task, "stopped")
	}
	w.accept(rw)
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, _ order) { w.accept(rw) }

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.Deadline)
	w.ends = slices.DeleteFunc(w.ends, func(e taskEnd) bool { return e.number <= o.Cursor })
	timer := time.NewTimer(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for waiting := true; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, t := range w.runs {
		running = append(running, []any{task, t.number, "", t.percent(), w.fleet.metricOf(t)})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// metricOf returns the fifth entry of a row of the runs: the tail in milliseconds of a task
// that serves, and the cpu in use of any other.
func (f *fleet) metricOf(t *taskRun) int64 {
	if t.serves {
		return f.tailMS
	}
	return t.cpu
}

func (t *taskRun) percent() int {
	if t.takes == 0 {
		return 100
	}
	return int(min(99, 100*time.Since(t.began)/t.takes))
}

// endDue ends runs. It is called with the lock held.
func (w *worker) endDue() {
	lapsed := w.leaseUntil != 0 && w.clock() > w.leaseUntil
	for task, r := range w.runs {
		began, broken := w.fleet.workedSince(r)
		switch {
		case lapsed:
			w.finish(task, "lapsed")
		case broken:
			w.finish(task, "broken")
		case began.IsZero() && time.Since(r.began) >= gangTimeout:
			w.finish(task, "alone")
		case began.IsZero():
		case w.fleet.fails != nil && time.Since(began) >= startupTime && w.fleet.fails(jobOfTask(task)):
			w.finish(task, "failed")
		case r.takes > 0 && time.Since(began) >= r.takes:
			w.finish(task, "done")
		}
	}
}

func (w *worker) finish(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highestEnded[task] = max(w.highestEnded[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{number: w.lastEnd, task: task, run: r.number, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.leaveGang(r, how)
	w.fleet.present(task, -1)
	if jobOfTask(task) != w.fleet.quiet {
		w.fleet.record.add("end      %s run %d on %s: %s", task, r.number, w.id, how)
	}
}

// joinGang returns the gang of a run that begins, or nil if its step is none.
func (f *fleet) joinGang(o order, step stepSpec) *gang {
	if !step.Gang {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fmt.Sprintf("%s/%d", o.Task[:strings.LastIndex(o.Task, ".")], o.Run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{missing: step.Count}
		f.gangs[key] = g
	}
	if g.missing--; g.missing == 0 {
		g.complete = time.Now()
	}
	return g
}

// leaveGang records that a member of a gang has ended.
func (f *fleet) leaveGang(r *taskRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.gang != nil && how != "done" {
		r.gang.broken = true
	}
}

// workedSince returns since when a run works, or the zero time, and whether its gang is
// broken.
func (f *fleet) workedSince(r *taskRun) (time.Time, bool) {
	if r.gang == nil {
		return r.began, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.gang.complete, r.gang.broken
}

func (f *fleet) present(task string, by int) {
	job := jobOfTask(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[job] += by
	if by > 0 {
		f.started[job]++
	}
}

func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// jobOf returns the job and the step of a task that a client has handed in.
func (f *fleet) jobOf(task string) (*jobSpec, stepSpec) {
	parts := strings.Split(task, ".")
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, stepSpec{}
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return nil, stepSpec{}
	}
	return j, j.Steps[n]
}

// hasTicket reports whether a start needs no ticket or carries a valid one.
func (f *fleet) hasTicket(task, worker, ticket string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tickets == nil {
		return true
	}
	step := task[:strings.LastIndex(task, ".")]
	return time.Now().Before(f.tickets[fmt.Sprintf("%s %s %s", step, worker, ticket)])
}

func machineOf(worker string) string { return "m-" + strings.SplitN(worker, "-", 3)[1] }
