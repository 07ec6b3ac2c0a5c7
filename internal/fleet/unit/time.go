package unit

import (
	"time"

	"github.com/go-faster/errors"
)

// WorkerTime is a reading of a worker's own monotonic clock in nanoseconds.
// Readings of different workers, or of one worker before and after a restart, are not
// comparable.
type WorkerTime int64

// Add returns the reading d later.
func (t WorkerTime) Add(d time.Duration) WorkerTime { return t + WorkerTime(d) }

// Sub returns the duration from o to t.
func (t WorkerTime) Sub(o WorkerTime) time.Duration { return time.Duration(t - o) }

// Age returns the time since t by the monotonic clock or the wall clock, whichever is
// longer: the monotonic clock stops while an instance is suspended.
func Age(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Duration is a time.Duration written as text such as "250ms" in settings and
// targets.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}
