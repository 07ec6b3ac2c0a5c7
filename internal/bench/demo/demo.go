// Package demo runs the whole system in one process on loopback: a stand-in
// platform, six stand-in workers in three availability zones, three entries,
// callers and one operator. Its report is computed from the responses of the
// callers and the records of the workers.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/desk/keys"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/standin/caller"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// Timeouts and times of the demo.
const (
	startTimeout    = 60 * time.Second
	jobTimeout      = 90 * time.Second
	loadDuration    = 24 * time.Second
	timeToZoneOut   = 6 * time.Second
	zoneOutDuration = 9 * time.Second
)

const loadRate = 150 // requests per second

// cycledZone is the zone that the operator takes out of service and returns.
const cycledZone unit.ZoneID = "guj-hazira"

// targets is the target document that the operator applies.
const targets = `{
  "classes": [
    {"name": "quote", "kind": "request", "service": "order-desk",
     "routes": [{"prefix": "/quote"}], "target": {"percentile": 99, "bound": "250ms"}},
    {"name": "cut-list", "kind": "request", "service": "order-desk",
     "routes": [{"prefix": "/cut-list", "method": "POST", "once": true}], "target": {"percentile": 99, "bound": "1s"}},
    {"name": "takeoff", "kind": "batch", "team": "refinery", "target": {"finish": "2m"}},
    {"name": "feed", "kind": "standing", "team": "shops", "target": {"replicas": 2}}
  ],
  "teams": [
    {"name": "refinery", "quota": {"cores": 200000, "memory": 400000000000}},
    {"name": "shops", "quota": {"cores": 20000, "memory": 20000000000}}
  ],
  "zones": [{"name": "guj-morbi"}, {"name": "guj-hazira"}, {"name": "guj-vadodara"}]
}`

// jobs are the jobs that the operator submits. The last is larger than any worker
// and is parked.
var jobs = []queue.Job{
	{ID: "feed", Class: "feed", Tasks: 1, Size: unit.Resources{Cores: 1000, Memory: 1 << 30}},
	{ID: "refinery-7", Class: "takeoff", Tasks: 30, Size: unit.Resources{Cores: 4000, Memory: 4 << 30}, Work: unit.Duration(8 * time.Second)},
	{ID: "refinery-8", Class: "takeoff", Tasks: 20, Size: unit.Resources{Cores: 8000, Memory: 8 << 30}, Work: unit.Duration(12 * time.Second)},
	{ID: "too-large", Class: "takeoff", Tasks: 1, Size: unit.Resources{Cores: 900_000, Memory: 1 << 30}, Work: unit.Duration(time.Second)},
}

// Run runs the demo and writes its progress and a report. It returns an error if
// an invariant was violated or the work did not finish.
func Run(ctx context.Context, out io.Writer, log logr.Logger) error {
	folder, err := os.MkdirTemp("", "monsoonfold-demo")
	if err != nil {
		return errors.Errorf("make folder for keys: %w", err)
	}
	defer os.RemoveAll(folder)
	f, err := startFleet(ctx, folder, log)
	if err != nil {
		return err
	}
	operator, err := f.operatorClient(folder)
	if err != nil {
		return errors.Join(err, f.stop())
	}
	defer operator.Close()
	s := &demoRun{out: out, fleet: f, operator: operator, startedAt: time.Now()}
	err = s.execute(ctx)
	s.logProgress("stopping")
	err = errors.Join(err, f.stop())
	if err != nil {
		return err
	}
	return s.report()
}

// demoRun is the state of one run of the demo.
type demoRun struct {
	out       io.Writer
	fleet     *fleet
	operator  *client.Client
	startedAt time.Time
	load      caller.Result
	outAt     time.Time // when the change that took the zone out was accepted
	inAt      time.Time // when the operator requested its return
	lastJobs  []string
}

