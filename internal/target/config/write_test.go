package config

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// logModel models the store: the records of the log, the head, and delayed writes.
type logModel struct {
	t            *rapid.T
	revision     unit.Revision
	records      map[unit.Revision]spec.Revision
	head         head
	earlierHeads []head   // all earlier values of head
	delayed      []func() // writes that take effect later
}

func (l *logModel) create(r spec.Revision) error {
	if _, exists := l.records[r.Number]; exists {
		return store.ErrConflict
	}
	l.revision++
	l.records[r.Number] = r
	return nil
}

func (l *logModel) advance(c command) error {
	if c.cond != l.head.condition() {
		return store.ErrConflict
	}
	if c.head.Number != l.head.Number+1 || l.records[c.head.Number].Operation != c.head.Operation {
		l.t.Fatalf("head moved from %+v to %+v, which is not the next in the log", l.head, c.head)
	}
	l.earlierHeads = append(l.earlierHeads, l.head)
	l.revision++
	l.head = c.head
	l.head.storeRevision = l.revision
	return nil
}

// execute executes a command with a fault that rapid draws.
func (l *logModel) execute(w *revisionWrite, c command) response {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "down", "lost", "delayed", "old"}).Draw(l.t, "fault")
	if fault == "down" {
		return response{err: store.ErrUnavailable}
	}
	var write func() error
	switch c.kind {
	case commandReadHead:
		if fault == "old" && len(l.earlierHeads) > 0 {
			return response{head: rapid.SampledFrom(l.earlierHeads).Draw(l.t, "old head")}
		}
		return response{head: l.head}
	case commandReadRevision:
		if r, ok := l.records[c.number]; ok {
			return response{revision: r}
		}
		return response{err: store.ErrNotFound}
	case commandCreate:
		write = func() error { return l.create(w.revision) }
	case commandAdvance:
		write = func() error { return l.advance(c) }
	}
	switch fault {
	case "lost":
		_ = write() // the write takes effect; only its answer is lost
		return response{err: store.ErrUnknown}
	case "delayed":
		l.delayed = append(l.delayed, func() { _ = write() })
		return response{err: store.ErrUnknown}
	}
	err := write()
	return response{storeRevision: l.revision, err: err}
}

// TestRevisionWrite guards against two changes that both succeed on one base, and
// against a result that the log contradicts. The writes interleave, lose answers,
// get stale answers, are abandoned, and have delayed store writes.
func TestRevisionWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &logModel{t: t, records: map[unit.Revision]spec.Revision{}}
		type running struct {
			write   *revisionWrite
			command command
		}
		var all []*running
		for i := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			base := unit.Revision(rapid.IntRange(0, 2).Draw(t, "base"))
			w, first := newRevisionWrite(spec.Revision{Number: base + 1, Base: base, Operation: unit.OperationID("op" + strconv.Itoa(i))})
			all = append(all, &running{w, first})
		}
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			if len(l.delayed) > 0 && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				i := rapid.IntRange(0, len(l.delayed)-1).Draw(t, "which")
				l.delayed[i]()
				l.delayed = append(l.delayed[:i], l.delayed[i+1:]...)
			}
			r := rapid.SampledFrom(all).Draw(t, "attempt")
			if r.command.kind != commandEnd {
				r.command = r.write.handle(l.execute(r.write, r.command))
			}
		}
		for _, f := range l.delayed {
			f()
		}
		for _, r := range all {
			r.write.abandon(store.ErrUnavailable)
			n := r.write.revision.Number
			inLog := l.records[n].Operation == r.write.revision.Operation
			switch r.write.result {
			case resultWritten:
				if !inLog || l.head.Number < n {
					t.Fatalf("written, but number %d is of %q and the head at %d", n, l.records[n].Operation, l.head.Number)
				}
			case resultLogged:
				if !inLog {
					t.Fatalf("logged, but number %d is of %q", n, l.records[n].Operation)
				}
			case resultConflict, resultFailed:
				if inLog {
					t.Fatalf("result %d, but number %d is in the log", r.write.result, n)
				}
			case resultUnknown:
			default:
				t.Fatalf("result %d", r.write.result)
			}
		}
	})
}
