package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is maintenance-s of the settings.
const maintenanceTime = 2 * time.Second

// cloud is the provider of machines. It checks no fences, as fence-checked is false.
type cloud struct {
	fleet   *fleet
	record  *recorder
	address string
	waves   map[int][]string

	mu       sync.Mutex
	machines []*machine
	silent   time.Time // calls that arrive before it get no response
	orders   []upkeepOrder
	lives    int
}

type machine struct {
	id    string
	spec  workerSpec
	life  *worker      // nil while it is in upkeep
	waves map[int]bool // waves in which it has begun its upkeep
}

// upkeepOrder is an order as the platform has seen it.
type upkeepOrder struct {
	machine, holder string
	fence           int
}

func startCloud(f *fleet, specs []workerSpec, waves map[int][]string) (*cloud, error) {
	c := &cloud{fleet: f, record: f.record, waves: waves}
	for _, s := range specs {
		w, err := f.startWorker(s, "")
		if err != nil {
			return nil, err
		}
		c.machines = append(c.machines, &machine{id: machineOf(s.id), spec: s, life: w, waves: map[int]bool{}})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.handle(c.list))
	mux.HandleFunc("POST /-/machine-upkeep", c.handle(c.upkeep))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }() // until this process ends
	return c, nil
}

// beSilent leaves the calls of the next d without a response. They have no effect.
func (c *cloud) beSilent(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = time.Now().Add(d)
	c.record.add("cloud    is unavailable for %s: calls get no response", d)
}

func (c *cloud) handle(f http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		silent := time.Now().Before(c.silent)
		c.mu.Unlock()
		if silent {
			c.record.add("cloud    %s %s gets no response", r.Method, r.URL.Path)
			<-r.Context().Done() // until the caller gives the call up
			c.record.add("cloud    %s %s was given up by its caller", r.Method, r.URL.Path)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(4 * time.Millisecond)
		f(rw, r)
	}
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for i, m := range c.machines {
		row := map[string]any{
			"machine": m.id, "pool": serviceName, "state": "upkeep", "zone": zones[i%len(zones)], "labels": m.spec.labels,
			"capacity": map[string]any{"cpu": m.spec.cpu, "mem-mb": m.spec.memMB},
		}
		if m.life != nil {
			row["state"], row["id"] = "up", m.life.id
		}
		rows = append(rows, row)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	fence, err := strconv.Atoi(r.Header.Get("X-Fence-Token"))
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := r.Header.Get("X-Duty-Holder")
	c.orders = append(c.orders, upkeepOrder{body.Machine, holder, fence})
	at := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == body.Machine })
	status, answer := http.StatusOK, map[string]any{}
	switch {
	case at < 0:
		status = http.StatusBadRequest
	case !slices.Contains(c.waves[body.Wave], body.Machine):
		status, answer = http.StatusConflict, map[string]any{"reason": "wave"}
	case c.machines[at].waves[body.Wave]: // already done
	case c.machines[at].life == nil:
		status, answer = http.StatusConflict, map[string]any{"reason": "busy"}
	default:
		c.begin(c.machines[at], body.Wave)
	}
	c.record.add("cloud    upkeep of %s, wave %d, holder %s, fence %d: %d %v", body.Machine, body.Wave, holder, fence, status, answer)
	writeJSON(rw, status, answer)
}

// begin ends what runs on a machine; a new worker joins after maintenanceTime. It is
// called with the lock held.
func (c *cloud) begin(m *machine, wave int) {
	m.waves[wave] = true
	old := m.life
	m.life = nil
	go func() {
		old.end("upkeep")
		c.fleet.store.Remove("servers/" + old.id)
		time.Sleep(maintenanceTime)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lives++
		s := m.spec
		s.id = fmt.Sprintf("%s-%d", m.spec.id, c.lives)
		w, err := c.fleet.startWorker(s, "")
		if err != nil {
			c.record.add("worker %s could not start: %v", s.id, err)
			return
		}
		m.life = w
	}()
}

// begun returns how many machines have begun their upkeep in a wave.
func (c *cloud) begun(wave int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.waves[wave] {
			n++
		}
	}
	return n
}

// waveDuration is the time in which a wave should be done.
const waveDuration = 15 * time.Second

// orderWave writes the operator's request for a wave.
func (d *deployment) orderWave(number int, machines []string, limit int) {
	body, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration-s": waveDuration.Seconds(), "cap": limit})
	if err != nil {
		panic(err) // plain values
	}
	d.record.add("operator writes op/wave/%d %s", number, body)
	d.store.Put(fmt.Sprintf("op/wave/%d", number), body)
}

// silentTime is how long the provider of machines is unavailable.
const silentTime = 4500 * time.Millisecond

// playWave asks for the upkeep of the two machines of kind b while their workers are busy.
// With the disruption the provider of machines is unavailable for a while before the workers are free.
func playWave(d *deployment, trouble bool) (string, error) {
	var specs []workerSpec
	for i := range 6 {
		kind := "a"
		if i >= 4 {
			kind = "b"
		}
		specs = append(specs, workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{kind, fmt.Sprintf("r1-%d", i/2)}, cpu: 64000, memMB: 256000})
	}
	wave := []string{"m-04", "m-05"}
	c, err := startCloud(d.fleet, specs, map[int][]string{1: wave})
	if err != nil {
		return "", err
	}
	d.configure("")
	var e *entry
	for range 2 {
		if e, err = d.startEntry("", d.store.Address(), c.address); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	const busy = "00000000000000b0"
	long := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 2, CPU: 40000, MemMB: 11000, EstMS: 4000, Requires: "b", takes: 4 * time.Second}}}
	if !d.submit(e, quotes, busy, long) {
		return "", fmt.Errorf("first job not accepted")
	}
	if err := until(3*time.Second, func() bool { return d.fleet.running(busy) == 2 }); err != nil {
		return "", fmt.Errorf("tasks of the first job do not run: %w", err)
	}
	d.orderWave(1, wave, 2)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		c.beSilent(silentTime)
	}
	time.Sleep(silentTime + 1500*time.Millisecond)
	d.record.add("cloud    is available, if it was not")
	work := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 2, CPU: 5700, MemMB: 11000, EstMS: 640, Requires: "b", takes: 640 * time.Millisecond}}}
	var jobs []string
	for n := range 10 {
		if id := fmt.Sprintf("00000000000000%02x", n+1); d.submit(e, quotes, id, work) {
			jobs = append(jobs, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	const other = "00000000000000c0"
	anywhere := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 2, CPU: 5700, MemMB: 11000, EstMS: 640, takes: 640 * time.Millisecond}}}
	if !d.submit(e, quotes, other, anywhere) {
		return "", fmt.Errorf("last job not accepted")
	}
	d.record.add("end of the traffic: %d jobs accepted that require kind b, and one that does not", len(jobs))
	idle := d.idleJobs(e, quotes, jobs)
	d.record.add("the job that does not require kind b is %s", d.state(e, quotes, other))
	d.record.add("upkeep begun on %d of 2 machines; status/wave/1 is %q", c.begun(1), d.store.Value("status/wave/1"))
	d.copyLogs("upkeep", "machines not listed", "job taken")
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs had nothing running for 3 s, %s after the end of the traffic; both workers of kind b were idle, with 128 free cores", len(idle), len(jobs), finishTime), nil
	}
	return "", nil
}
