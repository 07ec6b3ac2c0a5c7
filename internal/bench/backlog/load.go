// Package backlog replays a day of jobs on a model of one fleet under each order of
// package overload, and compares what the jobs are worth in the end. It has no network and
// depends on its seed alone.
package backlog

import (
	"fmt"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Kind is a class of jobs.
type Kind string

// Kinds of jobs.
const (
	Urgent  Kind = "urgent"  // short, with cores of their own
	Batch   Kind = "batch"   // short, on the cores that others leave
	Serving Kind = "serving" // long-running, with cores of their own
)

// shape describes the jobs of a kind.
type shape struct {
	kind         Kind
	priority     graph.Priority
	needs        unit.Resources
	steps, tasks float64       // means
	took         time.Duration // mean of a task
	rate         float64       // jobs per second
	atStart      int           // jobs at the start
	stretch      float64
	target       time.Duration
	checkpoints  float64 // share of the jobs that save checkpoints
	bestEffort   bool
}

func resources(cores, gigabytes float64) unit.Resources {
	return unit.Resources{Cores: unit.Millicores(cores * 1000), Memory: unit.Bytes(gigabytes * (1 << 30))}
}

// shapes are those of the recorded days.
var shapes = []shape{
	{kind: Serving, needs: resources(13, 26), steps: 1, tasks: 14, took: 70 * time.Second, rate: 0.9, atStart: 163},
	{kind: Urgent, needs: resources(10, 19), steps: 1.6, tasks: 9.5, took: 640 * time.Millisecond, rate: 18.8, stretch: 1.5, target: 300 * time.Millisecond},
	{
		kind: Batch, priority: 2, needs: resources(7, 13), steps: 2, tasks: 20, took: 2200 * time.Millisecond, rate: 20.2,
		stretch: 2, target: time.Second, checkpoints: 0.85, bestEffort: true,
	},
}

// shapeOf returns the shape of a kind.
func shapeOf(k Kind) *shape {
	for i := range shapes {
		if shapes[i].kind == k {
			return &shapes[i]
		}
	}
	panic(fmt.Sprintf("no shape of kind %q", k)) // jobs are decoded with a check of the kind
}

// window is a period of the day; it is empty if it does not end after its start.
type window struct{ from, to time.Duration }

func (w window) includes(t time.Duration) bool { return t >= w.from && t < w.to }

// Load is a day that is played.
type Load struct {
	Name    string
	burst   window // with burstFactor times the batch jobs
	silence window // in which no worker answers
	loss    time.Duration
}

// Parameters of the loads.
const (
	burstFactor = 2.5
	lostDivisor = 3 // one worker in so many is lost
)

var (
	burst   = window{3 * time.Second, 7 * time.Second}
	silence = window{18 * time.Second, 22 * time.Second}
)

const lossAt = 25 * time.Second

// Loads returns the loads to play.
func Loads() []Load {
	return []Load{
		{Name: "steady"},
		{Name: "burst", burst: burst},
		{Name: "loss", loss: lossAt},
		{Name: "silence", silence: silence},
		{Name: "all", burst: burst, loss: lossAt, silence: silence},
	}
}