func (s *demoRun) logProgress(format string, args ...any) {
	fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (s *demoRun) execute(ctx context.Context) error {
	s.logProgress("platform, %d workers in 3 zones and %d entries run", len(s.fleet.workers), len(s.fleet.entries))
	result, err := s.operator.Apply(ctx, 0, "", []byte(targets))
	if err != nil {
		return errors.Errorf("apply targets: %w", err)
	}
	s.logProgress("targets stated: revision %d, %s", result.Revision.Number, result.Outcome)
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.logProgress("all entries take requests")
	for _, j := range jobs {
		if _, err := s.operator.Submit(ctx, j); err != nil {
			return errors.Errorf("submit job %s: %w", j.ID, err)
		}
	}
	s.logProgress("%d jobs submitted", len(jobs))
	var g errgroup.Group
	g.Go(func() error { return s.sendLoad(ctx) })
	g.Go(func() error { return s.cycleZone(ctx) })
	if err := g.Wait(); err != nil {
		return err
	}
	return s.awaitJobs(ctx)
}

// sendLoad sends the requests of the callers and keeps their result.
func (s *demoRun) sendLoad(ctx context.Context) error {
	var err error
	s.load, err = caller.Run(ctx, caller.Settings{
		Entries: s.fleet.callerAddresses(),
		Kinds: []caller.Kind{
			{Method: "GET", Path: "/quote", Weight: 9},
			{Method: "POST", Path: "/cut-list", Weight: 1, Once: true},
		},
		Rate: loadRate, Count: int(loadRate * loadDuration.Seconds()), Length: loadDuration,
		Timeout: 5 * time.Second, Repeat: 0.2, Seed: 1,
	})
	if err != nil {
		return errors.Errorf("send load: %w", err)
	}
	s.logProgress("%d requests sent, a part of the cut-lists twice with the same key", s.load.Sent)
	return nil
}

// cycleZone takes cycledZone out of service and returns it later.
func (s *demoRun) cycleZone(ctx context.Context) error {
	if err := sleep(ctx, timeToZoneOut); err != nil {
		return err
	}
	if err := s.setZone(ctx, true); err != nil {
		return err
	}
	s.outAt = time.Now()
	if err := sleep(ctx, zoneOutDuration); err != nil {
		return err
	}
	s.inAt = time.Now()
	return s.setZone(ctx, false)
}

func (s *demoRun) setZone(ctx context.Context, out bool) error {
	result, err := s.operator.SetZone(ctx, cycledZone, out, "")
	if err != nil {
		return errors.Errorf("change zone %s: %w", cycledZone, err)
	}
	if result.Outcome != change.Accepted {
		return errors.Errorf("change zone %s: outcome %s", cycledZone, result.Outcome)
	}
	state := "back in service"
	if out {
		state = "out of service"
	}
	s.logProgress("%s %s: revision %d", cycledZone, state, result.Revision.Number)
	return nil
}

func (s *demoRun) awaitReady(ctx context.Context) error {
	return await(ctx, startTimeout, "entries ready", func() (bool, error) { return s.fleet.ready(), nil })
}

// awaitJobs waits until every batch job has ended or is parked.
func (s *demoRun) awaitJobs(ctx context.Context) error {
	return await(ctx, jobTimeout, "jobs ended", func() (bool, error) {
		records, err := s.operator.Jobs(ctx)
		if err != nil {
			return false, errors.Errorf("list jobs: %w", err)
		}
		open := 0
		s.lastJobs = nil
		for _, r := range records {
			state := "ended"
			switch parked := parkedReason(r.Parts); {
			case r.Standing:
				state = "standing"
			case parked != "":
				state = "parked: " + parked
			case !r.Ended():
				state = "active"
				open++
			}
			s.lastJobs = append(s.lastJobs, fmt.Sprintf("%s (%d tasks) %s", r.Job.ID, r.Job.Tasks, state))
		}
		return open == 0, nil
	})
}

// await repeats check until it succeeds or the timeout expires.
func await(ctx context.Context, timeout time.Duration, what string, check func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		ok, err := check()
		if ok {
			return nil
		}
		if ended := sleep(ctx, 250*time.Millisecond); ended != nil {
			return errors.Errorf("wait for %s: %w", what, errors.Join(ended, err))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Errorf("pause: %w", ctx.Err())
	case <-t.C:
		return nil
	}
}

// readToken reads the operator's token.
func readToken(folder string) (string, error) {
	data, err := os.ReadFile(filepath.Join(folder, keys.TokenFile))
	if err != nil {
		return "", errors.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
