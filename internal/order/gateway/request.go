package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/route"
	"github.com/monsoonfold/monsoonfold/internal/order/upstream"
)

// Headers that callers set.
const (
	headerDeadline       = "Monsoonfold-Deadline" // Unix milliseconds
	headerOnce           = "Monsoonfold-Once"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits of a request, in bytes.
const (
	maxRequestBody    = 1 << 20
	maxIdempotencyKey = 256
)

// The idle timeout of an idempotent request is a multiple of the latency target of its
// class, within these limits. A non-idempotent request cannot be retried, so it waits
// until its deadline.
const (
	idleTimeoutFactor = 10
	minIdleTimeout    = time.Second
	maxIdleTimeout    = 10 * time.Second
)

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	gateway       *Gateway
	writer        http.ResponseWriter
	request       *http.Request
	id            unit.RequestID
	route         classRoute
	nonIdempotent bool
	claimID       unit.RequestID // of a non-idempotent request: the id to claim
	receivedAt    time.Time
	deadline      time.Time // afterwards the response is useless to the caller, or others need the slot
	body          []byte
	releaseBody   func() // ends the use of body
	claim         claim.Result
	lastWorker    *endpoint // of the latest attempt; may be nil
	sentAt        time.Time
	response      bufferedResponse
}

// bufferedResponse is the response to the current attempt.
type bufferedResponse struct {
	status     int
	header     http.Header
	length     int64
	body       []byte // the part not yet sent to the caller
	headerSent bool   // the header was sent to the caller, so no other attempt can follow
}

// maxBufferedResponse limits the responses that are buffered until they are complete,
// so that a truncated one leads to a retry or an outcome instead of an aborted stream.
// Responses of unknown length are not buffered, since they may be event streams.
const maxBufferedResponse = 32 << 10

// failure describes a request that ended without a complete response.
type failure struct {
	outcome     upstream.Outcome
	status      int // 0: the header of the response was already sent
	reason      string
	callerFault bool // the request was invalid, which does not count against the target
}

func notRun(status int, reason string) *failure {
	return &failure{outcome: upstream.NotRun, status: status, reason: reason}
}

func badRequest(status int, reason string) *failure {
	return &failure{outcome: upstream.NotRun, status: status, reason: reason, callerFault: true}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.counters.Add("requests", 1)
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	g.dispatcher.countRequest()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	cr := &callerRequest{gateway: g, writer: w, request: r, id: g.newID(), receivedAt: time.Now(), releaseBody: func() {}}
	defer func() { cr.releaseBody() }()
	f := cr.prepare()
	if f == nil {
		f = cr.forward()
	}
	cr.finish(f)
}

// prepare validates the request and reads its body.
func (cr *callerRequest) prepare() *failure {
	g, r := cr.gateway, cr.request
	var ok bool
	if cr.route, ok = g.routes.Load().find(r.Method, r.URL.Path); !ok {
		return badRequest(http.StatusNotFound, "no class has a route for this path")
	}
	if !cr.receivedAt.Before(g.config.ServeUntil()) {
		return notRun(http.StatusServiceUnavailable, "this entry has no confirmation of its configuration")
	}
	cr.deadline = cr.receivedAt.Add(g.settings.SlotTiming.MaxRequestTime)
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return badRequest(http.StatusBadRequest, headerDeadline+" is not in Unix milliseconds")
		}
		// The wall clock is read once; from here on the deadline is monotonic.
		if deadline := cr.receivedAt.Add(time.UnixMilli(ms).Sub(cr.receivedAt)); deadline.Before(cr.deadline) {
			cr.deadline = deadline
		}
	}
	if f := cr.prepareNonIdempotent(); f != nil {
		return f
	}
	var err error
	cr.body, cr.releaseBody, err = g.limiter.ReadBody(cr.writer, r, maxRequestBody)
	switch {
	case errors.Is(err, limiter.ErrTooLarge):
		return badRequest(http.StatusRequestEntityTooLarge, "request body exceeds 1 MB")
	case errors.Is(err, limiter.ErrShort):
		return notRun(http.StatusServiceUnavailable, "no memory for the request body")
	case errors.Is(err, limiter.ErrSlow):
		return badRequest(http.StatusRequestTimeout, "request body too slow")
	case err != nil:
		return badRequest(http.StatusBadRequest, "request body incomplete")
	}
	return nil
}

