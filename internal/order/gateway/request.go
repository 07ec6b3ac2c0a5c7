package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/route"
	"github.com/monsoonfold/monsoonfold/internal/order/upstream"
)

// Headers that callers set.
const (
	headerDeadline = "Monsoonfold-Deadline" // Unix milliseconds
	headerOnce     = "Monsoonfold-Once"
	headerKey      = "Idempotency-Key"
)

// Limits of a request.
const (
	maxRequestBody = 1 << 20
	maxKey         = 256
)

// The idle timeout of an idempotent request is a multiple of its class's bound
// within these limits. A non-idempotent request cannot be retried, so it waits to
// its end.
const (
	idleFactor = 10
	minIdle    = time.Second
	maxIdle    = 10 * time.Second
)

// order is one request of a caller on its way.
type order struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	id      unit.RequestID
	route   classRoute
	once    bool
	key     unit.RequestID // once only: what is claimed
	arrived time.Time
	end     time.Time // the response is useless, or the slot needed, afterwards
	body    []byte
	claim   claim.Result
	last    *endpoint // of the latest attempt
	sent    time.Time
	answer  answer
}

// answer is the response of the present attempt.
type answer struct {
	status int
	header http.Header
	length int64
	held   []byte // not yet passed on
	passed bool   // the header was passed on, so no other attempt can follow
}

// maxHeld bounds the responses that are held until they are complete, so that the
// caller gets another attempt or an outcome instead of an aborted stream. Only
// responses of known length are held; others may be streams of events.
const maxHeld = 32 << 10

// verdict is the end of an order without a complete response.
type verdict struct {
	outcome upstream.Outcome
	status  int
	why     string
	caller  bool // the fault is the caller's, which does not count against the target
}

func notRun(status int, why string) *verdict {
	return &verdict{outcome: upstream.NotRun, status: status, why: why}
}

func badRequest(status int, why string) *verdict {
	return &verdict{outcome: upstream.NotRun, status: status, why: why, caller: true}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.counters.Add("requests", 1)
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	g.dispatcher.countRequest()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	o := &order{gateway: g, writer: w, request: r, id: g.newID(), arrived: time.Now()}
	v := o.accept()
	if v == nil {
		v = o.forward()
	}
	o.finish(v)
}

// accept checks the request and reads its body.
func (o *order) accept() *verdict {
	g, r := o.gateway, o.request
	var ok bool
	if o.route, ok = g.routes.Load().find(r.Method, r.URL.Path); !ok {
		return badRequest(http.StatusNotFound, "no class has a route for this path")
	}
	if !o.arrived.Before(g.config.ServeUntil()) {
		return notRun(http.StatusServiceUnavailable, "this entry has no confirmation of its configuration")
	}
	o.end = o.arrived.Add(g.settings.Rules.MaxRequestTime)
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return badRequest(http.StatusBadRequest, headerDeadline+" is not in Unix milliseconds")
		}
		// The wall clock is read once; from here on the deadline is monotonic.
		if end := o.arrived.Add(time.UnixMilli(ms).Sub(o.arrived)); end.Before(o.end) {
			o.end = end
		}
	}
	if v := o.acceptOnce(); v != nil {
		return v
	}
	var err error
	o.body, err = io.ReadAll(http.MaxBytesReader(o.writer, r.Body, maxRequestBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return badRequest(http.StatusRequestEntityTooLarge, "request body exceeds 1 MB")
	case err != nil:
		return badRequest(http.StatusBadRequest, "request body incomplete")
	}
	return nil
}

func (o *order) acceptOnce() *verdict {
	o.once = o.route.Once || strings.EqualFold(o.request.Header.Get(headerOnce), "true")
	if !o.once {
		return nil
	}
	key := o.request.Header.Get(headerKey)
	if key == "" || len(key) > maxKey {
		return badRequest(http.StatusBadRequest, "a non-idempotent request needs an "+headerKey+" of at most 256 bytes")
	}
	// Callers of different services may use the same key.
	o.key = unit.RequestID(string(o.route.class.Service) + "\x00" + key)
	return nil
}

// forward sends the request, again after an attempt that allows it. It returns
// nil once the response was passed on.
func (o *order) forward() *verdict {
	g, ctx := o.gateway, o.request.Context()
	var tried []unit.InstanceID
	var fault *verdict // of the latest attempt
	unknown := false
	for attempt := 0; ; attempt++ {
		q := route.Request{
			Class: o.route.class.Name, Service: o.route.class.Service,
			SoftDeadline: o.arrived.Add(o.route.class.Target.Bound.Std()), Deadline: o.end,
			Idempotent: !o.once, Avoid: tried,
		}
		s, reason := g.dispatcher.admit(ctx, &q)
		if reason != route.ReasonNone {
			if fault == nil {
				fault = notRun(http.StatusServiceUnavailable, string(reason))
			}
			return o.settle(fault, unknown)
		}
		if v := o.claimOnce(ctx); v != nil {
			g.dispatcher.ended(q.Attempt, route.ExchangeEnd{Outcome: route.Inconclusive})
			return v
		}
		result := o.attempt(ctx, s, q.Attempt, attempt)
		if result.Outcome == upstream.Done {
			o.pass()
			return nil
		}
		if o.answer.passed {
			return &verdict{outcome: upstream.Unknown, why: result.Err.Error()}
		}
		unknown = unknown || result.Outcome == upstream.Unknown
		fault = notRun(http.StatusServiceUnavailable, result.Err.Error())
		tried = append(tried, s.id())
		if !o.mayRetry(ctx, result, attempt) {
			return o.settle(fault, unknown)
		}
		g.counters.Add("retries", 1)
	}
}

