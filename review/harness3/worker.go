package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Times of the worker, as in the settings of the entries.
const (
	workerBeat  = 1100 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTime    = 50 * time.Millisecond // at most stop-timeout-ms
	gangTimeout = 3 * time.Second
)

// taskSpec is what the spec of a job says to the worker.
type taskSpec struct {
	MS int64 `json:"ms"` // work of a task
	// WorkFails lets each run fail at its end.
	Fails bool `json:"fails"`
	// Lasts lets runs go on until they are stopped.
	Lasts bool `json:"lasts"`
	// CPU is what a task takes, in thousandths of a core; 0: 1000.
	CPU int64 `json:"cpu"`
	// Gang holds the number of members by the number of the step.
	Gang map[string]int `json:"gang"`
	// Saves lets runs save a checkpoint each 100 ms of work.
	Saves bool `json:"saves"`
}

// event is a line of the record of a worker.
type event struct {
	At     int64  `json:"at"` // Unix nanoseconds
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
	What   string `json:"what"` // born, start, refused, stop, end, ack, fence
	Task   string `json:"task,omitempty"`
	Run    int64  `json:"run,omitempty"`
	Fence  int64  `json:"fence,omitempty"`
	N      int64  `json:"n,omitempty"` // of an end, or the cursor of an acknowledgement
	How    string `json:"how,omitempty"`
	Saved  string `json:"saved,omitempty"`
	CPU    int64  `json:"cpu,omitempty"` // in use after a start
}

// String returns the event as a line of the record of a case.
func (e event) String() string {
	text := fmt.Sprintf("%d worker %s of %d: %s", e.At, e.Worker, e.Born, e.What)
	switch e.What {
	case "fence":
		return fmt.Sprintf("%s %d", text, e.Fence)
	case "ack":
		return fmt.Sprintf("%s up to %d", text, e.N)
	case "end":
		return fmt.Sprintf("%s %d of %s run %d %s %s", text, e.N, e.Task, e.Run, e.How, e.Saved)
	}
	return fmt.Sprintf("%s %s run %d fence %d %s %s", text, e.Task, e.Run, e.Fence, e.How, e.Saved)
}

type taskRun struct {
	run     int64
	spec    taskSpec
	saved   string
	started time.Time
	stop    chan struct{}
}

type endedRun struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// worker is a stand-in of one life of a worker, as PROTOCOL.md describes it.
type worker struct {
	id, addr, service, zone, storeAddr, gangAddr string
	labels                                       []string
	cpu, mem                                     int64
	born                                         int64
	startedAt                                    time.Time
	record                                       *os.File

	mu       sync.Mutex
	fence    int64
	deadline int64 // on the worker's clock
	runs     map[string]*taskRun
	floor    map[string]int64 // highest run that was stopped or has ended
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{} // closed and replaced at each end
	seq      int64
	draining bool
}

func runWorker(args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	w := &worker{runs: map[string]*taskRun{}, floor: map[string]int64{}, changed: make(chan struct{}), startedAt: time.Now(), born: time.Now().UnixMilli()}
	labels := flags.String("labels", "a,r1-1", "")
	record := flags.String("record", "", "file to append events to")
	firstBeat := flags.Duration("first-beat", 0, "time from the start to the first entry in the store")
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.addr, "addr", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.StringVar(&w.storeAddr, "store", "", "")
	flags.StringVar(&w.gangAddr, "gangs", "", "")
	flags.Int64Var(&w.cpu, "cpu", 16000, "")
	flags.Int64Var(&w.mem, "mem", 62500, "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w.labels = strings.Split(*labels, ",")
	var err error
	if w.record, err = os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	w.write(event{What: "born"})
	go w.register(*firstBeat)
	go w.watchLease()
	return http.ListenAndServe(w.addr, w)
}

func (w *worker) write(e event) {
	e.At, e.Worker, e.Born = time.Now().UnixNano(), w.id, w.born
	text, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	_, _ = w.record.Write(append(text, '\n')) // the reader misses what is not written
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.startedAt).Milliseconds() }

