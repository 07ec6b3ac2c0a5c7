package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // fixes the seed of rapid unless -rapid.seed is set
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

var start = time.Unix(1000, 0)

// TestChoice guards against a choice that ignores the measurements of the workers, and
// against a worker that is never tried again.
func TestChoice(t *testing.T) {
	ok := func(d time.Duration) ExchangeEnd { return ExchangeEnd{Outcome: Succeeded, Latency: d} }
	type event struct {
		worker unit.InstanceID
		end    ExchangeEnd
		times  int
		at     time.Duration
	}
	slow := event{"w1", ok(100 * time.Millisecond), 10, 0}
	fast := event{"w2", ok(10 * time.Millisecond), 10, 0}
	failed := event{"w1", ExchangeEnd{Outcome: Failed}, 3, 0}
	tests := []struct {
		name   string
		events []event
		after  time.Duration
		once   bool // the request is not idempotent
		avoid  unit.InstanceID
		want   unit.InstanceID
	}{
		{name: "slow worker", events: []event{fast, slow}, want: "w2"},
		{name: "tried before", events: []event{fast, slow}, avoid: "w2", want: "w1"},
		{name: "one failure", events: []event{{"w1", ExchangeEnd{Outcome: Failed}, 1, 0}}, want: "w2"},
		{name: "errors of the service", events: []event{{"w1", ExchangeEnd{Outcome: ServiceError}, 10, 0}}, want: "w2"},
		{name: "failure long ago", events: []event{{"w1", ExchangeEnd{Outcome: Failed}, 1, 0}, {"w2", ok(21 * time.Millisecond), 1, time.Hour}}, after: time.Hour, want: "w1"},
		{name: "set aside", events: []event{failed, {"w2", ok(time.Second), 10, 0}}, want: "w2"},
		{name: "probed", events: []event{failed}, after: time.Second, want: "w1"},
		{name: "not probed by a non-idempotent request", events: []event{failed}, after: time.Second, once: true, want: "w2"},
		{name: "probe succeeded", events: []event{failed, {"w2", ok(time.Second), 10, 0}, {"w1", ok(time.Millisecond), 1, 0}}, want: "w1"},
		{name: "dead", events: []event{{"w1", ExchangeEnd{Outcome: ConnectFailed}, 1, 0}}, after: 900 * time.Millisecond, want: "w2"},
		{name: "busy", events: []event{fast, slow, {"w2", ExchangeEnd{Outcome: Busy}, 1, 0}}, want: "w1"},
		{name: "reported draining by the worker", events: []event{{"w1", ExchangeEnd{Outcome: Succeeded, Draining: true, Latency: time.Millisecond}, 1, 0}}, after: 30 * time.Second, want: "w2"},
		{name: "may still run", events: []event{{"w1", ExchangeEnd{Outcome: Inconclusive, MayRun: true}, 1, 0}}, want: "w2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.SetWorkers([]Worker{{ID: "w1", Service: "s", Slots: 4}, {ID: "w2", Service: "s", Slots: 4}}, start)
			for _, e := range tt.events {
				for i := range e.times {
					id := AttemptID(100 + i)
					r.send(r.workers[e.worker], &Request{Attempt: id, Class: "c"})
					r.HandleEnd(id, e.end, start.Add(e.at))
				}
			}
			now := start.Add(tt.after)
			q := request(1, now)
			q.Idempotent = !tt.once
			q.Avoid = []unit.InstanceID{tt.avoid}
			d, _ := r.Route(q, now)
			if diff := cmp.Diff(Decision{Attempt: 1, Worker: tt.want}, d); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmission guards against a request that is queued although it cannot meet its
// deadline, and against a request that is rejected although it can.
func TestAdmission(t *testing.T) {
	one := []Worker{{ID: "w1", Service: "s", Slots: 1}}
	tests := []struct {
		name     string
		workers  []Worker
		sent     int // number of earlier requests that take a slot
		waiting  int // number of earlier requests that are queued
		deadline time.Duration
		want     Reason
		waits    bool // the request is queued
	}{
		{name: "no worker", want: ReasonNoWorker, deadline: time.Second},
		{name: "no slot", workers: []Worker{{ID: "w1", Service: "s"}}, want: ReasonNoSlot, deadline: time.Second},
		{name: "all draining", workers: []Worker{{ID: "w1", Service: "s", Slots: 1, Draining: true}}, want: ReasonNoWorker, deadline: time.Second},
		{name: "free slot", workers: one, deadline: time.Millisecond},
		{name: "deadline passed", workers: one, want: ReasonDeadline},
		{name: "waits", workers: one, sent: 1, waiting: 10, deadline: time.Second, waits: true},
		{name: "queue too long for the deadline", workers: one, sent: 1, waiting: 60, deadline: time.Second, want: ReasonDeadline},
		{name: "queue full", workers: one, sent: 1, waiting: maxQueuedPerClass, deadline: time.Hour, want: ReasonQueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.SetWorkers(tt.workers, start)
			for i := range tt.sent + tt.waiting {
				r.Route(request(AttemptID(i), start), start)
			}
			q := request(9999, start)
			q.Deadline = start.Add(tt.deadline)
			d, decided := r.Route(q, start)
			if decided == tt.waits || d.Reason != tt.want {
				t.Errorf("decided %v with reason %q, want %v, %q", decided, d.Reason, !tt.waits, tt.want)
			}
		})
	}
}

// TestOrder guards against a queue that sends requests past their soft deadline before
// those that can still meet theirs.
func TestOrder(t *testing.T) {
	tests := []struct {
		name          string
		softDeadlines []time.Duration // by attempt id, from 1
		at            time.Duration
		want          []AttemptID
	}{
		{"least remaining time first", []time.Duration{3 * time.Second, time.Second, 2 * time.Second}, 0, []AttemptID{2, 3, 1}},
		{"overdue requests last", []time.Duration{3 * time.Second, time.Second, 2 * time.Second}, 1500 * time.Millisecond, []AttemptID{3, 1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.SetWorkers([]Worker{{ID: "w1", Service: "s", Slots: 1}}, start)
			r.Route(request(100, start), start)
			for i, softDeadline := range tt.softDeadlines {
				q := request(AttemptID(i+1), start)
				q.SoftDeadline = start.Add(softDeadline)
				r.Route(q, start)
			}
			var got []AttemptID
			for running := AttemptID(100); r.Waiting() > 0; {
				for _, d := range r.HandleEnd(running, ExchangeEnd{Outcome: Inconclusive}, start.Add(tt.at)) {
					got, running = append(got, d.Attempt), d.Attempt
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRecovery guards against a class whose requests are rejected forever after a
// period of high latency.
func TestRecovery(t *testing.T) {
	r := New()
	r.SetWorkers([]Worker{{ID: "w1", Service: "s", Slots: 1}}, start)
	for i := range 50 {
		r.Route(request(AttemptID(i), start), start)
		r.HandleEnd(AttemptID(i), ExchangeEnd{Outcome: Succeeded, Latency: 5 * time.Second}, start)
	}
	for _, later := range []time.Duration{0, 5 * time.Minute} {
		now := start.Add(later)
		r.Route(request(100, now), now)
		q := request(101, now)
		q.Deadline = now.Add(time.Second)
		if _, decided := r.Route(q, now); decided != (later == 0) {
			t.Errorf("after %v: decided %v", later, decided)
		}
		r.Abandon(101)
		r.HandleEnd(100, ExchangeEnd{Outcome: Inconclusive}, now)
	}
}

// TestAllQuarantined guards against workers that all stay quarantined long after the
// common cause of their failures has passed.
func TestAllQuarantined(t *testing.T) {
	tests := []struct {
		name    string
		serving bool // another worker serves
		after   time.Duration
		want    bool
	}{
		{"all quarantined, at once", false, 0, false},
		{"all quarantined, after the minimum", false, minQuarantine, true},
		{"another worker serves", true, minQuarantine, false},
		{"another worker serves, later", true, 8 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			workers := []Worker{{ID: "w1", Service: "s", Slots: 1}}
			if tt.serving {
				workers = append(workers, Worker{ID: "w2", Service: "s", Slots: 1})
			}
			r.SetWorkers(workers, start)
			now := start
			for range 4 { // quarantined for 1, 2, 4 and 8 s
				r.MarkUnreachable("w1", now)
				now = r.workers["w1"].probeTime
			}
			now = now.Add(tt.after - 8*time.Second)
			d, decided := r.Route(request(1, now), now)
			if got := decided && d.Worker == "w1"; got != tt.want {
				t.Errorf("probed: %v, decision %+v", got, d)
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int // in each of 10 seconds
		want     int // retries in the last second
	}{
		{"no load", 0, 1},
		{"small load", 5, 5},
		{"load", 100, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b RetryBudget
			b.RecordRequest(start.Add(-time.Hour))
			for s := range 10 {
				for range tt.requests {
					b.RecordRequest(start.Add(time.Duration(s) * time.Second))
				}
			}
			got := 0
			for range 1000 {
				if b.TakeRetry(start.Add(9 * time.Second)) {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}

// TestRouter guards against more requests at a worker than it has slots, requests sent
// to a draining worker, and requests that get no decision or more than one.
func TestRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		now := start
		var workers []Worker
		undecided := map[AttemptID]bool{}
		sent := map[AttemptID]unit.InstanceID{}
		lastID := AttemptID(0)
		handle := func(decisions ...Decision) {
			for _, d := range decisions {
				if !undecided[d.Attempt] {
					t.Fatalf("second decision on attempt %d", d.Attempt)
				}
				delete(undecided, d.Attempt)
				if d.Reason != "" {
					continue
				}
				sent[d.Attempt] = d.Worker
				i := slices.IndexFunc(workers, func(w Worker) bool { return w.ID == d.Worker })
				if i < 0 || workers[i].Draining || !r.MaySend(d.Worker, now) {
					t.Fatalf("sent to %s, which accepts no requests", d.Worker)
				}
				if n := r.workers[d.Worker].inUse; n > workers[i].Slots {
					t.Fatalf("%d requests at %s with %d slots", n, d.Worker, workers[i].Slots)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"set workers": func(t *rapid.T) {
				workers = nil
				for i := range 3 {
					if rapid.Bool().Draw(t, "present") {
						workers = append(workers, Worker{
							ID: unit.InstanceID(fmt.Sprint("w", i)), Service: "s",
							Slots:    rapid.IntRange(0, 3).Draw(t, "slots"),
							Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
						})
					}
				}
				handle(r.SetWorkers(workers, now)...)
			},
			"arrive": func(t *rapid.T) {
				lastID++
				q := request(lastID, now)
				q.SoftDeadline = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "due")) * time.Millisecond)
				q.Deadline = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)
				q.Idempotent = rapid.Bool().Draw(t, "idempotent")
				undecided[lastID] = true
				if d, decided := r.Route(q, now); decided {
					handle(d)
				}
			},
			"end": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				ids := slices.Sorted(func(yield func(AttemptID) bool) {
					for k := range sent {
						if !yield(k) {
							return
						}
					}
				})
				id := rapid.SampledFrom(ids).Draw(t, "ticket")
				delete(sent, id)
				handle(r.HandleEnd(id, ExchangeEnd{
					Outcome:  rapid.SampledFrom([]Outcome{Succeeded, Inconclusive, Busy, ServiceError, Failed, ConnectFailed}).Draw(t, "verdict"),
					Latency:  time.Duration(rapid.IntRange(0, 200).Draw(t, "latency")) * time.Millisecond,
					Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
					MayRun:   rapid.Bool().Draw(t, "may run"),
				}, now)...)
			},
			"abandon": func(t *rapid.T) {
				id := AttemptID(rapid.IntRange(0, int(lastID)).Draw(t, "ticket"))
				if got := r.Abandon(id); got != undecided[id] {
					t.Fatalf("abandon of %d: %v", id, got)
				}
				delete(undecided, id)
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				handle(r.Tick(now)...)
			},
			"": func(t *rapid.T) {
				if r.Waiting() != len(undecided) || len(r.sent) != len(sent) {
					t.Fatalf("%d requests are queued and %d are sent, want %d and %d", r.Waiting(), len(r.sent), len(undecided), len(sent))
				}
				if len(undecided) > 0 && r.NextTick(now).IsZero() && len(sent) == 0 {
					t.Fatal("requests are queued, but no event can lead to a decision")
				}
			},
		})
	})
}

// request returns an idempotent request with a distant deadline.
func request(id AttemptID, now time.Time) Request {
	return Request{
		Attempt: id, Class: "c", Service: "s", Idempotent: true,
		SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Hour),
	}
}

// BenchmarkRoute measures a decision among the workers on which one of 40 entries holds
// a slot at the scale target.
func BenchmarkRoute(b *testing.B) {
	r := New()
	var workers []Worker
	for i := range 880 {
		workers = append(workers, Worker{ID: unit.InstanceID(fmt.Sprint("w", i)), Service: "s", Slots: 1})
	}
	r.SetWorkers(workers, start)
	b.ReportAllocs()
	for b.Loop() {
		r.Route(request(1, start), start)
		r.HandleEnd(1, ExchangeEnd{Outcome: Succeeded, Latency: time.Millisecond}, start)
	}
}

// TestMaySend guards against a request that is sent to a worker which stopped accepting
// requests between the decision and the send.
func TestMaySend(t *testing.T) {
	serving := Worker{ID: "w1", Service: "s", Slots: 2}
	tests := []struct {
		name   string
		change func(*Router)
		want   bool
	}{
		{"no change", func(*Router) {}, true},
		{"draining in the list", func(r *Router) {
			w := serving
			w.Draining = true
			r.SetWorkers([]Worker{w}, start)
		}, false},
		{"reported draining by the worker", func(r *Router) {
			r.Route(request(2, start), start)
			r.HandleEnd(2, ExchangeEnd{Outcome: Succeeded, Latency: time.Millisecond, Draining: true}, start)
		}, false},
		{"slots lost", func(r *Router) {
			w := serving
			w.Slots = 0
			r.SetWorkers([]Worker{w}, start)
		}, false},
		{"left the list", func(r *Router) { r.SetWorkers(nil, start) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.SetWorkers([]Worker{serving}, start)
			if d, decided := r.Route(request(1, start), start); !decided || d.Worker != "w1" {
				t.Fatalf("decision %+v, %v", d, decided)
			}
			tt.change(r)
			if got := r.MaySend("w1", start); got != tt.want {
				t.Errorf("may send: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestExceedsShares guards against slots that are acknowledged as released while a
// request on them is still in flight.
func TestExceedsShares(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Router)
		share  int // of each worker
		want   bool
	}{
		{"within the share", func(*Router) {}, 1, false},
		{"slot lost", func(*Router) {}, 0, true},
		{"worker left the list", func(r *Router) { r.SetWorkers(nil, start) }, 0, true},
		{"ended", func(r *Router) {
			r.HandleEnd(1, ExchangeEnd{Outcome: Succeeded, Latency: time.Millisecond}, start)
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.SetWorkers([]Worker{{ID: "w1", Service: "s", Slots: 2}}, start)
			if _, decided := r.Route(request(1, start), start); !decided {
				t.Fatal("request was not sent")
			}
			tt.change(r)
			if got := r.ExceedsShares(func(unit.InstanceID) int { return tt.share }, start); got != tt.want {
				t.Errorf("exceeds shares: %v, want %v", got, tt.want)
			}
		})
	}
}
