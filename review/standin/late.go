package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// lateTime is how long after it was sent an order without an answer is carried out.
const lateTime = 9 * time.Second

// lateOrder holds up one start: it gets no answer, and the worker at the address gets it after lateTime.
type lateOrder struct {
	task string // that the start is for

	mu     sync.Mutex
	worker *worker // that the start was sent to
}

// holdUp takes a request if it is the start to hold up, and reports whether it has. It returns when the
// sender has given up.
func (l *lateOrder) holdUp(w *worker, r *http.Request, body []byte) bool {
	if r.URL.Path != "/-/run-start" || !bytes.Contains(body, []byte(l.task)) {
		return false
	}
	l.mu.Lock()
	if l.worker != nil {
		l.mu.Unlock()
		return false
	}
	l.worker = w
	l.mu.Unlock()
	w.fleet.record.add("order    %s to %s (born %d) gets no answer and is carried out %s later", bytes.TrimSpace(body), w.id, w.born.UnixMilli(), lateTime)
	header, address := r.Header.Clone(), w.address
	time.AfterFunc(lateTime, func() {
		late, err := http.NewRequest(http.MethodPost, "http://"+address+"/-/run-start", bytes.NewReader(body))
		if err != nil {
			return
		}
		late.Header = header
		response, err := http.DefaultClient.Do(late)
		if err != nil {
			w.fleet.record.add("order    held up does not reach a worker: %v", err)
			return
		}
		defer response.Body.Close()
		answer, _ := io.ReadAll(response.Body) // it is only for the record
		w.fleet.record.add("order    held up is carried out: %d %s", response.StatusCode, bytes.TrimSpace(answer))
	})
	<-r.Context().Done()
	return true
}

// target returns the worker that the start was sent to, or nil before.
func (l *lateOrder) target() *worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker
}

// playLate runs a job of one task. With the disruption its first start gets no answer and is carried out later, and
// the worker that it was sent to crashes in between and starts again under its id and address.
func playLate(d *deployment, trouble bool) (string, error) {
	const filler, small, job = "00000000000000f1", "00000000000000f2", "00000000000000a1"
	for i := range 8 {
		if _, err := d.fleet.startWorker(workerSpec{id: fmt.Sprintf("w-%02d", i), labels: []string{"a", "r1-1"}, cpu: 64000, memMB: 256000}, ""); err != nil {
			return "", err
		}
	}
	d.configure("")
	var e *entry
	for range 2 {
		var err error
		if e, err = d.startEntry("", d.store.Address(), ""); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	var late lateOrder
	late.task = job
	if trouble {
		d.fleet.late = &late
	}
	// While the first start is on its way another worker is busy, and free again for the second one.
	short := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 1, CPU: 40000, MemMB: 11000, EstMS: 1000, takes: time.Second}}}
	long := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 1, CPU: 40000, MemMB: 11000, EstMS: 15000, takes: 15 * time.Second}}}
	// With the starts of these the one that is held up is less than 0.055 of the orders.
	many := &jobSpec{Spec: "(text)", Steps: []stepSpec{{Count: 20, CPU: 1000, MemMB: 1000, EstMS: 300, takes: 300 * time.Millisecond}}}
	if !d.submit(e, quotes, filler, short) || !d.submit(e, quotes, small, many) || !d.submit(e, quotes, job, long) {
		return "", fmt.Errorf("jobs not accepted")
	}
	twice := 0
	if trouble {
		if err := until(8*time.Second, func() bool { return d.fleet.running(job) == 1 }); err != nil {
			return "", fmt.Errorf("the task does not run: %w", err)
		}
		time.Sleep(500 * time.Millisecond)
		w := late.target()
		if w == nil || w.load() > 0 {
			return "", fmt.Errorf("the second start went to the worker of the first")
		}
		w.end("crash")
		time.Sleep(downTime)
		if _, err := d.fleet.startWorker(w.workerSpec, w.address); err != nil {
			return "", err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		twice = max(twice, d.fleet.running(job))
	}
	d.record.add("the job is %s", d.state(e, quotes, job))
	d.copyLogs(`"job":"` + job + `"`)
	if twice > 1 {
		return fmt.Sprintf("TWICE: %d runs of %s.0.0.0 at the same time, on workers that are up", twice, job), nil
	}
	return "", nil
}
