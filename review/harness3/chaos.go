package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaosJob is a job as the clients know it.
type chaosJob struct {
	id        string
	kind      string
	steps     []chaosStep
	times     int
	startAt   int64 // Unix milliseconds
	interval  int64
	spec      string
	accepted  int64
	cancelled int64 // when the cancellation was acknowledged
	askedEnd  bool  // a cancellation was sent
}

type chaosStep struct {
	count, after int // after: the step before, or -1
	gang         bool
	apart        int
}

// storeFault is what the store does to one entry.
type storeFault struct {
	mu   sync.Mutex
	mode map[int]string
}

func (f *storeFault) set(entry int, mode string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode[entry] = mode
}

func (f *storeFault) wrap(entry int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		mode := f.mode[entry]
		f.mu.Unlock()
		writes := r.URL.Path == "/-/kv-txn"
		switch {
		case mode == "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case mode == "silent":
			<-r.Context().Done()
		case mode == "lost" && writes && rand.IntN(3) == 0:
			h.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case mode == "late" && writes && rand.IntN(3) == 0:
			time.Sleep(time.Duration(1000+rand.IntN(5000)) * time.Millisecond)
			h.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// runChaos plays jobs of all kinds beside random disruptions, and checks the rules on jobs.
func runChaos(d *deployment, trouble bool) ([]string, error) {
	only := strings.Split(os.Getenv("KINDS"), ",")
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	if length == 0 {
		length = 60
	}
	if err := d.serve(d.net+"1:7000", d.store); err != nil {
		return nil, err
	}
	if err := d.serve(d.net+"1:6999", newGangs()); err != nil {
		return nil, err
	}
	d.configure(7, route{
		"name": "r-1", "host": "desk.example", "prefix": "/q/", "kind": "unsafe", "timeout-ms": 3000,
		"target-latency-ms": 250, "priority": 0, "service": d.service, "max-attempts": 3, "stretch": 1.5,
	})
	if err := d.startWorkers(8); err != nil {
		return nil, err
	}
	fault := &storeFault{mode: map[int]string{}}
	if err := d.startEntries(3, fault.wrap); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var jobs []*chaosJob
	var clients sync.WaitGroup
	stop := time.Now().Add(time.Duration(length) * time.Second)
	if trouble {
		for _, kinds := range strings.Split(os.Getenv("FAULTS"), ";") {
			clients.Go(func() { d.disturb(fault, stop, strings.Split(kinds, ",")) })
		}
	}
	for n := 0; time.Now().Before(stop); n++ {
		j := newChaosJob(n, only[n%len(only)])
		jobs = append(jobs, j)
		clients.Go(func() { d.playJob(j) })
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(14 * time.Second)
	broken := checkTwice(d.events(), d.crashTimes())
	broken = append(broken, d.checkJobs(jobs)...)
	return broken, nil
}

func newChaosJob(n int, kind string) *chaosJob {
	j := &chaosJob{id: fmt.Sprintf("%016x", 0xc0000+n), kind: kind}
	switch kind {
	case "gang":
		j.steps = []chaosStep{{4, -1, true, 0}, {3, 0, false, 0}}
		j.spec = `{"ms":400,"gang":{"0":4},"saves":true}`
	case "times":
		j.steps = []chaosStep{{3, -1, false, 0}, {2, 0, false, 0}}
		j.times, j.interval, j.startAt = 4, 700, time.Now().Add(time.Second).UnixMilli()
		j.spec = `{"ms":200}`
	case "fails":
		j.steps = []chaosStep{{2, -1, false, 0}}
		j.spec = `{"ms":80,"fails":true}`
	case "saves":
		j.steps = []chaosStep{{4, -1, false, 1}, {4, 0, false, 2}}
		j.spec = `{"ms":700,"saves":true}`
	case "lasts":
		j.steps = []chaosStep{{3, -1, false, 1}}
		j.spec = `{"lasts":true}`
	default:
		j.steps = []chaosStep{{6, -1, false, 0}, {4, 0, false, 0}}
		j.spec = `{"ms":120}`
	}
	return j
}

func (j *chaosJob) body() map[string]any {
	var steps []any
	for _, s := range j.steps {
		step := map[string]any{"count": s.count, "cpu": 1000, "mem-mb": 500, "est-ms": 200}
		if s.after >= 0 {
			step["after"] = []int{s.after}
		}
		if s.gang {
			step["gang"] = true
		}
		if s.apart > 0 {
			step["anti-affinity"] = s.apart
		}
		if j.kind == "gang" || j.kind == "saves" {
			step["saves-progress"] = true
		}
		if j.kind == "lasts" {
			step["long-running"] = true
			step["may-miss"] = 1
		}
		steps = append(steps, step)
	}
	body := map[string]any{"spec": j.spec, "steps": steps}
	if j.times > 0 {
		body["times"], body["start-at-ms"], body["interval-ms"] = j.times, j.startAt, j.interval
	}
	return body
}

// playJob hands a job in and cancels some and those that last.
func (d *deployment) playJob(j *chaosJob) {
	if !d.submit(j.id, j.body()) {
		return
	}
	j.accepted = time.Now().UnixNano()
	switch {
	case j.kind == "lasts":
		time.Sleep(time.Duration(2000+rand.IntN(6000)) * time.Millisecond)
	case rand.IntN(10) == 0 && j.kind != "fails":
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	default:
		return
	}
	j.askedEnd = true
	for i := range 20 {
		status, _ := d.call(d.entries[i%len(d.entries)], http.MethodDelete, "/q/"+j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelled = time.Now().UnixNano()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// disturb plays one random disruption after the other.
func (d *deployment) disturb(fault *storeFault, stop time.Time, kinds []string) {
	for time.Now().Before(stop.Add(-6 * time.Second)) {
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		owner := max(d.owner(), 0)
		target := owner
		if rand.IntN(3) == 0 {
			target = rand.IntN(len(d.entries))
		}
		e := d.entries[target]
		long := time.Duration(1000+rand.IntN(4000)) * time.Millisecond
		kind := kinds[rand.IntN(len(kinds))]
		d.log.add("disruption %s at %s (owner edge-%d) for %s", kind, e.name, owner, long)
		switch kind {
		case "kill":
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
			time.Sleep(time.Duration(200+rand.IntN(2000)) * time.Millisecond)
			_ = d.startEntry(e)
		case "term":
			_ = e.cmd.Process.Signal(syscall.SIGTERM)
			_ = e.cmd.Wait()
			time.Sleep(300 * time.Millisecond)
			_ = d.startEntry(e)
		case "freeze":
			_ = e.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(long)
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
		case "herd":
			for _, e := range d.entries {
				_ = e.cmd.Process.Kill()
				_ = e.cmd.Wait()
			}
			time.Sleep(500 * time.Millisecond)
			for _, e := range d.entries {
				_ = d.startEntry(e)
			}
		case "busy", "silent", "lost", "late":
			fault.set(target, kind)
			time.Sleep(long)
			fault.set(target, "")
		case "alllost", "alllate":
			for i := range d.entries {
				fault.set(i, kind[3:])
			}
			time.Sleep(long)
			for i := range d.entries {
				fault.set(i, "")
			}
		case "down":
			for i := range d.entries {
				fault.set(i, "silent")
			}
			time.Sleep(long)
			for i := range d.entries {
				fault.set(i, "")
			}
		case "crash":
			d.crashAndRestart(d.workers[rand.IntN(len(d.workers))], time.Duration(100+rand.IntN(crashMS()))*time.Millisecond)
		case "stop":
			w := d.workers[rand.IntN(len(d.workers))]
			_ = w.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(long)
			_ = w.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}

// checkJobs asks for all jobs and checks what the workers have run for each.
func (d *deployment) checkJobs(jobs []*chaosJob) []string {
	var broken []string
	byJob := map[string][]event{}
	for _, e := range d.events() {
		if e.Task != "" {
			byJob[jobOf(e.Task)] = append(byJob[jobOf(e.Task)], e)
		}
	}
	known := map[string]bool{}
	for _, j := range jobs {
		known[j.id] = true
		broken = append(broken, checkChaosJob(j, byJob[j.id])...)
		if j.accepted == 0 {
			continue
		}
		want := "completed"
		switch {
		case j.kind == "fails":
			want = "failed"
		case j.kind == "lasts" || j.cancelled != 0:
			want = "cancelled"
		}
		got := d.state(d.entries[len(j.id)%len(d.entries)], j.id)
		if got != want && !(j.askedEnd && (got == "completed" || got == "cancelled")) {
			broken = append(broken, fmt.Sprintf("LOST: job %s (%s) is shown as %q, want %s", j.id, j.kind, got, want))
		}
	}
	for id := range byJob {
		if !known[id] {
			broken = append(broken, "UNASKED: job "+id)
		}
	}
	return broken
}

// checkChaosJob checks ORDER, BUDGET, UNASKED and checkpoints for one job.
func checkChaosJob(j *chaosJob, events []event) []string {
	var broken []string
	done := map[string]map[string]bool{} // by K.STEP
	failed := map[string]int{}
	saved := map[string]map[string]bool{} // by step for gangs, else by task
	scope := func(task string) string {
		if j.kind == "gang" {
			return task[:strings.LastIndexByte(task, '.')]
		}
		return task
	}
	for _, e := range events {
		parts := strings.Split(e.Task, ".")
		k, step := parts[1], parts[2]
		n, _ := strconv.Atoi(step)
		occurrence, _ := strconv.ParseInt(k, 10, 64)
		switch e.What {
		case "saved":
			if saved[scope(e.Task)] == nil {
				saved[scope(e.Task)] = map[string]bool{}
			}
			saved[scope(e.Task)][e.Saved] = true
		case "end":
			if e.How == "done" {
				if done[k+"."+step] == nil {
					done[k+"."+step] = map[string]bool{}
				}
				done[k+"."+step][e.Task] = true
			}
			if e.How == "failed" {
				failed[e.Task]++
			}
		case "start":
			s := j.steps[n]
			if s.after >= 0 {
				before := j.steps[s.after]
				count := len(done[k+"."+strconv.Itoa(s.after)])
				if count < before.count && !(before.gang && count > 0) {
					broken = append(broken, fmt.Sprintf("ORDER: %s starts at %d with %d of %d done before", e.Task, e.At, count, before.count))
				}
			}
			if j.times > 0 && e.At/1e6 < j.startAt+occurrence*j.interval-250 {
				broken = append(broken, fmt.Sprintf("ORDER: %s starts early at %d", e.Task, e.At))
			}
			if failed[e.Task] >= 3 {
				broken = append(broken, fmt.Sprintf("BUDGET: %s starts at %d after %d failures", e.Task, e.At, failed[e.Task]))
			}
			if e.Saved != "" && !saved[scope(e.Task)][e.Saved] {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts with checkpoint %s", e.Task, e.Saved))
			}
			if j.cancelled != 0 && e.At > j.cancelled+3e9 {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts at %d, cancelled at %d", e.Task, e.At, j.cancelled))
			}
		}
	}
	return broken
}

// crashMS is how long a worker is down at most, in milliseconds.
func crashMS() int {
	if n, err := strconv.Atoi(os.Getenv("CRASHMS")); err == nil {
		return n
	}
	return 4400
}
