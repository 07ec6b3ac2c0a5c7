package replay

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/control"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
)

// updateSlowdown updates the factor of service times of each worker from its load
// and its tasks.
func (w *world) updateSlowdown() {
	for _, n := range w.nodes {
		n.load += 0.3 * (n.busy.Seconds()/tick.Seconds()/float64(w.trace.Header.Slots) - n.load)
		n.busy = 0
		n.bursts = slices.DeleteFunc(n.bursts, func(b burst) bool { return b.until <= w.now })
		if n.slowUntil <= w.now {
			n.slow = 1
		}
		for i, c := range w.requests {
			disturbance := 0.0
			for _, r := range n.runs {
				d := r.class.Harm[c.Name] * w.usedCores(r) / float64(n.Capacity.Cores)
				for _, b := range n.bursts {
					if b.class == r.class.Name {
						d *= b.factor
					}
				}
				disturbance += d
			}
			n.slowdown[i] = n.slow * (1 + (0.6+0.8*min(n.load, 1))*math.Pow(disturbance, convexity))
		}
	}
	for _, e := range w.entries {
		e.tick()
	}
}

// serve simulates the requests that arrive before until.
func (w *world) serve(until time.Duration) {
	total := 0.0
	for _, r := range w.rates {
		total += r
	}
	if total == 0 {
		return
	}
	at := w.now
	for {
		at += time.Duration(w.arrivals.ExpFloat64() / total * float64(time.Second))
		if at >= until {
			break
		}
		w.endRequests(at)
		w.request(at, total)
	}
	w.endRequests(until)
}

func (w *world) request(at time.Duration, total float64) {
	pick, class := w.arrivals.Float64()*total, 0
	for class < len(w.rates)-1 && pick >= w.rates[class] {
		pick -= w.rates[class]
		class++
	}
	c := &w.requests[class]
	work := c.Median.Std().Seconds() * math.Exp(c.Spread*w.arrivals.NormFloat64())
	e := w.arrivals.IntN(len(w.entries))
	chosen := w.router.choose(at, w.entries[e].lanes, w.choices)
	if chosen < 0 {
		w.result.Rejected++
		w.recordLatency(class, requestTimeout)
		return
	}
	w.entries[e].lanes[chosen].inFlight++
	n := w.nodes[chosen]
	hop := w.trace.Header.ZoneDelay.Std()
	rep := reply{entry: e, node: chosen, class: class, boot: n.boot}
	if !n.up {
		rep.latency, rep.boot = requestTimeout, -1
	} else {
		slot := 0
		for i, free := range n.free[e] {
			if free < n.free[e][slot] {
				slot = i
			}
		}
		begin := max(at+hop, n.free[e][slot])
		if begin-at > maxWait {
			w.entries[e].lanes[chosen].inFlight--
			w.result.Rejected++
			w.recordLatency(class, maxWait)
			return
		}
		served := time.Duration(work * n.slowdown[class] * float64(time.Second))
		n.free[e][slot] = begin + served
		n.busy += served
		rep.latency = begin + served + hop - at + w.trace.Header.CallerWait.Std()
	}
	rep.at = at + rep.latency
	heap.Push(&w.replies, rep)
}

// endRequests ends the requests whose reply is due.
func (w *world) endRequests(at time.Duration) {
	for len(w.replies) > 0 && w.replies[0].at <= at {
		r := heap.Pop(&w.replies).(reply)
		n := w.nodes[r.node]
		lost := r.boot != n.boot
		if lost {
			r.latency = max(r.latency, requestTimeout)
		}
		w.entries[r.entry].endRequest(r.at, r.node, r.class, r.latency, lost)
		w.recordLatency(r.class, r.latency)
		if !lost {
			n.latencies[r.class] = append(n.latencies[r.class], r.latency)
			if r.latency > w.requests[r.class].Target.Bound.Std() {
				n.late[r.class]++
			}
		}
	}
}

func (w *world) recordLatency(class int, latency time.Duration) {
	w.result.Requests[class]++
	if latency > w.requests[class].Target.Bound.Std() {
		w.result.Late[class]++
	}
	us := min(latency.Microseconds(), 99e6)
	_ = w.result.Latency[class].RecordValue(us) // us is below the highest trackable value
	_ = w.result.window[class].RecordValue(us)
}

// report creates the reports of the workers whose interval ends now, and delivers
// the reports that are due.
func (w *world) report() {
	for i, n := range w.nodes {
		if (int(w.now/tick)+i)%reportInterval != 0 || !n.up {
			continue
		}
		r := report{worker: n.ID, due: w.now + reportLag}
		until := origin.Add(w.now)
		shares := map[unit.ClassID]float64{}
		for _, t := range n.runs {
			shares[t.class.Name] += w.usedCores(t) / float64(n.Capacity.Cores)
			r.usage = append(r.usage, usage{t.item, t.ref, unit.Resources{
				Cores:  min(t.size.Cores, t.demand.Cores),
				Memory: unit.Bytes(float64(t.demand.Memory) * min(1, t.age.Seconds()/memoryFillTime.Seconds())),
			}, t.age})
		}
		for c, class := range w.requests {
			latencies := n.latencies[c]
			if len(latencies) > 0 {
				slices.Sort(latencies)
				r.samples = append(r.samples, interference.Sample{
					Time: until, Class: class.Name, Band: interference.BandOf(n.load), Requests: len(latencies),
					Latency: latencies[len(latencies)/2], Shares: shares,
				})
				r.tails = append(r.tails, latencies[int(float64(len(latencies)-1)*class.Target.Percentile/100)])
				r.signals = append(r.signals, control.Signal{
					Worker: n.ID, Class: class.Name, From: until.Add(-reportInterval * tick), Until: until,
					Requests: len(latencies), Late: n.late[c],
				})
			}
			n.latencies[c], n.late[c] = latencies[:0], 0
		}
		w.reports = append(w.reports, r)
	}
	for len(w.reports) > 0 && w.reports[0].due <= w.now {
		w.sched.handleReport(w.reports[0])
		w.reports = w.reports[1:]
	}
}

func (w *world) plotPoint() {
	for i, h := range w.result.window {
		w.result.Series[i] = append(w.result.Series[i], float64(h.ValueAtQuantile(99))/1e6)
		h.Reset()
	}
}