// register writes the worker's entry to the store each workerBeat.
func (w *worker) register(firstBeat time.Duration) {
	time.Sleep(firstBeat)
	var lease int64
	for {
		if lease == 0 {
			var granted struct {
				Lease int64 `json:"lease"`
			}
			if w.callStore("/-/kv-lease", map[string]any{"ttl-ms": (3 * workerBeat).Milliseconds()}, &granted) == http.StatusOK {
				lease = granted.Lease
			}
		} else if w.callStore(fmt.Sprintf("/-/kv-keep/%d", lease), nil, nil) == http.StatusNotFound {
			lease = 0
			continue
		}
		if lease != 0 {
			w.mu.Lock()
			w.seq++
			entry := map[string]any{
				"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
				"capacity": map[string]any{"cpu": w.cpu, "mem-mb": w.mem, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock(), "seq": w.seq, "born": w.born,
			}
			if w.draining {
				entry["state"], entry["remaining-ms"] = "draining", 2000
			}
			w.mu.Unlock()
			value, _ := json.Marshal(entry) // of plain values
			put := map[string]any{"puts": []any{map[string]any{"key": "servers/" + w.id, "value": value, "lease": lease}}}
			w.callStore("/-/kv-txn", put, nil)
		}
		time.Sleep(workerBeat)
	}
}

func (w *worker) callStore(path string, body, into any) int {
	text, _ := json.Marshal(body) // of plain values
	response, err := http.Post("http://"+w.storeAddr+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if into != nil {
		_ = json.NewDecoder(response.Body).Decode(into) // a zero value tells
	}
	return response.StatusCode
}

// watchLease ends all runs when the lease has expired.
func (w *worker) watchLease() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if len(w.runs) > 0 && w.clock() > w.deadline {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends the run of a task. The lock is held.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	close(r.stop)
	w.floor[task] = max(w.floor[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.run, how, r.saved})
	w.write(event{What: "end", Task: task, Run: r.run, N: w.lastEnd, How: how, Saved: r.saved})
	close(w.changed)
	w.changed = make(chan struct{})
}

// awaitGang returns how a member of a gang ends, or "" once it is stopped.
func (w *worker) awaitGang(task string, r *taskRun, size int) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-r.stop
		cancel()
	}()
	text, _ := json.Marshal(gangCall{Task: task, Run: r.run, Size: size, MS: r.spec.MS}) // of plain values
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.gangAddr, bytes.NewReader(text))
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var answer struct {
		How string `json:"how"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer) // a zero value tells
	return answer.How
}

// save saves a checkpoint of a run that goes on, each 100 ms.
func (w *worker) save(task string, r *taskRun) {
	for n := 1; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(100 * time.Millisecond):
			w.mu.Lock()
			if w.runs[task] == r {
				r.saved = fmt.Sprintf("%s/%d/%d", task, r.run, n)
				w.write(event{What: "saved", Task: task, Run: r.run, Saved: r.saved})
			}
			w.mu.Unlock()
		}
	}
}

func (w *worker) work(task string, r *taskRun) {
	if r.spec.Saves {
		go w.save(task, r)
	}
	if r.spec.Lasts {
		<-r.stop
		return
	}
	if size := r.spec.Gang[strings.Split(task, ".")[2]]; size > 0 {
		how := w.awaitGang(task, r, size)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[task] == r && how != "" {
			w.end(task, how)
		}
		return
	}
	select {
	case <-r.stop:
	case <-time.After(time.Duration(r.spec.MS) * time.Millisecond):
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[task] != r {
			return
		}
		how := "done"
		if r.spec.Fails {
			how = "failed"
		}
		w.end(task, how)
	}
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack-cursor"`
	Wait       int64  `json:"wait-ms"`
}

