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
func (o *order) StartResponse(status int, header http.Header, length int64) {
	o.answer = answer{status: status, header: endToEnd(header), length: length}
	if length < 0 || length > maxHeld {
		o.pass()
	}
}

// Write implements upstream.Sink.
func (o *order) Write(p []byte) (int, error) {
	if !o.answer.passed {
		o.answer.held = append(o.answer.held, p...)
		return len(p), nil
	}
	n, err := o.writer.Write(p)
	if err != nil {
		return n, errors.Errorf("write response: %w", err)
	}
	return n, nil
}

// pass passes on what was held of the response.
func (o *order) pass() {
	a := &o.answer
	if a.passed {
		return
	}
	a.passed = true
	h := o.writer.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Del(upstream.HeaderState)
	if a.length >= 0 && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	o.identify(upstream.Done)
	// A caller that reads slowly must not hold the slot for longer.
	_ = http.NewResponseController(o.writer).SetWriteDeadline(o.end)
	o.writer.WriteHeader(a.status)
	_, _ = o.writer.Write(a.held) // the caller may have gone
	a.held = nil
}

// identify sets the headers of every response.
func (o *order) identify(outcome upstream.Outcome) {
	h := o.writer.Header()
	h.Set(upstream.HeaderOutcome, string(outcome))
	h.Set(upstream.HeaderRequest, string(o.id))
	if own := o.request.Header.Get(upstream.HeaderRequest); own != "" {
		h.Set(upstream.HeaderRequest, own)
	}
}

// finish answers the caller unless the response was passed on, and reports the
// end.
func (o *order) finish(v *verdict) {
	g := o.gateway
	if v == nil {
		g.counters.Add("done", 1)
		o.sample(true)
		return
	}
	gone := o.request.Context().Err() != nil
	if !v.caller && !gone {
		o.sample(false)
	}
	if !v.caller {
		g.journal.Record(o.event(v))
	}
	if v.status == 0 {
		g.counters.Add("aborted", 1)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	if gone {
		g.counters.Add("abandoned", 1)
	}
	g.counters.Add(string(v.outcome), 1)
	o.identify(v.outcome)
	http.Error(o.writer, v.why, v.status)
}

func (o *order) sample(done bool) {
	now := time.Now()
	s := burn.Sample{
		Time: now, Class: o.route.class.Name,
		Good: done && now.Sub(o.arrived) <= o.route.class.Target.Bound.Std(),
	}
	if o.last != nil {
		s.Worker, s.Zone = o.last.instance.ID, o.last.instance.Zone
		o.gateway.windows.add(passage{
			worker: s.Worker, class: s.Class, percentile: o.route.class.Target.Percentile,
			latency: now.Sub(o.arrived), busy: now.Sub(o.sent), done: done, late: !s.Good,
		})
	}
	o.gateway.burn.Observe(s)
}

func (o *order) event(v *verdict) journal.Event {
	e := journal.Event{
		Time: time.Now(),
		Subjects: []journal.Subject{
			{Kind: journal.KindRequest, ID: string(o.id)},
			{Kind: journal.KindClass, ID: string(o.route.class.Name)},
		},
		What: "request ended as " + string(v.outcome),
		Why:  v.why,
	}
	if o.last != nil {
		e.Subjects = append(e.Subjects, journal.Subject{Kind: journal.KindWorker, ID: string(o.last.instance.ID)})
	}
	return e
}

// endToEnd returns the fields that are passed on.
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