// settle ends an order whose attempts all failed. It did not run only if none of
// them may have run.
func (o *order) settle(fault *verdict, unknown bool) *verdict {
	if unknown {
		return &verdict{outcome: upstream.Unknown, status: http.StatusBadGateway, why: fault.why}
	}
	if o.claim.Outcome == claim.Granted {
		// The caller's context may have ended, and the claim must still go.
		if err := o.gateway.claims.Void(context.WithoutCancel(o.request.Context()), o.key, o.claim); err == nil {
			o.gateway.counters.Add("claims-voided", 1)
		}
	}
	return fault
}

func (o *order) mayRetry(ctx context.Context, r upstream.Result, attempt int) bool {
	if ctx.Err() != nil || attempt >= route.MaxRetries || !time.Now().Before(o.end) {
		return false
	}
	if r.Outcome != upstream.NotRun && o.once {
		return false
	}
	if !o.gateway.dispatcher.mayRetry() {
		o.gateway.counters.Add("retries-denied", 1)
		return false
	}
	return true
}

// claimOnce claims the id of a non-idempotent request before its first attempt.
func (o *order) claimOnce(ctx context.Context) *verdict {
	if !o.once || o.claim.Outcome == claim.Granted {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, o.end)
	defer cancel()
	r, _ := o.gateway.claims.Claim(ctx, o.key) // the verdict covers the error
	o.claim = r
	switch r.Outcome {
	case claim.Granted:
		o.gateway.counters.Add("claims", 1)
		return nil
	case claim.Taken:
		o.gateway.counters.Add("claims-taken", 1)
		return &verdict{outcome: upstream.Unknown, status: http.StatusConflict, why: "a request with this " + headerKey + " was accepted before and may have run"}
	case claim.Full:
		return notRun(http.StatusServiceUnavailable, "too many non-idempotent requests in this period")
	}
	return notRun(http.StatusServiceUnavailable, "the store cannot record the "+headerKey)
}

// attempt runs one exchange and reports its end to the router.
func (o *order) attempt(ctx context.Context, s *endpoint, t route.AttemptID, number int) upstream.Result {
	g := o.gateway
	o.last = s
	if s == nil { // the worker left the list since the decision
		g.dispatcher.ended(t, route.ExchangeEnd{Outcome: route.Inconclusive})
		return upstream.Result{Outcome: upstream.NotRun, Err: errDraining}
	}
	now := time.Now()
	o.sent = now
	firstByteBy := o.end
	if !o.once {
		idle := min(max(idleFactor*o.route.class.Target.Bound.Std(), minIdle), maxIdle)
		if by := now.Add(idle); by.Before(firstByteBy) {
			firstByteBy = by
		}
	}
	r := s.pool.Exchange(ctx, &upstream.Request{
		// Attempts have ids of their own, so that the late response to one is no
		// match for the next.
		ID:                o.id + unit.RequestID("."+strconv.Itoa(number)),
		Method:            o.request.Method,
		URL:               o.request.URL,
		Host:              hostOf(o.request, s),
		Header:            endToEnd(o.request.Header),
		Body:              o.body,
		FirstByteDeadline: firstByteBy,
		Deadline:          o.end,
		Allow:             func(now time.Time) error { return o.allow(s, now) },
	}, o)
	g.dispatcher.ended(t, endOf(r))
	o.count(r)
	return r
}

// allow repeats the checks that time may have overtaken since the decision.
func (o *order) allow(s *endpoint, now time.Time) error {
	if !now.Before(o.gateway.config.ServeUntil()) {
		return errors.New("this entry has no confirmation of its configuration")
	}
	if !now.Before(o.end) {
		return errors.New("the deadline has passed")
	}
	return o.gateway.dispatcher.allowed(s.instance.ID, now)
}

func endOf(r upstream.Result) route.ExchangeEnd {
	e := route.ExchangeEnd{Outcome: route.Failed, Latency: r.Latency, Draining: r.Draining, MayRun: r.Outcome == upstream.Unknown}
	switch {
	case r.Outcome == upstream.Done && r.Status < http.StatusInternalServerError:
		e.Outcome = route.Succeeded
	case r.Outcome == upstream.Done:
		e.Outcome = route.ServiceError
	case errors.Is(r.Err, upstream.ErrRejected):
		e.Outcome = route.Busy
	case errors.Is(r.Err, upstream.ErrAbandoned), errors.Is(r.Err, upstream.ErrNotAllowed),
		errors.Is(r.Err, upstream.ErrLimit), errors.Is(r.Err, upstream.ErrClosed):
		e.Outcome = route.Inconclusive
	case errors.Is(r.Err, upstream.ErrConnect):
		e.Outcome = route.ConnectFailed
	}
	return e
}

func (o *order) count(r upstream.Result) {
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
			o.gateway.counters.Add(c.name, 1)
		}
	}
}

func (s *endpoint) id() unit.InstanceID {
	if s == nil {
		return ""
	}
	return s.instance.ID
}

func hostOf(r *http.Request, s *endpoint) string {
	if r.Host == "" { // HTTP/1.0
		return s.instance.Upstream
	}
	return r.Host
}

// hopByHop are the fields that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}