// extend extends the lease. The lock is held.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		sendJSON(out, http.StatusOK, map[string]any{})
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		sendJSON(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		sendJSON(out, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	status, reason := w.apply(r.URL.Path, call)
	changed, listed := w.changed, len(w.ended)
	w.mu.Unlock()
	if r.URL.Path == "/-/hold" && status == http.StatusOK && listed == 0 && call.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(call.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	body := map[string]any{"clock-ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	if r.URL.Path == "/-/hold" && status == http.StatusOK {
		w.addLists(body)
	}
	w.mu.Unlock()
	sendJSON(out, status, body)
}

// addLists adds the runs and ends to a response. The lock is held.
func (w *worker) addLists(body map[string]any) {
	running, ended := []any{}, []any{}
	for task, r := range w.runs {
		percent := 100
		if !r.spec.Lasts {
			percent = int(min(99, 100*time.Since(r.started).Milliseconds()/max(r.spec.MS, 1)))
		}
		running = append(running, []any{task, r.run, r.saved, percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	body["running"], body["ended"], body["born"] = running, ended, w.born
}

// apply carries out a call. The lock is held.
func (w *worker) apply(path string, c workerCall) (status int, reason string) {
	if c.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	if c.Fence > w.fence {
		w.fence = c.Fence
		w.write(event{What: "fence", Fence: c.Fence})
	}
	switch path {
	case "/-/hold":
		if c.Deadline > 0 {
			w.extend(c.Deadline)
		}
		if c.Cursor > 0 {
			w.write(event{What: "ack", N: c.Cursor})
			for len(w.ended) > 0 && w.ended[0].n <= c.Cursor {
				w.ended = w.ended[1:]
			}
		}
		return http.StatusOK, ""
	case "/-/run-stop":
		w.floor[c.Task] = max(w.floor[c.Task], c.Run)
		w.write(event{What: "stop", Task: c.Task, Run: c.Run, Fence: c.Fence})
		if r := w.runs[c.Task]; r != nil && r.run == c.Run {
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[c.Task] == r {
					w.end(c.Task, "stopped")
				}
			})
		}
		return http.StatusOK, ""
	case "/-/pace":
		return http.StatusOK, ""
	case "/-/run-start":
		return w.start(c)
	}
	return http.StatusBadRequest, ""
}

// cores returns what a task takes, in thousandths of a core.
func (s taskSpec) cores() int64 {
	if s.CPU == 0 {
		return 1000
	}
	return s.CPU
}

// used returns what the runs take. The lock is held.
func (w *worker) used() int64 {
	var cpu int64
	for _, r := range w.runs {
		cpu += r.spec.cores()
	}
	return cpu
}

func (w *worker) start(c workerCall) (status int, reason string) {
	r := &taskRun{run: c.Run, saved: c.Checkpoint, started: time.Now(), stop: make(chan struct{})}
	if err := json.Unmarshal([]byte(c.Spec), &r.spec); err != nil {
		return http.StatusBadRequest, ""
	}
	present := w.runs[c.Task]
	switch {
	case present != nil && present.run == c.Run:
		return http.StatusOK, ""
	case w.clock() > c.Deadline:
		reason = "late"
	case c.Run <= w.floor[c.Task] || present != nil:
		reason = "old"
		w.extend(c.Deadline)
	case w.used()+r.spec.cores() > w.cpu:
		reason = "room"
		w.extend(c.Deadline)
	}
	if reason != "" {
		w.write(event{What: "refused", Task: c.Task, Run: c.Run, Fence: c.Fence, How: reason})
		return http.StatusConflict, reason
	}
	w.extend(c.Deadline)
	w.runs[c.Task] = r
	w.write(event{What: "start", Task: c.Task, Run: c.Run, Fence: c.Fence, Saved: c.Checkpoint, CPU: w.used()})
	go w.work(c.Task, r)
	return http.StatusOK, ""
}
