package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeMembers is a membership service whose view is set by the test.
type fakeMembers struct {
	self unit.EntryID
	done chan struct{}

	mu      sync.Mutex
	view    roster.View
	changed chan struct{}
}

func (f *fakeMembers) Name() registry.Name                           { return "membership" }
func (f *fakeMembers) Start(context.Context, *registry.Kernel) error { return nil }
func (f *fakeMembers) Stop(context.Context) error                    { close(f.done); return nil }
func (f *fakeMembers) Done() <-chan struct{}                         { return f.done }
func (f *fakeMembers) Self() unit.EntryID                            { return f.self }

func (f *fakeMembers) View() roster.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeMembers) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeMembers) set(entries ...roster.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = roster.NewView(entries, f.view.Revision+1)
	close(f.changed)
	f.changed = make(chan struct{})
}

type testEntry struct {
	id         unit.EntryID
	members    *fakeMembers
	service    *Service
	source     *credential.Source
	heartbeats chan message.Heartbeat
}

func newAuthority(t *testing.T) *credential.Authority {
	t.Helper()
	a, err := credential.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newBundle(t *testing.T, issue func() (credential.Bundle, error)) credential.Bundle {
	t.Helper()
	p, err := issue()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func startEntry(t *testing.T, id unit.EntryID, address string, bundle credential.Bundle) *testEntry {
	t.Helper()
	source, err := credential.NewSource(bundle)
	if err != nil {
		t.Fatal(err)
	}
	p := &testEntry{
		id:         id,
		members:    &fakeMembers{self: id, done: make(chan struct{}), changed: make(chan struct{})},
		service:    New(logr.Discard(), Options{Address: address, Credentials: source}),
		source:     source,
		heartbeats: make(chan message.Heartbeat, 1000),
	}
	p.service.SetHeartbeatFuncs(
		func(to unit.EntryID) message.Heartbeat {
			return message.Heartbeat{Sees: p.members.View().Contains(to), Configuration: 7}
		},
		func(_ unit.EntryID, _ time.Time, h message.Heartbeat) { p.heartbeats <- h },
	)
	p.service.Handle(message.KindPull, func(_ context.Context, from unit.EntryID, _ message.Message) (message.Message, error) {
		if from == "refused" {
			return nil, errors.New("no")
		}
		return message.Ack{Configuration: 9}, nil
	})
	k := registry.New()
	for _, s := range []registry.Service{p.members, p.service} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return p
}

func (p *testEntry) entry() roster.Entry {
	return roster.Entry{ID: p.id, Address: p.service.Address()}
}

// awaitCall repeats a call until it is answered or the limit has passed, since the
// first calls may come before the connection is up.
func (p *testEntry) awaitCall(t *testing.T, to unit.EntryID, limit time.Duration) (message.Message, error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		answer, err := p.service.Call(ctx, to, message.Pull{})
		cancel()
		if _, fault := errors.Into[*FaultError](err); err == nil || fault || time.Now().After(deadline) {
			return answer, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCall guards against answers that reach the wrong caller or hide a fault, and
// against accepting connections from holders of other certificates than those of
// entries.
func TestCall(t *testing.T) {
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	entry := func() (credential.Bundle, error) { return authority.IssueEntry() }
	tests := []struct {
		name  string
		id    unit.EntryID
		issue func() (credential.Bundle, error)
		view  unit.EntryID // id of the callee in the caller's view
		want  error
	}{
		{"answered", "a", entry, "b", nil},
		{"fault of the handler", "refused", entry, "b", &FaultError{Peer: "b", Text: "no"}},
		{"address taken over by another entry", "a", entry, "old", ErrUnreachable},
		{"certificate of another authority", "a", func() (credential.Bundle, error) { return otherAuthority.IssueEntry() }, "b", ErrUnreachable},
		{"certificate of an operator", "a", func() (credential.Bundle, error) { return authority.IssueOperator("meera") }, "b", ErrUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := startEntry(t, tt.id, "127.0.0.1:0", newBundle(t, tt.issue))
			callee := startEntry(t, "b", "127.0.0.1:0", newBundle(t, entry))
			known := callee.entry()
			known.ID = tt.view
			caller.members.set(caller.entry(), known)
			answer, err := caller.awaitCall(t, tt.view, time.Second)
			if tt.want == nil {
				if diff := cmp.Diff(message.Message(message.Ack{Configuration: 9}), answer); diff != "" || err != nil {
					t.Errorf("error %v, answer (-want +got):\n%s", err, diff)
				}
				if h := <-caller.heartbeats; h.Sees || h.Configuration != 7 {
					t.Errorf("heartbeat %+v; want configuration 7 of a peer that does not see the caller", h)
				}
				return
			}
			want, fault := errors.Into[*FaultError](tt.want)
			got, _ := errors.Into[*FaultError](err)
			if fault && !cmp.Equal(want, got) || !fault && !errors.Is(err, tt.want) {
				t.Errorf("Call = %v, want %v", err, tt.want)
			}
		})
	}
}

// TestRenewal guards against renewed certificates that take effect only after a
// restart.
func TestRenewal(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	a := startEntry(t, "a", "127.0.0.1:0", newBundle(t, func() (credential.Bundle, error) { return old.IssueEntry() }))
	b := startEntry(t, "b", "127.0.0.1:0", newBundle(t, func() (credential.Bundle, error) { return renewed.IssueEntry() }))
	a.members.set(a.entry(), b.entry())
	if _, err := a.awaitCall(t, "b", 300*time.Millisecond); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("Call before the renewal = %v, want %v", err, ErrUnreachable)
	}
	if err := a.source.Replace(newBundle(t, func() (credential.Bundle, error) { return renewed.IssueEntry() })); err != nil {
		t.Fatal(err)
	}
	if _, err := a.awaitCall(t, "b", 10*time.Second); err != nil {
		t.Errorf("Call after the renewal = %v", err)
	}
}

// TestHungConnection guards against a client that keeps using a hung connection
// although a new one would work.
func TestHungConnection(t *testing.T) {
	authority := newAuthority(t)
	entry := func() (credential.Bundle, error) { return authority.IssueEntry() }
	a := startEntry(t, "a", "127.0.0.1:0", newBundle(t, entry))
	b := startEntry(t, "b", "127.0.0.1:0", newBundle(t, entry))
	r, err := relay.NewUDP("127.0.0.1:0", b.service.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	a.members.set(a.entry(), roster.Entry{ID: "b", Address: r.Address()})
	if _, err := a.awaitCall(t, "b", 5*time.Second); err != nil {
		t.Fatalf("Call through the relay = %v", err)
	}
	r.Silence()
	started := time.Now()
	if _, err := a.awaitCall(t, "b", 10*time.Second); err != nil {
		t.Fatalf("Call after the connection hung = %v", err)
	}
	// One heartbeat interval, one answer timeout, one retry delay and one dial, with
	// a margin for a busy machine.
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("the connection was replaced after %v", took)
	}
}

// TestBackoff guards against delays that grow without limit or drop to zero, and
// against entries that dial at the same time.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		failures int
		low      time.Duration
		high     time.Duration
	}{
		{1, 50 * time.Millisecond, 100 * time.Millisecond},
		{2, 100 * time.Millisecond, 200 * time.Millisecond},
		{5, 800 * time.Millisecond, 1600 * time.Millisecond},
		{6, 1500 * time.Millisecond, 3 * time.Second},
		{1000, 1500 * time.Millisecond, 3 * time.Second},
	}
	for _, tt := range tests {
		seen := map[time.Duration]bool{}
		for range 20 {
			delay := backoff(tt.failures, random)
			if delay < tt.low || delay > tt.high {
				t.Errorf("backoff(%d) = %v, want %v to %v", tt.failures, delay, tt.low, tt.high)
			}
			seen[delay] = true
		}
		if len(seen) < 10 {
			t.Errorf("backoff(%d): %d distinct delays of 20", tt.failures, len(seen))
		}
	}
}
