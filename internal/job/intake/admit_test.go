package intake

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// countingStore counts the reads of records, and fails them if it is not reached.
type countingStore struct {
	fakeStore
	notReached bool
	reads      int
}

// Do implements kv.Doer.
func (s *countingStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op != kv.OpCommit {
		s.reads++
		if s.notReached {
			return kv.Response{}, kv.ErrUnavailable
		}
	}
	return s.fakeStore.Do(ctx, r)
}

// namedOwner is an ownership with an owner that can change.
type namedOwner struct{ self, owner unit.EntryID }

func (o *namedOwner) Self() unit.EntryID         { return o.self }
func (o *namedOwner) Owner() unit.EntryID        { return o.owner }
func (*namedOwner) ClaimRevision() unit.Revision { return 0 }

// fixedLoad is the load of an owner, computed some time before it is asked, or none.
type fixedLoad struct {
	load overload.Load
	age  time.Duration
	none bool
}

func (l fixedLoad) Load(now time.Time) (overload.Load, time.Time, bool) {
	return l.load, now.Add(-l.age), !l.none
}

// fixedAnswers answers each call with the same bytes, or fails, after a delay.
type fixedAnswers struct {
	answer []byte
	err    error
	delay  time.Duration
}

func (fixedAnswers) Handle(mesh.Kind, mesh.Handler) {}
func (a fixedAnswers) Call(context.Context, unit.EntryID, mesh.Kind, []byte) ([]byte, error) {
	time.Sleep(a.delay)
	return a.answer, a.err
}

// shortLoad is a load by which jobs of organisation o are rejected for 4 s.
var shortLoad = overload.Load{
	Short: true, Pools: []overload.PoolLoad{{Service: "s", Short: true}, {Service: "t"}},
	BeyondRate: []overload.OrganisationLoad{{Organisation: "o", Delay: 4 * time.Second}},
}

// newEntry returns the intake of entry a with running writers.
func newEntry(ctx context.Context, store kv.Doer, o shardOwnership, log logr.Logger) *Service {
	s := New(log)
	s.store, s.ownership = kv.Client{Doer: store}, o
	s.writer, s.notifier = newWriter(s.store), newNotifier(s)
	go s.writer.run(ctx)
	return s
}

var rejectedJob = graph.Job{ID: "j", Organisation: "o", Queue: graph.Queue{Service: "s"}, Steps: []graph.Step{{Count: 1}}}

// TestAdmission guards against rejections by a load that was lost, is old, came from an
// earlier owner, or is of another release, and of jobs that were accepted before. The entry
// sends one notice, and then a job of an organisation beyond its rate arrives.
func TestAdmission(t *testing.T) {
	faulty, err := cbor.Marshal(map[int]any{1: shortLoad, 2: "an age that is not a number"})
	if err != nil {
		t.Fatal(err)
	}
	encoded := func(l fixedLoad) []byte {
		s := New(logr.Discard())
		s.ownLoad = l
		return s.loadResponse(time.Now())
	}
	tests := []struct {
		name     string
		owner    fixedLoad
		answer   func([]byte) fixedAnswers // of the owner to the notice
		wait     time.Duration             // until the job arrives
		newOwner *unit.EntryID
		store    countingStore
		rejected bool
		reads    int // of the job's record
	}{
		{name: "load of the owner", owner: fixedLoad{load: shortLoad}, rejected: true, reads: 1},
		{name: "load of 1.5 s before", owner: fixedLoad{load: shortLoad}, wait: 1500 * time.Millisecond, rejected: true, reads: 1},
		{name: "old load", owner: fixedLoad{load: shortLoad}, wait: 2100 * time.Millisecond},
		{name: "load that was old at the owner", owner: fixedLoad{load: shortLoad, age: time.Second}, wait: 1100 * time.Millisecond},
		{name: "answer that took long", owner: fixedLoad{load: shortLoad}, wait: 200 * time.Millisecond, answer: func(a []byte) fixedAnswers { return fixedAnswers{answer: a, delay: 1900 * time.Millisecond} }},
		{name: "answer lost", owner: fixedLoad{load: shortLoad}, answer: func([]byte) fixedAnswers { return fixedAnswers{err: mesh.ErrUnknown} }},
		{name: "owner of an earlier release", owner: fixedLoad{load: shortLoad}, answer: func([]byte) fixedAnswers { return fixedAnswers{} }},
		{name: "answer not readable", owner: fixedLoad{load: shortLoad}, answer: func([]byte) fixedAnswers { return fixedAnswers{answer: faulty} }},
		{name: "owner without a load yet", owner: fixedLoad{load: shortLoad, none: true}},
		{name: "capacity not short", owner: fixedLoad{}},
		{name: "next owner", owner: fixedLoad{load: shortLoad}, newOwner: new(unit.EntryID("c"))},
		{name: "no owner", owner: fixedLoad{load: shortLoad}, newOwner: new(unit.EntryID(""))},
		{name: "this entry is the next owner, without a load yet", owner: fixedLoad{load: shortLoad, none: true}, newOwner: new(unit.EntryID("a"))},
		{name: "this entry is the next owner", owner: fixedLoad{load: shortLoad}, newOwner: new(unit.EntryID("a")), rejected: true, reads: 1},
		{name: "accepted before", owner: fixedLoad{load: shortLoad}, store: countingStore{fakeStore: fakeStore{items: map[kv.Key]bool{"job/j": true}}}, reads: 1},
		{name: "store not reached", owner: fixedLoad{load: shortLoad}, store: countingStore{notReached: true}, reads: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				view := &namedOwner{self: "a", owner: "b"}
				s := newEntry(ctx, &tt.store, view, logr.Discard())
				s.ownLoad = tt.owner
				answers := fixedAnswers{answer: encoded(tt.owner)}
				if diff := cmp.Diff(tt.owner.load.Short && !tt.owner.none, len(answers.answer) > 0); diff != "" {
					t.Errorf("the owner answers with a load (-want +got):\n%s", diff)
				}
				if tt.answer != nil {
					answers = tt.answer(answers.answer)
				}
				s.peers = answers
				if err := s.notifier.send(ctx, []queuedNotice{{}}, time.Minute); !errors.Is(err, answers.err) {
					t.Errorf("notice: %v, want %v", err, answers.err)
				}
				time.Sleep(tt.wait)
				if tt.newOwner != nil {
					view.owner = *tt.newOwner
				}
				err := s.Submit(ctx, rejectedJob)
				if diff := cmp.Diff([]any{tt.rejected, tt.reads}, []any{err != nil, tt.store.reads}); diff != "" {
					t.Fatalf("rejected, and reads of the record (-want +got):\n%s", diff)
				}
				var rejected *RejectedError
				if tt.rejected && (!errors.As(err, &rejected) || !errors.Is(err, ErrRefused)) {
					t.Errorf("error %v, want a RejectedError that matches ErrRefused", err)
				}
			})
		})
	}
}

