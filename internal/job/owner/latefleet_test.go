package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// TestLateFleet guards against an owner that sends the heartbeats of the whole fleet itself
// for good after all answers were late for a while: the heartbeats fill its processor, so that
// the answers stay late.
func TestLateFleet(t *testing.T) {
	const (
		workers   = 40
		processor = unit.Millicores(30)
		settled   = 3 * time.Second
		disturbed = 3 * time.Second
		recovered = 4 * minDirectPeriod
		measured  = 10 * time.Second
		// allowed is the rate of direct calls above which answers are late.
		allowed = directCallShare * float64(processor) / 1000 / 100 * float64(time.Second) / float64(callTime)
	)
	synctest.Test(t, func(t *testing.T) {
		f := &sharedFleet{workers: map[unit.InstanceID]*sharedWorker{}}
		relay := &sharingRelay{fleet: f, sessions: map[unit.EntryID]*sharingSession{}, answer: func(int, time.Duration) error { return nil }}
		s := New(logr.Discard(), f, nil, Options{Limits: scheduler.Limits{StopTimeout: time.Second, MaxLease: 10 * time.Second}, Processor: processor})
		s.ownership, s.relay, s.heartbeatRelay = relayingOwnership{entries: []unit.EntryID{"b", "c", "d"}}, relay, relay
		sh := newSharedShard(t, s, f, workers)
		// run lets the shard work, with late answers if that is wanted or while more calls are
		// sent than allowed, and returns the rate of the calls.
		run := func(d time.Duration, late bool) (rate float64) {
			began, before := time.Now(), f.calls()
			for end := began.Add(d); time.Now().Before(end); {
				second, sent := time.Now().Add(time.Second), f.calls()
				for time.Now().Before(second) {
					sh.update(func(c *scheduler.Core, now time.Time) {
						c.SetStartRelays(sh.relays.update(now))
						c.Tick(now)
					})
					sh.sleep(tickInterval)
				}
				f.setDelay(0)
				if late || float64(f.calls()-sent) > allowed {
					f.setDelay(2 * responseSlack)
				}
			}
			return float64(f.calls()-before) / time.Since(began).Seconds()
		}
		run(settled, false)
		run(disturbed, true)
		run(recovered, false)
		if rate := run(measured, false); rate > allowed {
			t.Errorf("the owner sends %.0f calls a second, want at most %.0f", rate, allowed)
		}
		sh.cancel()
		sh.goroutines.Wait()
		time.Sleep(4 * idleHeartbeatWait) // the entries get the answers under way
	})
}
