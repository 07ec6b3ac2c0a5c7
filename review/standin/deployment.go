package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/monsoonfold/monsoonfold/platform/standin"
)

const (
	serviceName = "order-desk"
	hostName    = "desk.example"
)

var zones = []string{"guj-morbi", "guj-hazira", "guj-vadodara"}

// jobSpec is the body of a submission.
type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

type stepSpec struct {
	Count       int           `json:"count"`
	CPU         int64         `json:"cpu"`
	MemMB       int64         `json:"mem-mb"`
	EstMS       int64         `json:"est-ms"`
	Requires    string        `json:"requires,omitempty"`
	LongRunning bool          `json:"long-running,omitempty"`
	After       []int         `json:"after,omitempty"`
	Gang        bool          `json:"gang,omitempty"`
	PerWorker   int           `json:"anti-affinity,omitempty"`
	MayMiss     int           `json:"may-miss,omitempty"`
	Image       string        `json:"image,omitempty"`
	TargetMS    int64         `json:"target-ms,omitempty"`
	Fills       bool          `json:"fills,omitempty"`
	Saves       bool          `json:"saves-progress,omitempty"`
	SameRack    bool          `json:"same-rack,omitempty"`
	takes       time.Duration // how long a task works
}

// reserved returns the cores that a task takes of its worker's capacity.
func (s stepSpec) reserved() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// deployment is the stand-ins of the platform and the entries, which are processes.
type deployment struct {
	record  *recorder
	store   *standin.Store
	fleet   *fleet
	folder  string // for settings files and logs
	entries []*entry
}

// entry is a process of the system.
type entry struct {
	node, front string
	process     *exec.Cmd
	ended       chan struct{}
}

func newDeployment(r *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	return &deployment{record: r, store: store, fleet: newFleet(store, r), folder: folder}, nil
}

// close ends every process that was started.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill(syscall.SIGKILL)
	}
	for _, e := range d.entries {
		<-e.ended
	}
	_ = os.RemoveAll(d.folder) // in the temporary folder of the system
}

func (e *entry) kill(s syscall.Signal) {
	_ = e.process.Process.Signal(s) // fails only if it has ended
}

// Prefixes of the two queues: quotes have priority 0 and takeoffs priority 2.
const (
	quotes   = "/quick/"
	takeoffs = "/takeoff/"
)

// configure writes the configuration; advice is that of both queues and may be empty.
func (d *deployment) configure(advice string) {
	route := func(name, prefix string, priority, attempts int, stretch float64, target int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"service":%q,"timeout-ms":3000,"priority":%d,"max-attempts":%d,"stretch":%g,"target-latency-ms":%d%s}`,
			name, hostName, prefix, serviceName, priority, attempts, stretch, target, advice)
	}
	text := fmt.Sprintf(`{"version":3,"routes":[%s,%s],"services":[{"name":%q,"rejects-overload":true}],"limits":{"max-body-bytes":262144}}`,
		route("quick-quote", quotes, 0, 4, 1.5, 250), route("takeoff", takeoffs, 2, 2, 2, 1000), serviceName)
	d.store.Put("op/config", []byte(text))
	d.record.add("operator writes op/config %s", text)
}

const settingsText = `node = "%[1]s"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "guj"
port-range = [7720,7735]
seeds = []
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1100
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
control-mode = "call"
advice = "%[4]s"
[zones]
guj-morbi = "guj"
guj-hazira = "guj"
guj-vadodara = "guj"
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
cold-overage = 1.5
cold-slack = 5
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
addr = "%[5]s"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud-api]
addr = "%[6]s"
rate-per-s = 60.0
duties = []
duties-per-s = 60.0
`

// freeIP returns a loopback address on which the ports of an entry are free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []string{"8161", "8167", "9180"} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close() // it was only a check
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// startEntry starts the program of the deploy file and waits until it is ready.
func (d *deployment) startEntry(advice, store, cloud string) (*entry, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	n := len(d.entries)
	e := &entry{node: fmt.Sprintf("edge-%d", n+1), front: ip + ":8161", ended: make(chan struct{})}
	path := filepath.Join(d.folder, e.node+".toml")
	text := fmt.Sprintf(settingsText, e.node, ip, zones[n%len(zones)], advice, store, cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, e.node+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	e.process = exec.Command("target/monsoonfold", "serve")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONFOLD_NODE_FILE=" + path}
	e.process.Stdout, e.process.Stderr = log, log
	if err := e.process.Start(); err != nil {
		return nil, err
	}
	d.entries = append(d.entries, e)
	d.record.add("entry %s starts, process %d", e.node, e.process.Process.Pid)
	go func() {
		err := e.process.Wait()
		d.record.add("entry %s has ended: %v", e.node, err)
		close(e.ended)
	}()
	return e, until(10*time.Second, func() bool {
		response, err := http.Get("http://" + ip + ":8167/-/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close() // it is empty
		return response.StatusCode == http.StatusOK
	})
}

// until waits for a condition.
func until(limit time.Duration, ok func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not seen within %s", limit)
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client to an entry.
func (d *deployment) call(e *entry, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err) // bodies consist of plain values
		}
		reader = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.front+path, reader)
	if err != nil {
		panic(err) // the addresses are made here
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(r)
	if err != nil {
		d.record.add("client   %s %s at %s: no answer: %v", method, path, e.node, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	answer := strings.TrimSpace(string(text))
	d.record.add("client   %s %s at %s: %d %s", method, path, e.node, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a job in, again if it was not accepted, and reports whether it was.
func (d *deployment) submit(e *entry, prefix, id string, j *jobSpec) bool {
	d.fleet.mu.Lock()
	d.fleet.jobs[id] = j
	d.fleet.mu.Unlock()
	for range 4 {
		if status, _ := d.call(e, http.MethodPost, prefix+id, j); status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state of a job as a client sees it.
func (d *deployment) state(e *entry, prefix, id string) string {
	_, text := d.call(e, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body) // no state in an answer without one
	return body.State
}

// running returns the number of present runs of a job.
func (f *fleet) running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active[job]
}

// copyLogs copies the lines of the entries' logs with any of the words to the record.
func (d *deployment) copyLogs(words ...string) {
	for _, e := range d.entries {
		text, err := os.ReadFile(filepath.Join(d.folder, e.node+".log"))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			for _, w := range words {
				if strings.Contains(line, w) {
					d.record.add("log of %s: %s", e.node, line)
					break
				}
			}
		}
	}
}