// FuzzLoad guards against a load of another entry that ends the process, or that sends
// callers away for longer than an hour.
func FuzzLoad(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	load := overload.Load{Short: true, Queues: []overload.QueueLoad{{MaxRatio: math.NaN()}}, BeyondRate: []overload.OrganisationLoad{{Organisation: "o", Delay: math.MaxInt64}},
		Pools: []overload.PoolLoad{{Service: "s", Short: true, MaxUsable: 1, Waiting: []overload.WaitingWork{{Priority: -1, MinWork: math.MaxInt64}}}}}
	body, err := cbor.Marshal(noticesResponse{Load: load, Age: math.MinInt64})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, response []byte) {
		s, now := New(logr.Discard()), time.Now()
		s.ownership = &namedOwner{self: "a", owner: "b"}
		s.receiveLoad(response, "b", now)
		snapshot := s.snapshot(now)
		for _, organisation := range []unit.OrganisationID{"", "o"} {
			job := rejectedJob
			job.Organisation, job.Queue.Target, job.Steps = organisation, time.Second, []graph.Step{{Count: 1, Estimate: time.Second}}
			if r, rejected := admission.Decide(&job, &snapshot, now); rejected {
				if d := r.ReturnAt(job.ID, 0, now).Sub(now); d < time.Second || d > 75*time.Minute {
					t.Errorf("return after %v", d)
				}
			}
		}
	})
}

// TestRejectionLines guards against a flood of rejections that fills the log, and against a
// log from which their number cannot be told.
func TestRejectionLines(t *testing.T) {
	tests := []struct {
		name            string
		rejections      int // in the first second; one more follows after 10 s
		lines, maxLines int
	}{
		{"few", 10, 11, 11},
		{"flood", 1000, 101, rejectionLineBurst + rejectionLinesPerSecond + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var text bytes.Buffer
				s := newEntry(ctx, &countingStore{}, &namedOwner{self: "a", owner: "a"}, logr.FromSlogHandler(slog.NewTextHandler(&text, nil)))
				s.ownLoad = fixedLoad{load: shortLoad}
				for range tt.rejections {
					_ = s.Submit(ctx, rejectedJob)
					time.Sleep(time.Second / time.Duration(tt.rejections))
				}
				time.Sleep(10 * time.Second)
				_ = s.Submit(ctx, rejectedJob)
				logged := bytes.Count(text.Bytes(), []byte("\n"))
				for _, omitted := range regexp.MustCompile(`omitted=(\d+)`).FindAllSubmatch(text.Bytes(), -1) {
					n, _ := strconv.Atoi(string(omitted[1]))
					logged += n
				}
				if lines := bytes.Count(text.Bytes(), []byte("\n")); lines < tt.lines || lines > tt.maxLines {
					t.Errorf("%d lines, want %d to %d", lines, tt.lines, tt.maxLines)
				}
				if diff := cmp.Diff(tt.rejections+1, logged); diff != "" {
					t.Errorf("rejections told by the log (-want +got):\n%s", diff)
				}
			})
		})
	}
}