// prepareNonIdempotent requires an idempotency key of a request that may run at most
// once.
func (cr *callerRequest) prepareNonIdempotent() *failure {
	cr.nonIdempotent = cr.route.Once || strings.EqualFold(cr.request.Header.Get(headerOnce), "true")
	if !cr.nonIdempotent {
		return nil
	}
	key := cr.request.Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKey {
		return badRequest(http.StatusBadRequest, "a non-idempotent request needs an "+headerIdempotencyKey+" of at most 256 bytes")
	}
	// The service is part of the id, because callers of different services may use the
	// same key.
	cr.claimID = unit.RequestID(string(cr.route.class.Service) + "\x00" + key)
	return nil
}

// forward sends the request to a worker, and retries where that is safe. It returns
// nil once the complete response was sent to the caller.
func (cr *callerRequest) forward() *failure {
	g, ctx := cr.gateway, cr.request.Context()
	var tried []unit.InstanceID
	var latest *failure // of the latest attempt
	unknown := false
	for attempt := 0; ; attempt++ {
		q := route.Request{
			Class: cr.route.class.Name, Service: cr.route.class.Service,
			SoftDeadline: cr.receivedAt.Add(cr.route.class.Target.Bound.Std()), Deadline: cr.deadline,
			Idempotent: !cr.nonIdempotent, Avoid: tried,
		}
		ep, reason := g.dispatcher.admit(ctx, &q)
		if reason != route.ReasonNone {
			if latest == nil {
				latest = notRun(http.StatusServiceUnavailable, string(reason))
			}
			return cr.finalFailure(latest, unknown)
		}
		if f := cr.claimRequest(ctx); f != nil {
			g.dispatcher.recordEnd(q.Attempt, route.ExchangeEnd{Outcome: route.Inconclusive})
			return f
		}
		result := cr.attempt(ctx, ep, q.Attempt, attempt)
		if result.Outcome == upstream.Done {
			cr.sendResponse()
			return nil
		}
		if cr.response.headerSent {
			return &failure{outcome: upstream.Unknown, reason: result.Err.Error()}
		}
		unknown = unknown || result.Outcome == upstream.Unknown
		latest = notRun(http.StatusServiceUnavailable, result.Err.Error())
		tried = append(tried, ep.id())
		if !cr.canRetry(ctx, result, attempt) {
			return cr.finalFailure(latest, unknown)
		}
		g.counters.Add("retries", 1)
	}
}

// finalFailure returns the failure of a request whose attempts all failed. Its outcome
// is not-run only if none of them may have run.
func (cr *callerRequest) finalFailure(latest *failure, unknown bool) *failure {
	if unknown {
		return &failure{outcome: upstream.Unknown, status: http.StatusBadGateway, reason: latest.reason}
	}
	if cr.claim.Outcome == claim.Granted {
		// The claim has to be deleted even if the caller has disconnected.
		counter := "claims-voided"
		if err := cr.gateway.claims.Void(context.WithoutCancel(cr.request.Context()), cr.claimID, cr.claim); err != nil {
			counter = "claims-kept"
			cr.gateway.log.Info("claim not voided; a repeat of the request is rejected", "request", cr.claimID, "error", err.Error())
		}
		cr.gateway.counters.Add(counter, 1)
	}
	return latest
}

func (cr *callerRequest) canRetry(ctx context.Context, r upstream.Result, attempt int) bool {
	if ctx.Err() != nil || attempt >= route.MaxRetries || !time.Now().Before(cr.deadline) {
		return false
	}
	if r.Outcome != upstream.NotRun && cr.nonIdempotent {
		return false
	}
	if !cr.gateway.dispatcher.takeRetry() {
		cr.gateway.counters.Add("retries-denied", 1)
		return false
	}
	return true
}

// claimRequest claims the id of a non-idempotent request before its first attempt.
func (cr *callerRequest) claimRequest(ctx context.Context) *failure {
	if !cr.nonIdempotent || cr.claim.Outcome == claim.Granted {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, cr.deadline)
	defer cancel()
	r, _ := cr.gateway.claims.Claim(ctx, cr.claimID) // the outcome reflects the error
	cr.claim = r
	switch r.Outcome {
	case claim.Granted:
		cr.gateway.counters.Add("claims", 1)
		return nil
	case claim.Taken:
		cr.gateway.counters.Add("claims-taken", 1)
		return &failure{outcome: upstream.Unknown, status: http.StatusConflict, reason: "a request with this " + headerIdempotencyKey + " was accepted before and may have run"}
	case claim.Full:
		return notRun(http.StatusServiceUnavailable, "too many non-idempotent requests in this period")
	}
	return notRun(http.StatusServiceUnavailable, "the store cannot record the "+headerIdempotencyKey)
}

