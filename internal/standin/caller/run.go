package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
)

// maxInFlight bounds the requests in flight. One that is due beyond it is not
// sent, and counted as unsent, so that it cannot be overlooked.
const maxInFlight = 4096

// maxResponse bounds the part of a response that is read.
const maxResponse = 128 << 20

// Run sends the load and returns once every request has ended. An early end of
// the context ends the sending; requests in flight are still awaited, at most
// for their timeout.
func Run(ctx context.Context, settings Settings) (Result, error) {
	if err := settings.Validate(); err != nil {
		return Result{}, errors.Errorf("check load: %w", err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	l := &load{
		settings: settings,
		client:   &http.Client{Transport: transport},
		begin:    time.Now(),
		endings:  make(chan ending, 64),
		inFlight: make(chan struct{}, maxInFlight),
	}
	summed := make(chan Result)
	go func() {
		t := newTally(settings.Kinds)
		for e := range l.endings {
			t.add(e)
		}
		summed <- t.finish(time.Since(l.begin))
	}()
	l.send(ctx)
	l.running.Wait()
	close(l.endings)
	return <-summed, nil
}

// load is a load under way.
type load struct {
	settings Settings
	client   *http.Client
	begin    time.Time
	endings  chan ending
	inFlight chan struct{}
	running  sync.WaitGroup
}

// send starts each request when it is due, whatever became of earlier ones.
func (l *load) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	p := newPlan(l.settings)
	for {
		a, ok := p.next()
		if !ok {
			return
		}
		timer.Reset(time.Until(l.begin.Add(a.due)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.launch(a)
		if a.repeat {
			l.launch(p.second(a))
		}
	}
}

// launch runs one request in a goroutine of its own.
func (l *load) launch(a arrival) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.endings <- ending{arrival: a, outcome: OutcomeUnsent}
		return
	}
	l.running.Go(func() {
		defer func() { <-l.inFlight }()
		l.endings <- l.exchange(a)
	})
}

// exchange sends one request and judges its response.
func (l *load) exchange(a arrival) ending {
	due := l.begin.Add(a.due)
	deadline := due.Add(l.settings.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e := ending{arrival: a, outcome: OutcomeLost}
	req, err := l.request(ctx, a, deadline)
	if err != nil {
		e.outcome = OutcomeUnsent
		return e
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return e
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	e.latency = time.Since(due)
	if err != nil {
		e.outcome = OutcomeAborted
		return e
	}
	header := resp.Header.Get("Monsoonfold-Outcome")
	if l.settings.Direct && header == "" && resp.StatusCode == http.StatusOK {
		header = string(OutcomeDone)
	}
	e.outcome, e.worker = judge(resp.StatusCode, header, body, a.check)
	return e
}

// judge returns the outcome of a response that ended cleanly, and the worker
// that ran the request if the response is whole and its own.
func judge(status int, header string, body []byte, check string) (Outcome, unit.InstanceID) {
	outcome := Outcome(header)
	switch outcome {
	case OutcomeNotRun, OutcomeUnknown:
		return outcome, ""
	case OutcomeDone:
	default:
		outcome = OutcomeMissing
		if status != http.StatusOK {
			return outcome, "" // an error page has nothing to check
		}
	}
	response, err := worker.ParseResponse(body)
	switch {
	case err != nil:
		return OutcomeCut, ""
	case response.Check != check:
		return OutcomeForeign, ""
	}
	return outcome, response.Worker
}

func (l *load) request(ctx context.Context, a arrival, deadline time.Time) (*http.Request, error) {
	kind := l.settings.Kinds[a.kind]
	url := "http://" + l.settings.Entries[a.entry] + kind.Path + "?" + worker.CheckParameter + "=" + a.check
	var content string
	if kind.Method != http.MethodGet {
		content = "{}"
	}
	req, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
	if err != nil {
		return nil, errors.Errorf("build request: %w", err)
	}
	// A body that cannot be read again keeps the transport from sending the
	// request twice by itself when a connection is lost.
	req.Body = io.NopCloser(strings.NewReader(content))
	req.ContentLength = int64(len(content))
	req.Header.Set("Monsoonfold-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	if a.key != "" {
		req.Header.Set("Idempotency-Key", a.key)
		req.Header.Set("Monsoonfold-Once", "true")
	}
	return req, nil
}
