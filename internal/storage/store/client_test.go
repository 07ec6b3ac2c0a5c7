package store_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a platform server until the test ends and returns it with a client.
func start(t *testing.T, settings platform.Settings) (*platform.Server, *store.Client) {
	t.Helper()
	settings.Address = "127.0.0.1:0"
	s := platform.New(settings)
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	c := store.NewClient(s.Address())
	t.Cleanup(func() {
		c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
		<-s.Done()
	})
	return s, c
}

// classes lists the errors that exclude each other.
var classes = []error{
	store.ErrNotFound, store.ErrConflict, store.ErrGone, store.ErrUnavailable, store.ErrUnknown,
}

func checkClass(t *testing.T, err, want error) {
	t.Helper()
	if (err == nil) != (want == nil) {
		t.Errorf("got error %v, want %v", err, want)
	}
	for _, class := range classes {
		if errors.Is(err, class) != (class == want) {
			t.Errorf("got error %v, want class %v only", err, want)
		}
	}
}

// TestOutcomeUnderFaults guards against a call with an unknown outcome that is
// reported as having had no effect, or the other way around.
func TestOutcomeUnderFaults(t *testing.T) {
	put := func(ctx context.Context, c *store.Client) error {
		_, err := c.Put(ctx, "a", []byte("new"), store.Always(), "")
		return err
	}
	remove := func(ctx context.Context, c *store.Client) error { return c.Delete(ctx, "a", store.Always()) }
	get := func(ctx context.Context, c *store.Client) error { _, err := c.Get(ctx, "a"); return err }
	grant := func(ctx context.Context, c *store.Client) error { _, err := c.Grant(ctx, time.Minute); return err }
	watch := func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "a", 1, 50*time.Millisecond)
		return err
	}
	tests := []struct {
		name  string
		fault platform.Fault
		call  func(context.Context, *store.Client) error
		want  error
		value string // of the record "a" afterwards; empty if it is deleted
	}{
		{"put", platform.Fault{}, put, nil, "new"},
		{"put in an outage", platform.Fault{Outage: true}, put, store.ErrUnavailable, "old"},
		{"get in an outage", platform.Fault{Outage: true}, get, store.ErrUnavailable, "old"},
		{"watch in an outage", platform.Fault{Outage: true}, watch, store.ErrUnavailable, "old"},
		{"put with a lost answer", platform.Fault{Lose: 1}, put, store.ErrUnknown, "new"},
		{"put with a lost answer by probability", platform.Fault{LosePart: 1}, put, store.ErrUnknown, "new"},
		{"delete with a lost answer", platform.Fault{Lose: 1}, remove, store.ErrUnknown, ""},
		{"grant with a lost answer", platform.Fault{Lose: 1}, grant, store.ErrUnknown, "old"},
		{"get while answers of writes are lost", platform.Fault{Lose: 1}, get, nil, "old"},
		{"put without an answer", platform.Fault{Silent: true}, put, store.ErrUnknown, "old"},
		{"get without an answer", platform.Fault{Silent: true}, get, store.ErrUnavailable, "old"},
		{"delayed put", platform.Fault{Delay: unit.Duration(50 * time.Millisecond)}, put, nil, "new"},
		{"slow put", platform.Fault{Slow: unit.Duration(50 * time.Millisecond)}, put, nil, "new"},
		{"put slower than the timeout", platform.Fault{Slow: unit.Duration(time.Minute)}, put, store.ErrUnknown, "new"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, c := start(t, platform.Settings{})
			ctx := t.Context()
			if _, err := c.Put(ctx, "a", []byte("old"), store.IfAbsent(), ""); err != nil {
				t.Fatal(err)
			}
			if err := s.Inject(test.fault); err != nil {
				t.Fatal(err)
			}
			checkClass(t, test.call(ctx, c), test.want)
			if err := s.Inject(platform.Fault{}); err != nil {
				t.Fatal(err)
			}
			r, err := c.Get(ctx, "a")
			if test.value == "" {
				checkClass(t, err, store.ErrNotFound)
			}
			if diff := cmp.Diff(test.value, string(r.Value)); diff != "" {
				t.Errorf("value (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedCalls guards against a refused call that is reported as another class of
// error.
func TestRefusedCalls(t *testing.T) {
	tests := []struct {
		name string
		call func(context.Context, *store.Client) error
		want error
	}{
		{"missing key", func(ctx context.Context, c *store.Client) error { _, err := c.Get(ctx, "b"); return err }, store.ErrNotFound},
		{"put over an existing key", func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "a", nil, store.IfAbsent(), "")
			return err
		}, store.ErrConflict},
		{"put at a stale revision", func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "a", nil, store.IfRevision(9), "")
			return err
		}, store.ErrConflict},
		{"put under a missing lease", func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "a", nil, store.Always(), "l9")
			return err
		}, store.ErrNotFound},
		{"renew of a missing lease", func(ctx context.Context, c *store.Client) error { return c.Renew(ctx, "l9") }, store.ErrNotFound},
		{"revoke of a missing lease", func(ctx context.Context, c *store.Client) error { return c.Revoke(ctx, "l9") }, store.ErrNotFound},
	}
	_, c := start(t, platform.Settings{})
	if _, err := c.Put(t.Context(), "a", []byte("old"), store.IfAbsent(), ""); err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkClass(t, test.call(t.Context(), c), test.want) })
	}
}