// attempt runs one exchange with a worker and reports its end to the router.
func (cr *callerRequest) attempt(ctx context.Context, ep *endpoint, id route.AttemptID, number int) upstream.Result {
	g := cr.gateway
	cr.lastWorker = ep
	if ep == nil { // the worker was removed from the list after the decision
		g.dispatcher.recordEnd(id, route.ExchangeEnd{Outcome: route.Inconclusive})
		return upstream.Result{Outcome: upstream.NotRun, Err: errDraining}
	}
	now := time.Now()
	cr.sentAt = now
	firstByteDeadline := cr.deadline
	if !cr.nonIdempotent {
		idle := min(max(idleTimeoutFactor*cr.route.class.Target.Bound.Std(), minIdleTimeout), maxIdleTimeout)
		if byIdleTimeout := now.Add(idle); byIdleTimeout.Before(firstByteDeadline) {
			firstByteDeadline = byIdleTimeout
		}
	}
	r := ep.pool.Exchange(ctx, &upstream.Request{
		// Each attempt has its own id, so that a late response to one attempt does not
		// match the next one.
		ID:                cr.id + unit.RequestID("."+strconv.Itoa(number)),
		Method:            cr.request.Method,
		URL:               cr.request.URL,
		Host:              hostOf(cr.request, ep),
		Header:            endToEnd(cr.request.Header),
		Body:              cr.body,
		FirstByteDeadline: firstByteDeadline,
		Deadline:          cr.deadline,
		Allow:             func(now time.Time) error { return cr.checkSend(ep, now) },
	}, cr)
	g.dispatcher.recordEnd(id, exchangeEnd(r))
	cr.countErrors(r)
	return r
}

// checkSend repeats the checks whose result may have changed since the decision.
func (cr *callerRequest) checkSend(ep *endpoint, now time.Time) error {
	if !now.Before(cr.gateway.config.ServeUntil()) {
		return errors.New("this entry has no confirmation of its configuration")
	}
	if !now.Before(cr.deadline) {
		return errors.New("the deadline has passed")
	}
	return cr.gateway.dispatcher.checkSend(ep.instance.ID, now)
}

func exchangeEnd(r upstream.Result) route.ExchangeEnd {
	end := route.ExchangeEnd{Outcome: route.Failed, Latency: r.Latency, Draining: r.Draining, MayRun: r.Outcome == upstream.Unknown}
	switch {
	case r.Outcome == upstream.Done && r.Status < http.StatusInternalServerError:
		end.Outcome = route.Succeeded
	case r.Outcome == upstream.Done:
		end.Outcome = route.ServiceError
	case errors.Is(r.Err, upstream.ErrRejected):
		end.Outcome = route.Busy
	case errors.Is(r.Err, upstream.ErrAbandoned), errors.Is(r.Err, upstream.ErrNotAllowed),
		errors.Is(r.Err, upstream.ErrLimit), errors.Is(r.Err, upstream.ErrClosed):
		end.Outcome = route.Inconclusive
	case errors.Is(r.Err, upstream.ErrConnect):
		end.Outcome = route.ConnectFailed
	}
	return end
}

func (cr *callerRequest) countErrors(r upstream.Result) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"hung", upstream.ErrHung},
		{"mismatched", upstream.ErrMismatch},
		{"truncated", upstream.ErrTruncated},
		{"oversized", upstream.ErrOversized},
	} {
		if errors.Is(r.Err, c.err) {
			cr.gateway.counters.Add(c.name, 1)
		}
	}
}

func (ep *endpoint) id() unit.InstanceID {
	if ep == nil {
		return ""
	}
	return ep.instance.ID
}

func hostOf(r *http.Request, ep *endpoint) string {
	if r.Host == "" { // HTTP/1.0
		return ep.instance.Upstream
	}
	return r.Host
}

// hopByHop are the header fields that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}
