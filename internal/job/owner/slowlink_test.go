package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// Size and rate of the changes behind a slowLink, as of the heartbeats of 120 workers.
const (
	linkChangeBytes    = 430
	linkChangeInterval = 12 * time.Millisecond
)

// linkPart is the time in which a part of an answer arrives.
const linkPart = 20 * time.Millisecond

// slowLink answers reads of changes over a link that delivers one answer after the other.
// What the store has sent takes its time on the link also if nobody reads it any more.
type slowLink struct {
	rate    unit.Bytes    // in a second, left over by other traffic
	wait    time.Duration // of each answer behind other traffic
	backlog time.Duration // for which nothing was read before the first read
	silent  []int         // reads of which nothing arrives
	cut     []int         // reads of which only the first part arrives

	mu      sync.Mutex
	began   time.Time // of the changes
	freeAt  time.Time // when the link has delivered all answers so far
	reads   int
	fetched unit.Bytes
}

// changesUntil returns the number of changes until a time, which is the revision of the
// last one.
func (l *slowLink) changesUntil(t time.Time) unit.Revision {
	return unit.Revision(t.Sub(l.began) / linkChangeInterval)
}

// Do implements kv.Doer.
func (l *slowLink) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	l.mu.Lock()
	l.reads++
	read, latest := l.reads, l.changesUntil(time.Now())
	var answer kv.Response
	if !slices.Contains(l.silent, read) {
		answer.Revision = latest
		for revision := r.Since + 1; revision <= latest; revision++ {
			answer.Items = append(answer.Items, kv.Item{Key: "servers/w", Revision: revision})
		}
	}
	size := linkChangeBytes * unit.Bytes(len(answer.Items))
	l.fetched += size
	arrival := time.Now().Add(l.wait)
	if l.freeAt.After(arrival) {
		arrival = l.freeAt
	}
	l.freeAt = arrival.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	end := l.freeAt
	l.mu.Unlock()
	if slices.Contains(l.silent, read) {
		<-ctx.Done()
	}
	for at := arrival; at.Before(end); at = at.Add(linkPart) {
		select {
		case <-ctx.Done():
			return kv.Response{}, errors.Errorf("read: %w", errors.Join(ctx.Err(), kv.ErrUnavailable))
		case <-time.After(time.Until(at)):
			kv.ReportProgress(ctx)
		}
		if slices.Contains(l.cut, read) {
			<-ctx.Done()
		}
	}
	time.Sleep(time.Until(end))
	return answer, ctx.Err()
}

// linkView checks that a view holds each change once, and all changes until the time for
// which it is confirmed.
type linkView struct {
	ageHandler
	t       *testing.T
	link    *slowLink
	applied unit.Revision
}

func (v *linkView) applyChanges(events []kv.Item, read unit.Revision, sentAt time.Time) {
	for _, e := range events {
		if e.Revision != v.applied+1 {
			v.t.Errorf("change %d applied after %d", e.Revision, v.applied)
		}
		v.applied = e.Revision
	}
	if due := v.link.changesUntil(sentAt); v.applied < due {
		v.t.Errorf("view with %d changes confirmed for a time with %d", v.applied, due)
	}
	v.ageHandler.applyChanges(events, read, sentAt)
}

// TestSlowLink guards against an owner on a small link that fetches the same changes twice
// while their answer is late, so that its views become older still, and against one that
// waits for a silent connection.
func TestSlowLink(t *testing.T) {
	tests := []struct {
		name    string
		link    *slowLink
		fetched int           // limit, in percent of the bytes of the changes
		oldest  time.Duration // limit of the age of the view
	}{
		{"free", &slowLink{rate: 250_000, wait: 4 * time.Millisecond}, 101, 400 * time.Millisecond},
		{"answers wait", &slowLink{rate: 125_000, wait: 700 * time.Millisecond}, 105, 2 * time.Second},
		{"answers arrive slowly", &slowLink{rate: 50_000, wait: 100 * time.Millisecond}, 105, 1200 * time.Millisecond},
		{"backlog", &slowLink{rate: 125_000, wait: 100 * time.Millisecond, backlog: 5 * time.Second}, 105, 3 * time.Second},
		{"silent connection", &slowLink{rate: 250_000, wait: 4 * time.Millisecond, silent: []int{10}}, 101, 800 * time.Millisecond},
		{"silent connections", &slowLink{rate: 250_000, wait: 4 * time.Millisecond, silent: []int{10, 12, 14}}, 101, 800 * time.Millisecond},
		{"answers wait, silent connection", &slowLink{rate: 125_000, wait: 700 * time.Millisecond, silent: []int{8}}, 105, 3300 * time.Millisecond},
		{"answer cut off", &slowLink{rate: 125_000, wait: 100 * time.Millisecond, cut: []int{10}}, 105, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				link := tt.link
				link.began = time.Now().Add(-link.backlog)
				s := &Service{fleet: &scriptedFleet{}, store: kv.Client{Doer: link}}
				sh := newShard(t.Context(), s, ownership.Term{Epoch: 1})
				view := linkView{ageHandler: ageHandler{confirmedAt: time.Now()}, t: t, link: link}
				r := sh.newWorkerReader()
				r.handler = &view
				r.start(0)
				time.Sleep(30 * time.Second)
				r.mu.Lock()
				oldest := max(view.oldest, time.Since(view.confirmedAt))
				r.mu.Unlock()
				link.mu.Lock()
				fetched := int(100 * link.fetched / (linkChangeBytes * unit.Bytes(link.changesUntil(time.Now()))))
				link.mu.Unlock()
				sh.cancel()
				sh.goroutines.Wait()
				if fetched > tt.fetched {
					t.Errorf("fetched %d%% of the bytes of the changes, want at most %d%%", fetched, tt.fetched)
				}
				if oldest > tt.oldest {
					t.Errorf("view was up to %s old, want at most %s", oldest, tt.oldest)
				}
			})
		})
	}
}