// TestKeys guards against keys that are changed on their way through the URL path.
func TestKeys(t *testing.T) {
	_, c := start(t, platform.Settings{})
	keys := []store.Key{"a", "job/a b", "job/a?x=1", "job/a%2Fb", "job/a#b", "job/ü", "ledger/guj-morbi.0", "job//x", "job/../x", "job/+&"}
	for i, key := range keys {
		if _, err := c.Put(t.Context(), key, []byte{byte(i)}, store.IfAbsent(), ""); err != nil {
			t.Errorf("put %q: %v", key, err)
		}
	}
	for i, key := range keys {
		r, err := c.Get(t.Context(), key)
		if err != nil || r.Key != key || !cmp.Equal(r.Value, []byte{byte(i)}) {
			t.Errorf("get %q: got %+v, %v", key, r, err)
		}
	}
}

// TestWatch guards against a watch that misses a change, or that does not notice an
// outage which begins while it waits.
func TestWatch(t *testing.T) {
	tests := []struct {
		name string
		do   func(context.Context, *platform.Server, *store.Client) error
		want error
		keys []store.Key
	}{
		{"change below the prefix", func(ctx context.Context, _ *platform.Server, c *store.Client) error {
			_, err := c.Put(ctx, "a/b", nil, store.Always(), "")
			return err
		}, nil, []store.Key{"a/b"}},
		{"end of a lease", func(ctx context.Context, _ *platform.Server, c *store.Client) error {
			l, err := c.Grant(ctx, 20*time.Millisecond)
			if err != nil {
				return err
			}
			_, err = c.Put(ctx, "a/c", nil, store.Always(), l.ID)
			return err
		}, nil, []store.Key{"a/c"}},
		{"outage", func(_ context.Context, s *platform.Server, _ *store.Client) error {
			return s.Inject(platform.Fault{Outage: true})
		}, store.ErrUnavailable, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := start(t, platform.Settings{})
			done := make(chan error, 1)
			var changes store.Changes
			go func() {
				var err error
				changes, err = c.Watch(t.Context(), "a/", 0, 5*time.Second)
				done <- err
			}()
			for s.Calls().Methods["watch"] == 0 {
				time.Sleep(time.Millisecond)
			}
			if err := test.do(t.Context(), s, c); err != nil {
				t.Fatal(err)
			}
			checkClass(t, <-done, test.want)
			var keys []store.Key
			for _, e := range changes.Events {
				keys = append(keys, e.Record.Key)
			}
			if diff := cmp.Diff(test.keys, keys); diff != "" {
				t.Errorf("keys (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallCounts guards against calls that the budget of the store does not count.
func TestCallCounts(t *testing.T) {
	s, c := start(t, platform.Settings{Reads: 2})
	ctx := t.Context()
	_, _ = c.Put(ctx, "claim/1", nil, store.Always(), "")
	_, _ = c.List(ctx, "claim/")
	_, _ = c.Instances(ctx)
	_, err := c.Get(ctx, "config/head")
	checkClass(t, err, store.ErrUnavailable)
	want := platform.Calls{
		Total:   4,
		Methods: map[string]int{"put": 1, "list": 1, "instances": 1, "get": 1},
		Parts:   map[string]int{"put claim": 1, "list claim": 1, "get config": 1},
		Limited: 1,
	}
	if diff := cmp.Diff(want, s.Calls()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestSettingsOverHTTP guards against invalid test settings that are accepted, and
// against valid ones that have no effect.
func TestSettingsOverHTTP(t *testing.T) {
	tests := []struct {
		name, path, body string
		want             int
	}{
		{"fault", "/fault", `{"delay":"1ms","losepart":0.5}`, http.StatusOK},
		{"part above 1", "/fault", `{"losepart":2}`, http.StatusBadRequest},
		{"truncated body", "/fault", `{`, http.StatusBadRequest},
		{"instances", "/instances", `{"instances":[{"id":"w1","state":"leaving"}]}`, http.StatusOK},
		{"instance listed twice", "/instances", `{"instances":[{"id":"w2","state":"live"},{"id":"w2","state":"live"}]}`, http.StatusBadRequest},
		{"unknown state", "/instances", `{"instances":[{"id":"w2","state":"dead"}]}`, http.StatusBadRequest},
	}
	s, c := start(t, platform.Settings{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp, err := http.Post("http://"+s.Address()+test.path, "application/json", strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			http.DefaultClient.CloseIdleConnections()
			defer resp.Body.Close()
			if resp.StatusCode != test.want {
				t.Errorf("status: got %d, want %d", resp.StatusCode, test.want)
			}
		})
	}
	l, err := c.Instances(t.Context())
	if err != nil || l.Revision != 2 || len(l.Instances) != 1 || l.Instances[0].State != store.InstanceLeaving {
		t.Errorf("instance list: got %+v, %v", l, err)
	}
}
