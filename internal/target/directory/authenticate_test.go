package directory

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// revokeDelay is the time after which no request with a removed key may be served.
const revokeDelay = 5 * time.Second

// keyed returns a version of the configuration with organisation a and its keys.
func keyed(keys ...string) *Document {
	d := &Document{Version: 1}
	d.Organisations, d.Keys, _ = organisation.New([]organisation.Entry{{Organisation: organisation.Organisation{ID: "a"}, Keys: keys}})
	return d
}

// suspendedSince returns a time that is d ago by the wall clock and now by the monotonic
// clock, as after a suspension.
func suspendedSince(d time.Duration) time.Time {
	t := time.Now().Add(-d)
	layout := (*struct {
		wall      uint64
		monotonic time.Duration
	})(unsafe.Pointer(&t))
	layout.monotonic += d
	return t
}

// TestAuthenticate guards against serving a key that may have been removed, against a 401
// for a key that may have been added, and against rejecting keys that may be served.
func TestAuthenticate(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	tests := []struct {
		name      string
		document  *Document
		strict    bool
		confirmed time.Time
		outage    bool
		key       string
		want      Access
		ready     bool
	}{
		{"known", keyed("k"), true, ago(0), false, "k", Granted, true},
		{"known, view nearly too old", keyed("k"), true, ago(4600 * time.Millisecond), false, "k", Granted, true},
		{"known, view too old", keyed("k"), true, ago(4800 * time.Millisecond), false, "k", Undecided, false},
		{"known, suspended", keyed("k"), true, suspendedSince(6 * time.Second), false, "k", Undecided, false},
		{"known, complete outage", keyed("k"), true, ago(time.Minute), true, "k", Undecided, false},
		{"known, nothing confirmed yet", keyed("k"), true, time.Time{}, false, "k", Undecided, false},
		{"known, not strict", keyed("k"), false, ago(time.Minute), false, "k", Granted, true},
		{"unknown", keyed("k"), true, ago(0), false, "x", Denied, true},
		{"unknown, view older than a version may take", keyed("k"), true, ago(3100 * time.Millisecond), false, "x", Undecided, true},
		{"unknown, complete outage", keyed("k"), true, ago(time.Minute), true, "x", Undecided, false},
		{"unknown, complete outage, not strict", keyed("k"), false, ago(time.Minute), true, "x", Denied, true},
		{"unknown, old view, not strict", keyed("k"), false, ago(time.Minute), false, "x", Undecided, true},
		{"missing", keyed("k"), true, ago(0), false, "", Denied, true},
		{"missing, view older than a version may take", keyed("k"), false, ago(3100 * time.Millisecond), false, "", Undecided, true},
		{"no key is valid", keyed(), true, ago(0), false, "", Denied, true},
		{"no organisations", &Document{}, true, ago(time.Minute), false, "", Granted, true},
		{"no configuration", nil, true, ago(0), false, "k", Undecided, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var options []Option
			if tt.strict {
				options = append(options, RevokeWithin(revokeDelay))
			}
			s := New(logr.Discard(), decoder{}, 3*time.Second, options...)
			s.outage = fixedOutage(tt.outage)
			s.current.Store(tt.document)
			s.confirm(tt.confirmed)
			o, access := s.Authenticate(tt.key)
			if diff := cmp.Diff(tt.want, access); diff != "" {
				t.Errorf("access (-want +got):\n%s", diff)
			}
			if want := tt.want == Granted && tt.document.Keys != nil; (o.ID == "a") != want {
				t.Errorf("organisation %q", o.ID)
			}
			if diff := cmp.Diff(tt.ready, s.Ready()); diff != "" {
				t.Errorf("ready (-want +got):\n%s", diff)
			}
		})
	}
}

// cutStore answers with a latency, except between two times, in which calls time out.
type cutStore struct {
	slowStore
	from, to time.Time
}

func (s *cutStore) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	if now := time.Now(); now.After(s.from) && now.Before(s.to) {
		time.Sleep(800 * time.Millisecond) // as in storage/access
		return kv.Response{}, kv.ErrUnavailable
	}
	return s.slowStore.Do(ctx, r)
}

// TestCutOff guards against an entry that serves keys for longer than allowed after it has
// lost the store, and against one that rejects them while the store is merely slow or after
// it is back.
func TestCutOff(t *testing.T) {
	tests := []struct {
		name   string
		delay  time.Duration // for revocations
		store  slowStore
		cut    time.Duration // how long the store is not reached
		served bool          // all the time
		lines  []string      // of the log
	}{
		{"store answers", revokeDelay, slowStore{latency: 4 * time.Millisecond}, 0, true, nil},
		{"store slow, connection silent", revokeDelay, slowStore{latency: time.Second, silent: 3}, 0, true, nil},
		{"short delay", 2 * time.Second, slowStore{latency: 4 * time.Millisecond, silent: 5}, 0, true, nil},
		{"cut off", revokeDelay, slowStore{latency: 4 * time.Millisecond}, 20 * time.Second, false,
			[]string{"keys rejected: configuration not confirmed lately", "keys accepted again: configuration confirmed"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines []string
				log := funcr.NewJSON(func(line string) {
					var fields struct{ Msg string }
					_ = json.Unmarshal([]byte(line), &fields) // a line without a message differs
					lines = append(lines, fields.Msg)
				}, funcr.Options{})
				s := New(log, decoder{}, 0, RevokeWithin(tt.delay))
				s.current.Store(keyed("k"))
				cutAt := time.Now().Add(30 * time.Second)
				store := &cutStore{tt.store, cutAt, cutAt.Add(tt.cut)}
				s.store = kv.Client{Doer: store}
				s.Begin(t.Context(), s.follow, s.reportKeyAge)
				time.Sleep(3 * time.Second)
				served := true
				for range 6000 {
					time.Sleep(10 * time.Millisecond)
					_, access := s.Authenticate("k")
					served = served && access == Granted
					if age := time.Since(cutAt); access == Granted && age > tt.delay && age < tt.cut {
						t.Errorf("key accepted %s after the store was lost", age)
						break
					}
				}
				if diff := cmp.Diff(tt.served, served); diff != "" {
					t.Errorf("served all the time (-want +got):\n%s", diff)
				}
				if !s.Ready() {
					t.Error("not ready after the store was back")
				}
				_ = s.Stop(t.Context()) // never fails
				<-s.Done()
				if diff := cmp.Diff(tt.lines, lines); diff != "" {
					t.Errorf("log lines (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestChangeWhileAuthenticating guards against a key that is looked up in the table of the old
// version, while the age is already that of the read that showed the new one.
func TestChangeWhileAuthenticating(t *testing.T) {
	tests := []struct {
		name          string
		options       []Option
		before, after *Document
		never         Access
	}{
		{"key removed", []Option{RevokeWithin(revokeDelay)}, keyed("k"), keyed(), Granted},
		{"key added", nil, keyed(), keyed("k"), Denied},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), decoder{}, 3*time.Second, tt.options...)
			s.outage = fixedOutage(false)
			for range 20_000 {
				s.confirm(time.Time{})
				s.current.Store(tt.before)
				changed := make(chan struct{})
				go func() {
					defer close(changed)
					s.current.Store(tt.after)
					s.confirm(time.Now())
				}()
				_, access := s.Authenticate("k")
				<-changed
				if access == tt.never {
					t.Fatalf("access %d", access)
				}
			}
		})
	}
}
