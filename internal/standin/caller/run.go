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

// maxInFlight bounds the requests in flight. A request that is due beyond this
// bound is not sent, but counted as unsent, so that the result shows it.
const maxInFlight = 4096

// maxResponse is the number of bytes of a response that are read at most.
const maxResponse = 128 << 20

// Run sends the load and returns once every request has ended. If the context is
// cancelled, no further requests are sent, but Run waits for those in flight, at
// most for their timeout.
func Run(ctx context.Context, settings Settings) (Result, error) {
	if err := settings.Validate(); err != nil {
		return Result{}, errors.Errorf("check load: %w", err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	l := &loadRun{
		settings:    settings,
		client:      &http.Client{Transport: transport},
		startTime:   time.Now(),
		completions: make(chan completion, 64),
		inFlight:    make(chan struct{}, maxInFlight),
	}
	summed := make(chan Result)
	go func() {
		t := newTally(settings.Kinds)
		for e := range l.completions {
			t.add(e)
		}
		summed <- t.computeResult(time.Since(l.startTime))
	}()
	l.send(ctx)
	l.running.Wait()
	close(l.completions)
	return <-summed, nil
}

// loadRun is the state of a load that is being sent.
type loadRun struct {
	settings    Settings
	client      *http.Client
	startTime   time.Time
	completions chan completion
	inFlight    chan struct{}
	running     sync.WaitGroup
}

// send starts each request when it is due, independent of earlier ones.
func (l *loadRun) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	p := newPlan(l.settings)
	for {
		a, ok := p.next()
		if !ok {
			return
		}
		timer.Reset(time.Until(l.startTime.Add(a.due)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		l.startRequest(a)
		if a.repeat {
			l.startRequest(p.repeatOf(a))
		}
	}
}

// startRequest runs one request in its own goroutine.
func (l *loadRun) startRequest(a arrival) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.completions <- completion{arrival: a, outcome: OutcomeUnsent}
		return
	}
	l.running.Go(func() {
		defer func() { <-l.inFlight }()
		l.completions <- l.exchange(a)
	})
}

// exchange sends one request and classifies its response.
func (l *loadRun) exchange(a arrival) completion {
	due := l.startTime.Add(a.due)
	deadline := due.Add(l.settings.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e := completion{arrival: a, outcome: OutcomeLost}
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
	e.outcome, e.worker = classifyResponse(resp.StatusCode, header, body, a.check)
	return e
}

// classifyResponse returns the outcome of a response that ended cleanly, and the
// worker that ran the request if the response is complete and belongs to the
// request.
func classifyResponse(status int, header string, body []byte, check string) (Outcome, unit.InstanceID) {
	outcome := Outcome(header)
	switch outcome {
	case OutcomeNotRun, OutcomeUnknown:
		return outcome, ""
	case OutcomeDone:
	default:
		outcome = OutcomeMissing
		if status != http.StatusOK {
			return outcome, "" // the body of an error has no check id
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

func (l *loadRun) request(ctx context.Context, a arrival, deadline time.Time) (*http.Request, error) {
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
	// The body cannot be read again, so that the transport does not retry the
	// request when a connection is lost.
	req.Body = io.NopCloser(strings.NewReader(content))
	req.ContentLength = int64(len(content))
	req.Header.Set("Monsoonfold-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	if a.key != "" {
		req.Header.Set("Idempotency-Key", a.key)
		req.Header.Set("Monsoonfold-Once", "true")
	}
	return req, nil
}
