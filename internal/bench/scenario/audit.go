package scenario

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/standin/caller"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// zoneOutGrace is how long tasks may still start in a zone after it was taken out
// of service.
const zoneOutGrace = 5 * time.Second

// joinInstances runs "instances OUT NAME...": it joins the ready lines of worker
// processes into one instance list, which it writes to the file OUT.
func joinInstances(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: instances OUT NAME...")
	}
	data, err := json.Marshal(store.Listing{Instances: readInstances(ts, args[1:])})
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), data, 0o600))
}

// checkAudits runs "audit RESULT NAME...": it checks the invariants on the audits of
// all workers and the result of the callers, which is "-" if there were none.
func checkAudits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: audit RESULT NAME...")
	}
	var result caller.Result
	if args[0] != "-" {
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &result))
	}
	if len(result.Wrong) > 0 {
		ts.Fatalf("wrong responses: %v", result.Wrong)
	}
	ts.Check(worker.CheckAudits(readAudits(ts, args[1:]), result.NotRun))
}

// markTime runs "mark NAME": it sets the variable to the current time.
func markTime(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: mark NAME")
	}
	ts.Setenv(args[0], time.Now().Format(time.RFC3339Nano))
}

// checkNoStarts runs "nostarts FROM TO NAME...": it checks that no task started on
// the workers between 5 s after FROM and TO. The command mark sets both times.
func checkNoStarts(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: nostarts FROM TO NAME...")
	}
	from, err := time.Parse(time.RFC3339Nano, args[0])
	ts.Check(err)
	to, err := time.Parse(time.RFC3339Nano, args[1])
	ts.Check(err)
	for _, a := range readAudits(ts, args[2:]) {
		for _, r := range a.Runs {
			if r.Start.After(from.Add(zoneOutGrace)) && r.Start.Before(to) {
				ts.Fatalf("worker %s started %s %s after the zone was taken out", a.Worker, r.Task, r.Start.Sub(from))
			}
		}
	}
}

// checkStarts runs "starts SPAN FROM JOB COUNT NAME...": it checks that exactly COUNT
// tasks of the job started on the workers, each at most SPAN after FROM. The command
// mark sets FROM.
func checkStarts(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: starts SPAN FROM JOB COUNT NAME...")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	from, err := time.Parse(time.RFC3339Nano, args[1])
	ts.Check(err)
	want, err := strconv.Atoi(args[3])
	ts.Check(err)
	count := 0
	for _, a := range readAudits(ts, args[4:]) {
		for _, r := range a.Runs {
			if string(r.Task.Job) != args[2] {
				continue
			}
			count++
			if delay := r.Start.Sub(from); delay > span {
				ts.Fatalf("worker %s started %s after %s, want %s", a.Worker, r.Task, delay, span)
			}
		}
	}
	if count != want {
		ts.Fatalf("%d starts of job %s, want %d", count, args[2], want)
	}
}

// readInstances returns the instances in the ready lines of worker processes.
func readInstances(ts *testscript.TestScript, names []string) []store.Instance {
	var instances []store.Instance
	for _, name := range names {
		var listing store.Listing
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(name)), &listing))
		instances = append(instances, listing.Instances...)
	}
	return instances
}

// readAudits fetches the audits of all workers of the named processes.
func readAudits(ts *testscript.TestScript, names []string) []worker.Audit {
	var audits []worker.Audit
	client := &http.Client{Timeout: processTimeout}
	for _, instance := range readInstances(ts, names) {
		resp, err := client.Get("http://" + instance.Control + "/audit")
		ts.Check(err)
		var a worker.Audit
		ts.Check(json.NewDecoder(resp.Body).Decode(&a))
		ts.Check(resp.Body.Close())
		audits = append(audits, a)
	}
	return audits
}
