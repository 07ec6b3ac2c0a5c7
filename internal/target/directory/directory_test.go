package directory

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// decoder decodes items whose value is the version of the configuration.
type decoder struct{}

func (decoder) Prefix() kv.Key { return "op/" }

func (decoder) EvacuatedZone(kv.Key) (unit.ZoneID, bool) { return "", false }

func (decoder) Document(i kv.Item) (*Document, bool, error) {
	n, err := strconv.Atoi(string(i.Value))
	if err != nil {
		return nil, false, errors.Errorf("version: %w", err)
	}
	return &Document{Version: unit.Revision(n)}, true, nil
}

// TestVersions guards against a configuration that reverts when a listed item or an
// event is older than the version in force.
func TestVersions(t *testing.T) {
	tests := []struct {
		name  string
		items []kv.Item
		want  unit.Revision
	}{
		{"rising", []kv.Item{{Value: []byte("3")}, {Value: []byte("9")}}, 9},
		{"older version later", []kv.Item{{Value: []byte("9")}, {Value: []byte("3")}}, 9},
		{"undecodable item", []kv.Item{{Value: []byte("3")}, {Value: []byte("?")}}, 3},
		{"deleted", []kv.Item{{Value: []byte("3")}, {Deleted: true}}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), decoder{}, 0)
			for _, i := range tt.items {
				s.adoptDocument(i)
			}
			if diff := cmp.Diff(tt.want, s.Current().Version); diff != "" {
				t.Errorf("version in force (-want +got):\n%s", diff)
			}
		})
	}
}

// fixedOutage says whether the store answers no entry.
type fixedOutage bool

func (o fixedOutage) Outage() bool { return bool(o) }

// TestRecent guards against answers that only an older version allows, from an entry that
// has not read the operators' items for longer than a version may take.
func TestRecent(t *testing.T) {
	const delay = 2 * time.Second
	tests := []struct {
		name   string
		delay  time.Duration
		age    time.Duration // of the view
		outage bool
		want   bool
	}{
		{"just read", delay, 0, false, true},
		{"read 1.9 s ago", delay, 1900 * time.Millisecond, false, true},
		{"read 2.1 s ago", delay, 2100 * time.Millisecond, false, false},
		{"store answers no entry", delay, time.Minute, true, true},
		{"no limit", 0, time.Minute, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), decoder{}, tt.delay)
			s.outage = fixedOutage(tt.outage)
			s.confirm(time.Now().Add(-tt.age))
			if diff := cmp.Diff(tt.want, s.Recent()); diff != "" {
				t.Errorf("recent (-want +got):\n%s", diff)
			}
		})
	}
}

// agingStore lists at once. It answers each of two watches after a second, and later ones
// never.
type agingStore struct{ watches int }

func (s *agingStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if r.Op != kv.OpWatch {
		return kv.Response{Revision: 7}, nil
	}
	s.watches++
	answer := time.After(time.Second)
	if s.watches > 2 {
		answer = nil
	}
	select {
	case <-answer:
		return kv.Response{Revision: 8}, nil
	case <-ctx.Done():
		return kv.Response{}, ctx.Err()
	}
}

// TestConfirmedAt guards against a view of the zones that is taken as recent since it was
// last changed or since an answer arrived, although it only shows what the store held when
// the request was sent.
func TestConfirmedAt(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  time.Duration // after the start
	}{
		{"listed", 500 * time.Millisecond, 0},
		{"watch answered", 1500 * time.Millisecond, 0},
		{"second watch answered", 2500 * time.Millisecond, time.Second},
		{"no answer any more", time.Minute, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				s := New(logr.Discard(), decoder{}, 0)
				s.store = kv.Client{Doer: &agingStore{}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go s.follow(ctx)
				time.Sleep(tt.after)
				_, confirmedAt := s.Evacuated()
				if diff := cmp.Diff(tt.want, confirmedAt.Sub(began)); diff != "" {
					t.Errorf("confirmed at (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// slowStore holds each watch until its wait has passed and answers after a latency. One
// watch is on a silent connection and times out.
type slowStore struct {
	latency time.Duration
	silent  int // number of that watch; 0 for none
	watches int
}

func (s *slowStore) Do(_ context.Context, r kv.Request) (kv.Response, error) {
	if r.Op != kv.OpWatch {
		time.Sleep(s.latency)
		return kv.Response{Revision: 7}, nil
	}
	if s.watches++; s.watches == s.silent {
		const grace = 600 * time.Millisecond // as in storage/access
		time.Sleep(r.Wait + grace)
		return kv.Response{}, kv.ErrUnknown
	}
	time.Sleep(r.Wait + s.latency)
	return kv.Response{Revision: 7}, nil
}

// TestViewAge guards against a view of the zones that is too old to start tasks on while
// the store is slow or one connection is silent: the platform allows 5 s, of which a
// start takes 0.3 s at least.
func TestViewAge(t *testing.T) {
	const limit = 4700 * time.Millisecond
	tests := []struct {
		name  string
		store *slowStore
	}{
		{"4 ms", &slowStore{latency: 4 * time.Millisecond}},
		{"4 ms, connection silent", &slowStore{latency: 4 * time.Millisecond, silent: 3}},
		{"240 ms, connection silent", &slowStore{latency: 240 * time.Millisecond, silent: 3}},
		{"1 s", &slowStore{latency: time.Second}},
		{"1 s, connection silent", &slowStore{latency: time.Second, silent: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(logr.Discard(), decoder{}, 0)
				s.store = kv.Client{Doer: tt.store}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.follow(ctx)
				}()
				time.Sleep(2 * time.Second)
				var oldest time.Duration
				for range 2000 {
					time.Sleep(10 * time.Millisecond)
					_, confirmedAt := s.Evacuated()
					oldest = max(oldest, time.Since(confirmedAt))
				}
				cancel()
				<-done
				if oldest > limit {
					t.Errorf("view was up to %s old, want at most %s", oldest, limit)
				}
			})
		})
	}
}

// TestMatch guards against requests that are routed to the queue of a shorter
// prefix or of another host.
func TestMatch(t *testing.T) {
	d := &Document{Routes: []Route{
		{Host: "h", Prefix: "/a/", Queue: graph.Queue{ID: "short"}},
		{Host: "h", Prefix: "/a/b/", Queue: graph.Queue{ID: "long"}},
		{Host: "g", Prefix: "/a/", Queue: graph.Queue{ID: "other"}},
	}}
	tests := []struct {
		host, path string
		queue      graph.QueueID
		rest       string
		ok         bool
	}{
		{"h", "/a/x", "short", "x", true},
		{"h", "/a/b/x", "long", "x", true},
		{"g", "/a/b/x", "other", "b/x", true},
		{"h", "/c/x", "", "", false},
		{"k", "/a/x", "", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			route, rest, ok := d.Match(tt.host, tt.path)
			if route.Queue.ID != tt.queue || rest != tt.rest || ok != tt.ok {
				t.Errorf("got %q %q %v, want %q %q %v", route.Queue.ID, rest, ok, tt.queue, tt.rest, tt.ok)
			}
		})
	}
}
