package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment on loopback: the store in this process, workers and
// entries as processes of their own.
type deployment struct {
	dir     string // temporary
	net     string // the first three bytes of all addresses
	store   *store
	log     *clientLog
	service string
	// extra is added to the settings of the entries.
	extra string
	// cpuOf returns the capacity of a worker in thousandths of a core; nil: 16000.
	cpuOf func(i int) int64

	mu       sync.Mutex
	children []*exec.Cmd
	crashes  map[life]int64 // when lives of workers have ended
	workers  []*workerProcess
	entries  []*entryProcess
}

type workerProcess struct {
	id, addr, zone, rack string
	cpu                  int64
	cmd                  *exec.Cmd
}

type entryProcess struct {
	name, front, ready string
	settings           string // path
	storeAddr          string
	cmd                *exec.Cmd
	logFile            string
}

// clientLog holds what clients have sent and been answered.
type clientLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *clientLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%d ", time.Now().UnixNano())+fmt.Sprintf(format, args...))
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newDeployment starts a store on free loopback addresses.
func newDeployment() (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: newStore(), log: &clientLog{}, service: "desk", crashes: map[life]int64{}}
	for range 20 {
		d.net = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		if probe, err := net.Listen("tcp", d.net+"11:9180"); err == nil {
			_ = probe.Close() // it carries nothing
			return d, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

// serve serves a handler at an address of the deployment.
func (d *deployment) serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, h) }() // ends with the process
	return nil
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.children {
		_ = c.Process.Kill() // fails only if it has ended
		_ = c.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func (d *deployment) start(logFile string, env []string, name string, args ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := exec.Command(name, args...)
	c.Stdout, c.Stderr, c.Env = log, log, append(os.Environ(), env...)
	if err := c.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.children = append(d.children, c)
	return c, nil
}

// startWorkers starts n workers, spread over the zones.
func (d *deployment) startWorkers(n int) error {
	for i := range n {
		w := &workerProcess{id: fmt.Sprintf("i-%02d", i), addr: fmt.Sprintf("%s%d:8080", d.net, 100+i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", 1+i/4)}
		w.cpu = 16000
		if d.cpuOf != nil {
			w.cpu = d.cpuOf(i)
		}
		d.workers = append(d.workers, w)
		if err := d.startWorker(w, 0); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startWorker(w *workerProcess, firstBeat time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.cmd, err = d.start(filepath.Join(d.dir, w.id+".log"), nil, self, "worker", "-id", w.id, "-addr", w.addr, "-service", d.service, "-zone", w.zone,
		"-labels", "a,"+w.rack, "-store", d.net+"1:7000", "-gangs", d.net+"1:6999", "-record", d.recordFile(w), "-first-beat", firstBeat.String(), "-cpu", fmt.Sprint(w.cpu))
	return err
}

func (d *deployment) recordFile(w *workerProcess) string {
	return filepath.Join(d.dir, w.id+".events")
}

// crash ends a worker without notice.
func crash(w *workerProcess) {
	_ = w.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	_ = w.cmd.Wait()
}

const settingsText = `node = "%[1]s"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
port-range = [7720,7735]
seeds = []
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1100
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
control-mode = "call"
%[5]s
[zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"
[listen]
front = "%[2]s:8161"
ready = "%[2]s:8167"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-timeout-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
evac-ms = 5000
recovery-s = 12
max-hold-ms = 10000
stop-timeout-ms = 900
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-factor = 3
checkpoint-interval-s = 2
restore-ms = 600
notice-ms = 4500
move-s = 1.5
maintenance-s = 2
fence-checked = false
lease-ms = 3000
thaw-slack-ms = 300
pace-ms = 100
harm-ms = 4000
[platform]
addr = "%[4]s"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`

// startEntries starts n entries, each with a store address of its own, which the handler
// that wrap returns serves.
func (d *deployment) startEntries(n int, wrap func(entry int, h http.Handler) http.Handler) error {
	for i := range n {
		ip := fmt.Sprintf("%s%d", d.net, 11+i)
		e := &entryProcess{
			name: fmt.Sprintf("edge-%d", i), front: ip + ":8161", ready: ip + ":8167", storeAddr: fmt.Sprintf("%s1:%d", d.net, 7001+i),
			settings: filepath.Join(d.dir, fmt.Sprintf("boot-%d.toml", i)), logFile: filepath.Join(d.dir, fmt.Sprintf("edge-%d.log", i)),
		}
		if err := d.serve(e.storeAddr, wrap(i, d.store)); err != nil {
			return err
		}
		text := fmt.Sprintf(settingsText, e.name, ip, zones[i%len(zones)], e.storeAddr, d.extraFor())
		if strings.Contains(d.extra, "[") {
			text += d.extra
		}
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := d.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) extraFor() string {
	if strings.Contains(d.extra, "[") {
		return ""
	}
	return d.extra
}

// startEntry starts the process of an entry as the deploy file does.
func (d *deployment) startEntry(e *entryProcess) error {
	var err error
	e.cmd, err = d.start(e.logFile, []string{"MONSOONFOLD_NODE_FILE=" + e.settings}, "target/monsoonfold", "serve")
	return err
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range d.entries {
		for {
			response, err := http.Get("http://" + e.ready + "/-/ready")
			if err == nil {
				_ = response.Body.Close() // it is not read
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the configuration.
type route map[string]any

func (d *deployment) configure(version int, routes ...route) {
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": d.service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": true, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client to an entry and returns the status, or 0 without a whole
// answer, and the body.
func (d *deployment) call(e *entryProcess, method, path string, body any) (int, string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body) // of plain values
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(text))
	if err != nil {
		return 0, ""
	}
	r.Host = "desk.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	d.log.add("%s %s %s %s", e.name, method, path, text)
	response, err := client.Do(r)
	if err != nil {
		d.log.add("%s %s %s -> no answer: %v", e.name, method, path, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		d.log.add("%s %s %s -> answer not whole: %v", e.name, method, path, err)
		return 0, ""
	}
	d.log.add("%s %s %s -> %d %s", e.name, method, path, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, string(answer)
}

// submit submits a job as a client does, with repetitions at other entries.
func (d *deployment) submit(id string, body any) bool {
	for i := range 6 {
		status, _ := d.call(d.entries[i%len(d.entries)], http.MethodPost, "/q/"+id, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job that an entry shows, or "".
func (d *deployment) state(e *entryProcess, id string) string {
	status, text := d.call(e, http.MethodGet, "/q/"+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}

// events returns what the workers have recorded, in order of time.
func (d *deployment) events() []event {
	var events []event
	for _, w := range d.workers {
		file, err := os.Open(d.recordFile(w))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var e event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				events = append(events, e)
			}
		}
		_ = file.Close() // it was only read
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.At - b.At) })
	return events
}

// writeRecord writes what was sent, answered and run, and the verdict.
func (d *deployment) writeRecord(folder string, verdict []string) error {
	lines := slices.Clone(verdict)
	var timed []string
	d.log.mu.Lock()
	timed = append(timed, d.log.lines...)
	d.log.mu.Unlock()
	for _, e := range d.events() {
		timed = append(timed, e.String())
	}
	slices.Sort(timed)
	return os.WriteFile(filepath.Join(folder, "record.txt"), []byte(strings.Join(append(lines, timed...), "\n")+"\n"), 0o644)
}

// crashAndRestart crashes a worker and starts it again under its id. The new life writes its
// first entry within a heartbeat interval.
func (d *deployment) crashAndRestart(w *workerProcess, down time.Duration) {
	born := d.bornOf(w)
	crash(w)
	d.log.add("worker %s crashes", w.id)
	d.mu.Lock()
	d.crashes[life{w.id, born}] = time.Now().UnixNano()
	d.mu.Unlock()
	time.Sleep(down)
	d.log.add("worker %s starts again", w.id)
	if err := d.startWorker(w, rand.N(workerBeat)); err != nil {
		d.log.add("worker %s: %v", w.id, err)
	}
}

// bornOf returns the start of the last life of a worker.
func (d *deployment) bornOf(w *workerProcess) int64 {
	var born int64
	for _, e := range d.events() {
		if e.Worker == w.id {
			born = max(born, e.Born)
		}
	}
	return born
}

// crashTimes returns when lives of workers have ended.
func (d *deployment) crashTimes() map[life]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.crashes)
}

// startAll starts the store's addresses, the stand-in of gangs, workers and entries, and waits
// until they know each other.
func (d *deployment) startAll(workers, entries int, wrap func(entry int, h http.Handler) http.Handler) error {
	if err := d.serve(d.net+"1:7000", d.store); err != nil {
		return err
	}
	if err := d.serve(d.net+"1:6999", newGangs()); err != nil {
		return err
	}
	d.configure(7, route{
		"name": "r-1", "host": "desk.example", "prefix": "/q/", "kind": "unsafe", "timeout-ms": 3000,
		"target-latency-ms": 250, "priority": 0, "service": d.service, "max-attempts": 4, "stretch": 1.5,
	})
	if err := d.startWorkers(workers); err != nil {
		return err
	}
	if err := d.startEntries(entries, wrap); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}
