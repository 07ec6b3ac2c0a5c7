package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// valueBytes is value-bytes of the settings.
	valueBytes = 1048576
	// failingTasks is the size of the job that can never be done, about as many tasks that
	// last as the site has at work.
	failingTasks = 400
	// startupTime is how long after its start a task of it fails.
	startupTime = 30 * time.Millisecond
	// growthLimit is how long the script waits for the first rejected write.
	growthLimit = 75 * time.Second
)

// storeLimit rejects transactions with a value over valueBytes, as the platform's store
// does, which the store of the project's stand-ins does not.
type storeLimit struct {
	record   *recorder
	forward  http.Handler
	rejected atomic.Int64
	largest  atomic.Int64 // bytes of the largest value written so far
}

func startStoreLimit(d *deployment) (*storeLimit, string, error) {
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.store.Address()})
	forward.ErrorLog = log.New(io.Discard, "", 0) // it would log each watch that an entry ends
	l := &storeLimit{record: d.record, forward: forward}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, l) }() // until this process ends
	return l, listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (l *storeLimit) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-txn" {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var body struct {
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"puts"`
		}
		if json.Unmarshal(text, &body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, p := range body.Puts {
			if len(p.Value) > valueBytes {
				if l.rejected.Add(1) == 1 {
					l.record.add("store    rejects a transaction with 400: %s has %d bytes, value-bytes is %d", p.Key, len(p.Value), valueBytes)
				}
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			l.largest.Store(max(l.largest.Load(), int64(len(p.Value))))
		}
		r.Body = io.NopCloser(bytes.NewReader(text))
	}
	l.forward.ServeHTTP(rw, r)
}

// playFailing runs jobs of two steps beside twenty jobs whose tasks last. With the disruption one of these can never
// be done: each of its tasks fails shortly after its start, and is started again.
func playFailing(d *deployment, trouble bool) (string, error) {
	const failing = hopelessJob
	d.fleet.fails = func(job string) bool { return trouble && job == failing }
	d.fleet.quiet = failing
	for i := range 24 {
		if _, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{"a", fmt.Sprintf("r1-%d", i/12)}, cpu: 64000, memMB: 256000}, ""); err != nil {
			return "", err
		}
	}
	d.configure("")
	limit, store, err := startStoreLimit(d)
	if err != nil {
		return "", err
	}
	first, err := d.startEntry("", store, "")
	if err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	if _, err := d.startEntry("", store, ""); err != nil {
		return "", err
	}
	d.record.add("platform sends SIGTERM to edge-1: the shard has its second owner, as after any restart")
	first.kill(syscall.SIGTERM)
	<-first.ended
	e, err := d.startEntry("", store, "")
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	lasting := stepSpec{Count: failingTasks, CPU: 1000, MemMB: 1000, EstMS: 400, LongRunning: true}
	if err := d.submitLasting(e, 0xb0, trouble, lasting); err != nil {
		return "", err
	}
	if trouble {
		began := time.Now()
		for limit.rejected.Load() == 0 {
			if time.Since(began) > growthLimit {
				return "", fmt.Errorf("no write was rejected within %s; the largest value has %d bytes", growthLimit, limit.largest.Load())
			}
			time.Sleep(100 * time.Millisecond)
		}
		d.record.add("after %s: %d starts of the job, largest value written %d bytes", time.Since(began).Round(time.Millisecond), d.fleet.startsOf(failing), limit.largest.Load())
	} else {
		time.Sleep(10 * time.Second)
	}
	work := &jobSpec{Spec: "(text)", Steps: []stepSpec{
		{Count: 4, CPU: 7000, MemMB: 13000, EstMS: 640, takes: 640 * time.Millisecond},
		{Count: 4, CPU: 7000, MemMB: 13000, EstMS: 640, After: []int{0}, takes: 640 * time.Millisecond},
	}}
	var jobs []string
	var mu sync.Mutex
	var pending sync.WaitGroup
	for n := range 19 {
		id := fmt.Sprintf("00000000000000%02x", n+1)
		pending.Go(func() {
			if d.submit(e, takeoffs, id, work) {
				mu.Lock()
				jobs = append(jobs, id)
				mu.Unlock()
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	pending.Wait()
	d.record.add("end of the traffic: %d jobs of two steps accepted", len(jobs))
	idle := d.idleJobs(e, takeoffs, jobs)
	listed, running := d.fleet.unacknowledged()
	d.record.add("workers list %d ends that are not taken note of and %d runs; %d transactions were rejected", listed, running, limit.rejected.Load())
	d.copyLogs("progress not written", "shard taken over", "job taken")
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs had nothing running for 3 s, %s after the end of the traffic, on 24 workers with %d runs; %d ends are not taken note of", len(idle), len(jobs), finishTime, running, listed), nil
	}
	return "", nil
}

// startsOf returns the number of starts of a job.
func (f *fleet) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[job]
}

// unacknowledged returns how many ends and runs all workers have.
func (f *fleet) unacknowledged() (ends, runs int) {
	f.mu.Lock()
	workers := f.workers
	f.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		if !w.gone {
			ends, runs = ends+len(w.ends), runs+len(w.runs)
		}
		w.mu.Unlock()
	}
	return ends, runs
}
