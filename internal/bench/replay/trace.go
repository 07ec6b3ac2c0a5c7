// Package replay compares the scheduling policies with baselines. It generates
// seeded traces of both firms, replays them through the policies with a simple
// latency model, and prints one table of results. Its only side effects are the
// table and the files of plots and traces.
package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Kind is the kind of a line of a trace.
type Kind string

// Kinds of lines.
const (
	KindHeader  Kind = "header"
	KindWorker  Kind = "worker"
	KindClass   Kind = "class"
	KindRate    Kind = "rate"    // Class receives Rate requests a second from At on
	KindJob     Kind = "job"     // Job is submitted
	KindCancel  Kind = "cancel"  // Job.ID is cancelled
	KindBurst   Kind = "burst"   // tasks of Class on Workers interfere Factor times as much for Span
	KindSlow    Kind = "slow"    // Workers are Factor times slower for Span, independent of their tasks
	KindFail    Kind = "fail"    // Workers fail, with all their tasks, and return after Span
	KindBroken  Kind = "broken"  // Workers fail every task for Span
	KindZoneOut Kind = "zoneout" // operators take Zone out of service; its workers stop after Span
	KindZoneIn  Kind = "zonein"  // Zone is back in service
)

// Line is one line of a trace. Which fields apply depends on the kind.
type Line struct {
	Kind    Kind              `json:"kind"`
	At      unit.Duration     `json:"at,omitempty"` // since the start
	Span    unit.Duration     `json:"span,omitempty"`
	Header  *Header           `json:"header,omitempty"`
	Worker  *Worker           `json:"worker,omitempty"`
	Shape   *Class            `json:"shape,omitempty"`
	Class   unit.ClassID      `json:"class,omitempty"`
	Rate    float64           `json:"rate,omitempty"`
	Job     *Job              `json:"job,omitempty"`
	Workers []unit.InstanceID `json:"workers,omitempty"`
	Factor  float64           `json:"factor,omitempty"`
	Zone    unit.ZoneID       `json:"zone,omitempty"`
}

// Header is the first line of a trace.
type Header struct {
	Firm       string        `json:"firm"`
	Seed       uint64        `json:"seed"`
	Span       unit.Duration `json:"span"`
	Entries    int           `json:"entries"`
	Slots      int           `json:"slots"`      // slots of each worker
	ZoneDelay  unit.Duration `json:"zonedelay"`  // one way
	CallerWait unit.Duration `json:"callerwait"` // both ways between caller and entry
}

// Worker is one worker of the trace.
type Worker struct {
	ID       unit.InstanceID `json:"id"`
	Zone     unit.ZoneID     `json:"zone"`
	Rack     unit.RackID     `json:"rack"`
	Capacity unit.Resources  `json:"capacity"`
	Reserved unit.Resources  `json:"reserved"` // by the service of the worker
}

// Class is a class of work: the configuration by operators, and the real
// behaviour, which the policies do not see.
type Class struct {
	Name   unit.ClassID `json:"name"`
	Kind   spec.Kind    `json:"kind"`
	Target spec.Target  `json:"target"`
	Weight float64      `json:"weight,omitempty"` // static weight that the baselines use

	Median unit.Duration            `json:"median,omitempty"` // service time of a request
	Spread float64                  `json:"spread,omitempty"` // standard deviation of the logarithm of the service time
	Harm   map[unit.ClassID]float64 `json:"harm,omitempty"`   // by request class: relative rise of service times if this class used all cores
}

// Job is a job with its declared and its real demand.
type Job struct {
	ID           unit.JobID     `json:"id"`
	Class        unit.ClassID   `json:"class,omitempty"`
	Zone         unit.ZoneID    `json:"zone,omitempty"` // only for standing classes
	Tasks        int            `json:"tasks,omitempty"`
	Declared     unit.Resources `json:"declared,omitzero"`
	Real         unit.Resources `json:"real,omitzero"`
	DeclaredWork unit.Duration  `json:"declaredwork,omitempty"`
	Work         unit.Duration  `json:"work,omitempty"`  // real run time at all its cores; 0: runs until stopped
	Fails        bool           `json:"fails,omitempty"` // every task fails wherever it runs
}

// Trace is a decoded trace, with its events in the order of time.
type Trace struct {
	Header  Header
	Workers []Worker
	Classes []Class
	Events  []Line
}

// Encode writes the trace as JSON lines.
func (t *Trace) Encode(w io.Writer) error {
	enc := json.NewEncoder(w)
	lines := []Line{{Kind: KindHeader, Header: &t.Header}}
	for i := range t.Workers {
		lines = append(lines, Line{Kind: KindWorker, Worker: &t.Workers[i]})
	}
	for i := range t.Classes {
		lines = append(lines, Line{Kind: KindClass, Shape: &t.Classes[i]})
	}
	for _, l := range append(lines, t.Events...) {
		if err := enc.Encode(l); err != nil {
			return errors.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// Decode reads a trace of JSON lines.
func Decode(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for n := 1; scanner.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, errors.Errorf("read trace: line %d: %w", n, err)
		}
		switch {
		case l.Kind == KindHeader && l.Header != nil:
			t.Header = *l.Header
		case l.Kind == KindWorker && l.Worker != nil:
			t.Workers = append(t.Workers, *l.Worker)
		case l.Kind == KindClass && l.Shape != nil:
			t.Classes = append(t.Classes, *l.Shape)
		case l.Kind == KindHeader || l.Kind == KindWorker || l.Kind == KindClass || (l.Kind == KindJob || l.Kind == KindCancel) && l.Job == nil:
			return nil, errors.Errorf("read trace: line %d: %s without its value", n, l.Kind)
		default:
			t.Events = append(t.Events, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Errorf("read trace: %w", err)
	}
	return t, nil
}
