package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/order/upstream"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// StartResponse implements upstream.Sink.
func (cr *callerRequest) StartResponse(status int, header http.Header, length int64) {
	cr.response = bufferedResponse{status: status, header: endToEnd(header), length: length}
	if length < 0 || length > maxBufferedResponse {
		cr.sendResponse()
	}
}

// Write implements upstream.Sink.
func (cr *callerRequest) Write(p []byte) (int, error) {
	if !cr.response.headerSent {
		cr.response.body = append(cr.response.body, p...)
		return len(p), nil
	}
	n, err := cr.writer.Write(p)
	if err != nil {
		return n, errors.Errorf("write response: %w", err)
	}
	return n, nil
}

// sendResponse sends the header and the buffered part of the response to the caller.
// It does nothing if the header was sent before.
func (cr *callerRequest) sendResponse() {
	resp := &cr.response
	if resp.headerSent {
		return
	}
	resp.headerSent = true
	h := cr.writer.Header()
	for k, v := range resp.header {
		h[k] = v
	}
	h.Del(upstream.HeaderState)
	if resp.length >= 0 && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	cr.setOutcomeHeaders(upstream.Done)
	// A caller that reads slowly must not occupy the slot beyond the deadline.
	_ = http.NewResponseController(cr.writer).SetWriteDeadline(cr.deadline)
	cr.writer.WriteHeader(resp.status)
	_, _ = cr.writer.Write(resp.body) // the caller may have disconnected
	resp.body = nil
}

// setOutcomeHeaders sets the headers that every response has. The request id is the
// caller's if the request has one.
func (cr *callerRequest) setOutcomeHeaders(outcome upstream.Outcome) {
	h := cr.writer.Header()
	h.Set(upstream.HeaderOutcome, string(outcome))
	h.Set(upstream.HeaderRequest, string(cr.id))
	if callerID := cr.request.Header.Get(upstream.HeaderRequest); callerID != "" {
		h.Set(upstream.HeaderRequest, callerID)
	}
}

// finish sends the failure to the caller, if there is one, and reports the end of the
// request.
func (cr *callerRequest) finish(f *failure) {
	g := cr.gateway
	if f == nil {
		g.counters.Add("done", 1)
		cr.recordSample(true)
		return
	}
	callerLeft := cr.request.Context().Err() != nil
	if !f.callerFault && !callerLeft {
		cr.recordSample(false)
	}
	if !f.callerFault {
		g.journal.Record(cr.failureEvent(f))
	}
	if f.status == 0 {
		g.counters.Add("aborted", 1)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	if callerLeft {
		g.counters.Add("abandoned", 1)
	}
	g.counters.Add(string(f.outcome), 1)
	cr.setOutcomeHeaders(f.outcome)
	http.Error(cr.writer, f.reason, f.status)
}

func (cr *callerRequest) recordSample(complete bool) {
	now := time.Now()
	s := burn.Sample{
		Time: now, Class: cr.route.class.Name,
		Good: complete && now.Sub(cr.receivedAt) <= cr.route.class.Target.Bound.Std(),
	}
	if cr.lastWorker != nil {
		s.Worker, s.Zone = cr.lastWorker.instance.ID, cr.lastWorker.instance.Zone
		cr.gateway.windows.observe(observation{
			worker: s.Worker, class: s.Class, percentile: cr.route.class.Target.Percentile,
			latency: now.Sub(cr.receivedAt), slotTime: now.Sub(cr.sentAt), complete: complete, late: !s.Good,
		})
	}
	cr.gateway.errorBudget.Observe(s)
}

func (cr *callerRequest) failureEvent(f *failure) journal.Event {
	event := journal.Event{
		Time: time.Now(),
		Subjects: []journal.Subject{
			{Kind: journal.KindRequest, ID: string(cr.id)},
			{Kind: journal.KindClass, ID: string(cr.route.class.Name)},
		},
		What: "request ended as " + string(f.outcome),
		Why:  f.reason,
	}
	if cr.lastWorker != nil {
		event.Subjects = append(event.Subjects, journal.Subject{Kind: journal.KindWorker, ID: string(cr.lastWorker.instance.ID)})
	}
	return event
}

// endToEnd returns the header without the hop-by-hop fields.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for k, v := range h {
		out[k] = v
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
