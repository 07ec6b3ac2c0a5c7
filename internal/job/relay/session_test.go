package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
)

// heartbeatFleet keeps the heartbeats that its workers get.
type heartbeatFleet struct {
	mu   sync.Mutex
	got  []sentHeartbeat
	runs int // in each report
}

// sentHeartbeat is a heartbeat as a worker gets it.
type sentHeartbeat struct {
	Worker  unit.InstanceID
	Fence   unit.Epoch
	Renewal scheduler.Renewal
	Wait    time.Duration
}

func (f *heartbeatFleet) Connect(id unit.InstanceID, _ string) owner.Worker {
	return &heartbeatWorker{fleet: f, id: id}
}

// heartbeatWorker answers after the wait of a heartbeat; "fault" panics, "silent" does not
// answer.
type heartbeatWorker struct {
	owner.Worker
	fleet *heartbeatFleet
	id    unit.InstanceID
}

func (w *heartbeatWorker) Heartbeat(ctx context.Context, fence unit.Epoch, r scheduler.Renewal, d time.Duration) (scheduler.Report, unit.WorkerTime, error) {
	w.fleet.mu.Lock()
	w.fleet.got = append(w.fleet.got, sentHeartbeat{w.id, fence, r, d})
	w.fleet.mu.Unlock()
	switch w.id {
	case "fault":
		panic("fault in the client")
	case "silent":
		d = time.Hour
	}
	if !wait.For(ctx, d) {
		return scheduler.Report{}, 0, ctx.Err()
	}
	report := scheduler.Report{Incarnation: 5}
	for i := range w.fleet.runs {
		report.Running = append(report.Running, scheduler.RunStatus{Task: graph.Task{Job: "j", Index: unit.TaskIndex(i)}, Run: 1, ProgressPercent: 50})
	}
	return report, 77, nil
}

func (*heartbeatWorker) Close() {}

// sessionNetwork passes calls to the service of the same process.
type sessionNetwork struct{ to *Service }

func (sessionNetwork) Handle(mesh.Kind, mesh.Handler) {}

func (n sessionNetwork) Call(ctx context.Context, _ unit.EntryID, _ mesh.Kind, request []byte) ([]byte, error) {
	return n.to.handleHeartbeats(ctx, "owner", request)
}

// answerOf is what a test checks of an answer.
type answerOf struct {
	Number owner.HeartbeatNumber
	Clock  unit.WorkerTime
	Failed bool
}

