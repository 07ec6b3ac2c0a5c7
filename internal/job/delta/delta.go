// Package delta encodes the successive reports of one worker as the differences between
// them. Encoder and decoder have to see the same reports in the same order, so a session
// that loses one is ended, and the next starts with a new encoder and decoder.
package delta

import (
	"math"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// errMalformed is returned for a report that no encoder writes.
var errMalformed = errors.New("malformed difference of reports")

// Report is what changed since the previous report of the same worker in the session.
// Before the first, the incarnation is 0 and the lists are empty.
type Report struct {
	// Incarnation is the difference to the previous incarnation. Unless it is 0, the
	// previous lists count as empty.
	Incarnation scheduler.Incarnation `cbor:"1,keyasint,omitempty"`
	Partial     bool                  `cbor:"2,keyasint,omitempty"`
	Running     []byte                `cbor:"3,keyasint,omitempty"` // edits of the list of runs
	Ended       []byte                `cbor:"4,keyasint,omitempty"` // edits of the list of ends
}

// state is the last report of a session.
type state struct {
	incarnation    scheduler.Incarnation
	running, ended list
}

// Encoder encodes the reports of one worker in one session. The zero value is ready.
type Encoder struct {
	last state
	next []item
}

// Encode returns the difference between a report and the previous one. The encoder shares
// no memory with the report or the result.
func (e *Encoder) Encode(r scheduler.Report) Report {
	out := Report{Incarnation: r.Incarnation - e.last.incarnation, Partial: r.Partial}
	if out.Incarnation != 0 {
		e.last = state{incarnation: r.Incarnation}
	}
	e.next = e.next[:0]
	for _, s := range r.Running {
		e.next = append(e.next, item{s.Task, s.Run, s.Checkpoint, int64(s.ProgressPercent), int64(s.Metric)})
	}
	out.Running = e.last.running.encode(e.next)
	e.next = e.next[:0]
	for _, end := range r.Ended {
		e.next = append(e.next, item{end.Task, end.Run, end.Checkpoint, int64(end.Kind), int64(end.Number)})
	}
	out.Ended = e.last.ended.encode(e.next)
	return out
}

// Decoder decodes the reports of one worker in one session. The zero value is ready.
type Decoder struct{ last state }

// Decode returns the report that the encoder was given, without RequestedAt. The decoder
// shares no memory with it. After an error the decoder must not be used.
func (d *Decoder) Decode(r Report) (scheduler.Report, error) {
	if r.Incarnation != 0 {
		d.last = state{incarnation: d.last.incarnation + r.Incarnation}
	}
	if err := d.last.running.decode(r.Running); err != nil {
		return scheduler.Report{}, errors.Errorf("decode runs: %w", err)
	}
	if err := d.last.ended.decode(r.Ended); err != nil {
		return scheduler.Report{}, errors.Errorf("decode ends: %w", err)
	}
	runs, ends := d.last.running.items, d.last.ended.items
	out := scheduler.Report{Incarnation: d.last.incarnation, Partial: r.Partial}
	out.Running = make([]scheduler.RunStatus, len(runs))
	for i, s := range runs {
		out.Running[i] = scheduler.RunStatus{Task: s.task, Run: s.run, Checkpoint: s.checkpoint, ProgressPercent: int(s.small), Metric: int(s.large)}
	}
	out.Ended = make([]scheduler.End, len(ends))
	for i, e := range ends {
		if e.small < 0 || e.small > math.MaxUint8 {
			return scheduler.Report{}, errors.Errorf("kind of end %d: %w", e.small, errMalformed)
		}
		out.Ended[i] = scheduler.End{Number: scheduler.EndNumber(e.large), Task: e.task, Run: e.run, Kind: scheduler.EndKind(e.small), Checkpoint: e.checkpoint}
	}
	return out, nil
}
