package directory

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// Access is the decision about a request to a route that is not public.
type Access int

// Decisions about a request.
const (
	Undecided Access = iota // the view of the configuration is too old to decide
	Granted
	Denied // no key, or one that no organisation has
)

const (
	// keyAgeShare is the part of the time for revocations up to which a view accepts keys.
	keyAgeShare = 0.95
	// watchesPerMaxAge is how many watches without a change follow each other within the age
	// up to which a view accepts keys. A view is up to twice as old as one takes, or three
	// times if a connection is silent.
	watchesPerMaxAge = 5
	// minWatchTimeout keeps watches from following each other without a pause.
	minWatchTimeout = 100 * time.Millisecond
	// confirmationCheckInterval is the time between two looks at a view that is too old.
	confirmationCheckInterval = 100 * time.Millisecond
)

// RevokeWithin makes the service accept keys only while its view is recent enough that no
// request is served that was sent later than d after the acknowledgement of the version
// that removed its key.
func RevokeWithin(d time.Duration) Option {
	return func(s *Service) {
		s.strict, s.maxKeyAge = true, time.Duration(keyAgeShare*float64(d))
	}
}

// Authenticate decides whether a request with a key, or without one if it is empty, may use
// a route that is not public, and returns the organisation of the key.
func (s *Service) Authenticate(key string) (organisation.Organisation, Access) {
	// The age is read before the document: the document then holds every change that the
	// read has shown from which the age counts.
	age := s.viewAge(time.Now())
	d := s.Current()
	switch {
	case d == nil:
		return organisation.Organisation{}, Undecided
	case d.Keys == nil:
		return organisation.Organisation{}, Granted
	case s.expiresKeys(age):
		metric.RejectedKeys.Add("view too old for keys", 1)
		return organisation.Organisation{}, Undecided
	}
	if o, ok := d.Keys.Lookup(key); ok {
		return o, Granted
	}
	switch {
	case !s.isRecent(age):
		metric.RejectedKeys.Add("unknown on an old view", 1)
		return organisation.Organisation{}, Undecided
	case key == "":
		metric.RejectedKeys.Add("missing", 1)
	default:
		metric.RejectedKeys.Add("unknown", 1)
	}
	return organisation.Organisation{}, Denied
}

// Ready reports whether a configuration is known and, if it needs keys, whether the view is
// recent enough to accept them.
func (s *Service) Ready() bool {
	age := s.viewAge(time.Now())
	d := s.Current()
	return d != nil && (d.Keys == nil || !s.expiresKeys(age))
}

// expiresKeys reports whether a view of an age is too old to accept keys.
func (s *Service) expiresKeys(age time.Duration) bool { return s.strict && age > s.maxKeyAge }

// viewAge returns the time since the last read was sent that has shown all items.
func (s *Service) viewAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return unit.Age(s.confirmedAt, now)
}

// watchWait returns how long the store may delay the answer of a watch: less if a short age
// bounds the acceptance of keys.
func (s *Service) watchWait() time.Duration {
	if d := s.Current(); !s.strict || d == nil || d.Keys == nil {
		return watchTimeout
	}
	return min(watchTimeout, max(s.maxKeyAge/watchesPerMaxAge, minWatchTimeout))
}

// reportKeyAge logs and counts when the view becomes too old to accept keys, and logs when
// it is recent again, until the context ends.
func (s *Service) reportKeyAge(ctx context.Context) {
	expired := false
	for next := s.maxKeyAge; wait.For(ctx, next); {
		age := s.viewAge(time.Now())
		d := s.Current()
		now := d != nil && d.Keys != nil && age > s.maxKeyAge
		switch {
		case now && !expired:
			metric.KeyOutages.Add(1)
			s.log.Info("keys rejected: configuration not confirmed lately", "version", d.Version, "age", age.String(), "limit", s.maxKeyAge.String())
		case !now && expired:
			s.log.Info("keys accepted again: configuration confirmed", "version", d.Version, "age", age.String())
		}
		expired = now
		next = max(s.maxKeyAge-age, confirmationCheckInterval)
	}
}