// TestExchangeHeartbeats guards against heartbeats that are sent twice, late, or to another
// worker, against answers that are lost, repeated or belong to an earlier session, and
// against a session that goes on after a call of it was lost.
func TestExchangeHeartbeats(t *testing.T) {
	type call struct {
		batch   owner.HeartbeatBatch
		want    []answerOf
		wantErr bool
	}
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // when a synctest bubble begins
	soon := now.Add(time.Hour)
	first := func(n owner.HeartbeatNumber, id unit.InstanceID) owner.RelayedHeartbeat {
		return owner.RelayedHeartbeat{Number: n, Worker: owner.WorkerNumber(n), ID: id, Address: "a:1", Until: 9, Cursor: 3, Wait: time.Millisecond}
	}
	later := func(n owner.HeartbeatNumber, w owner.WorkerNumber) owner.RelayedHeartbeat {
		return owner.RelayedHeartbeat{Number: n, Worker: w, Wait: time.Millisecond}
	}
	batch := func(session owner.SessionID, call uint64, hs ...owner.RelayedHeartbeat) owner.HeartbeatBatch {
		return owner.HeartbeatBatch{Session: session, Call: call, Fence: 2, Deadline: soon, Heartbeats: hs}
	}
	tests := []struct {
		name  string
		calls []call
		want  []unit.InstanceID // that got heartbeats
	}{
		{"answered", []call{{batch(1, 1, first(1, "w1")), []answerOf{{1, 77, false}}, false}}, []unit.InstanceID{"w1"}},
		{"named once", []call{
			{batch(1, 1, first(1, "w1")), []answerOf{{1, 77, false}}, false},
			{batch(1, 2, later(2, 1)), []answerOf{{2, 77, false}}, false},
		}, []unit.InstanceID{"w1", "w1"}},
		{"never named", []call{{batch(1, 1, later(1, 1)), nil, true}}, nil},
		{"nothing to send", []call{{batch(1, 1), nil, false}}, nil},
		{"worker does not answer", []call{{batch(1, 1, first(1, "silent")), nil, false}}, []unit.InstanceID{"silent"}},
		{"fault in the client", []call{{batch(1, 1, first(1, "fault")), []answerOf{{1, 0, true}}, false}}, []unit.InstanceID{"fault"}},
		{"late batch, clocks may differ", []call{{owner.HeartbeatBatch{Session: 1, Call: 1, Deadline: now.Add(-maxClockSkew / 2), Heartbeats: []owner.RelayedHeartbeat{first(1, "w1")}}, []answerOf{{1, 77, false}}, false}}, []unit.InstanceID{"w1"}},
		{"batch was held up", []call{{owner.HeartbeatBatch{Session: 1, Call: 1, Deadline: now.Add(-2 * maxClockSkew), Heartbeats: []owner.RelayedHeartbeat{first(1, "w1")}}, nil, true}}, nil},
		{"call of no session", []call{{batch(1, 2, first(1, "w1")), nil, true}}, nil},
		{"call was lost", []call{{batch(1, 1), nil, false}, {batch(1, 3, first(1, "w1")), nil, true}, {batch(1, 4, first(1, "w1")), nil, true}}, nil},
		{"call is repeated", []call{{batch(1, 1), nil, false}, {batch(1, 2), nil, false}, {batch(1, 2, first(1, "w1")), nil, true}}, nil},
		{"next session", []call{
			{batch(1, 1, owner.RelayedHeartbeat{Number: 1, Worker: 1, ID: "w1", Wait: maxAnswerDelay + time.Millisecond}), nil, false},
			{batch(2, 1, first(1, "w2")), []answerOf{{1, 77, false}}, false},
			{batch(1, 2), nil, true},
		}, []unit.InstanceID{"w1", "w2"}},
		{"too many heartbeats", []call{{batch(1, 1, make([]owner.RelayedHeartbeat, owner.MaxHeartbeatBatch+1)...), nil, true}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &heartbeatFleet{runs: 2}
				s := New(logr.Discard(), f)
				s.peers = sessionNetwork{s}
				for i, c := range tt.calls {
					answers, err := s.ExchangeHeartbeats(t.Context(), "b", c.batch)
					if diff := cmp.Diff(c.wantErr, err != nil); diff != "" {
						t.Errorf("call %d: error %v (-want +got):\n%s", i, err, diff)
					}
					var got []answerOf
					for _, a := range answers {
						got = append(got, answerOf{a.Number, a.Clock, a.Error != ""})
					}
					if diff := cmp.Diff(c.want, got); diff != "" {
						t.Errorf("call %d: answers (-want +got):\n%s", i, diff)
					}
				}
				s.abortHeartbeats()
				s.heartbeats.Wait()
				var got []unit.InstanceID
				for _, h := range f.got {
					got = append(got, h.Worker)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("workers that got heartbeats (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRelayedHeartbeat guards against a heartbeat that another entry changes on the way: a
// longer lease, the acknowledgement of further ends, or either for another incarnation.
func TestRelayedHeartbeat(t *testing.T) {
	first := owner.RelayedHeartbeat{Number: 1, Worker: 1, ID: "w1", Address: "a:1", Until: 9, Cursor: 3, Wait: time.Millisecond, Incarnation: 5}
	sent := sentHeartbeat{"w1", 4, scheduler.Renewal{Incarnation: 5, Until: 9, Acked: 3}, time.Millisecond}
	tests := []struct {
		name string
		next owner.RelayedHeartbeat
		want sentHeartbeat
	}{
		{"same incarnation", owner.RelayedHeartbeat{Number: 2, Worker: 1, Until: 10, Cursor: 4, Wait: time.Millisecond},
			sentHeartbeat{"w1", 4, scheduler.Renewal{Incarnation: 5, Until: 10, Acked: 4}, time.Millisecond}},
		{"next incarnation", owner.RelayedHeartbeat{Number: 2, Worker: 1, Until: 2, Wait: time.Millisecond, Incarnation: 6},
			sentHeartbeat{"w1", 4, scheduler.Renewal{Incarnation: 6, Until: 2}, time.Millisecond}},
		{"another worker", owner.RelayedHeartbeat{Number: 2, Worker: 2, ID: "w2", Address: "a:2", Wait: time.Millisecond},
			sentHeartbeat{"w2", 4, scheduler.Renewal{}, time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &heartbeatFleet{}
				s := New(logr.Discard(), f)
				s.peers = sessionNetwork{s}
				for i, h := range []owner.RelayedHeartbeat{first, tt.next} {
					b := owner.HeartbeatBatch{Session: 1, Call: uint64(i + 1), Fence: 4, Deadline: time.Now().Add(time.Minute), Heartbeats: []owner.RelayedHeartbeat{h}}
					if _, err := s.ExchangeHeartbeats(t.Context(), "b", b); err != nil {
						t.Fatal(err)
					}
				}
				s.abortHeartbeats()
				s.heartbeats.Wait()
				if diff := cmp.Diff([]sentHeartbeat{sent, tt.want}, f.got); diff != "" {
					t.Errorf("heartbeats (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestAnswerRate guards against entries that exchange a message for each answer of a worker.
func TestAnswerRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeats, duration = 100, time.Second
		f := &heartbeatFleet{}
		s := New(logr.Discard(), f)
		s.peers = sessionNetwork{s}
		b := owner.HeartbeatBatch{Session: 1, Deadline: time.Now().Add(time.Hour)}
		for i := range heartbeats {
			n := i + 1
			b.Heartbeats = append(b.Heartbeats, owner.RelayedHeartbeat{
				Number: owner.HeartbeatNumber(n), Worker: owner.WorkerNumber(n), ID: "w", Wait: duration * time.Duration(n) / heartbeats,
			})
		}
		began := time.Now()
		answered := 0
		for answered < heartbeats {
			b.Call++
			answers, err := s.ExchangeHeartbeats(t.Context(), "b", b)
			if err != nil {
				t.Fatal(err)
			}
			answered += len(answers)
			b.Heartbeats = nil
		}
		if most := uint64(duration/answerInterval) + 2; b.Call > most {
			t.Errorf("%d calls, want at most %d", b.Call, most)
		}
		if took := time.Since(began); took > duration+maxAnswerDelay {
			t.Errorf("answers after %v, want %v at most", took, duration+maxAnswerDelay)
		}
		s.heartbeats.Wait()
	})
}

// TestCountAnswers guards against an answer that takes a small link for seconds, so that the
// session ends and the next one begins with the same reports.
func TestCountAnswers(t *testing.T) {
	results := func(n, runs, ends int) []result {
		all := make([]result, n)
		for i := range all {
			all[i].report = scheduler.Report{Running: make([]scheduler.RunStatus, runs), Ended: make([]scheduler.End, ends)}
		}
		return all
	}
	tests := []struct {
		name    string
		results []result
		want    int
	}{
		{"none", nil, 0},
		{"some", results(10, 8, 1), 10},
		{"idle workers", results(maxAnswers+10, 0, 0), maxAnswers},
		{"many runs", results(200, 8, 0), maxAnswerItems / 8},
		{"full pages of ends", results(20, 24, 500), 1},
		{"one with more than fits", results(2, maxAnswerItems+1, 0), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, countAnswers(tt.results)); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDropSessions guards against sessions of entries that have left, which pile up.
func TestDropSessions(t *testing.T) {
	tests := []struct {
		name   string
		before time.Duration // relative to the last call
		want   int
	}{
		{"used lately", -time.Second, 1},
		{"unused", time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), &heartbeatFleet{})
			s.peers = sessionNetwork{s}
			if _, err := s.ExchangeHeartbeats(t.Context(), "b", owner.HeartbeatBatch{Session: 1, Call: 1, Deadline: time.Now().Add(time.Minute)}); err != nil {
				t.Fatal(err)
			}
			s.dropSessions(time.Now().Add(tt.before))
			if diff := cmp.Diff(tt.want, len(s.sessions)); diff != "" {
				t.Errorf("sessions (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzHeartbeats guards against a call of another entry that ends the process.
func FuzzHeartbeats(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	body, err := record.Marshal(owner.HeartbeatBatch{Session: 1, Call: 1, Deadline: time.Now(), Heartbeats: []owner.RelayedHeartbeat{{Number: 1, Worker: 1, ID: "w1", Until: -1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, request []byte) {
		s := New(logr.Discard(), &heartbeatFleet{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, _ = s.handleHeartbeats(ctx, "owner", request)
		s.abortHeartbeats()
		s.heartbeats.Wait()
	})
}
