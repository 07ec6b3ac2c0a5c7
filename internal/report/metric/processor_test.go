package metric

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestProcessorRates guards against processor time that is attributed to two kinds of
// work, and against rates of a period that is not known.
func TestProcessorRates(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const cycles = 7
	reading := func(at time.Time, user, system, lockWait time.Duration, work map[Work]time.Duration, reports int64) processorReading {
		return processorReading{at: at, user: user, system: system, lockWait: lockWait, work: work, events: map[Event]int64{EventReport: reports, EventCycle: cycles}}
	}
	first := reading(start, 10*time.Second, 5*time.Second, time.Second, map[Work]time.Duration{WorkCore: 3 * time.Second, WorkPlace: time.Second}, 500)
	collected := reading(start.Add(2*time.Second), 10*time.Second, 5*time.Second, time.Second, first.work, 500)
	collected.events[EventCycle]++
	idle := func(at time.Time) processorReading {
		r := first
		r.at = at
		return r
	}
	tests := []struct {
		name          string
		last, current processorReading
		want          ProcessorRates
	}{
		{"first reading", processorReading{}, first, ProcessorRates{}},
		{"clock goes nowhere", first, idle(start), ProcessorRates{}},
		{"clock goes back", first, idle(start.Add(-time.Second)), ProcessorRates{}},
		{"idle", first, idle(start.Add(2 * time.Second)), ProcessorRates{
			Work: map[Work]Percent{WorkCore: 0, WorkPlace: 0, WorkRest: 0}, EventsPerSecond: map[Event]float64{},
		}},
		{"rare event", first, collected, ProcessorRates{
			Work: map[Work]Percent{WorkCore: 0, WorkPlace: 0, WorkRest: 0}, EventsPerSecond: map[Event]float64{EventCycle: 0.5},
		}},
		{
			"core holds its parts", first,
			reading(start.Add(2*time.Second), 10*time.Second+800*time.Millisecond, 5*time.Second+300*time.Millisecond, time.Second+50*time.Millisecond, map[Work]time.Duration{
				WorkCore: 3*time.Second + 400*time.Millisecond, WorkPlace: time.Second + 200*time.Millisecond, WorkListing: 100 * time.Millisecond, WorkReply: 40 * time.Millisecond,
			}, 900),
			ProcessorRates{
				Total: 55, System: 15, LockWait: 2.5,
				Work:            map[Work]Percent{WorkCore: 5, WorkPlace: 10, WorkListing: 5, WorkReply: 2, WorkRest: 18},
				EventsPerSecond: map[Event]float64{EventReport: 200},
			},
		},
		{
			"timed work was interrupted by others", first,
			reading(start.Add(time.Second), 10*time.Second+100*time.Millisecond, 5*time.Second, time.Second, map[Work]time.Duration{WorkCore: 3*time.Second + 300*time.Millisecond, WorkPlace: time.Second}, 500),
			ProcessorRates{
				Total: 10, Work: map[Work]Percent{WorkCore: 30, WorkPlace: 0, WorkRest: 0}, EventsPerSecond: map[Event]float64{},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, ratesBetween(tt.last, tt.current)); diff != "" {
				t.Errorf("rates (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProcessorMeter guards against a meter that reads no processor time of the process,
// or repeats what it has reported.
func TestProcessorMeter(t *testing.T) {
	tests := []struct {
		name string
		busy time.Duration // of the process before the reading
		any  bool          // whether there are rates
	}{
		{"first reading", 0, false},
		{"busy", 50 * time.Millisecond, true},
	}
	var meter ProcessorMeter
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now()
			for time.Since(began) < tt.busy { // uses processor time
			}
			ReplyTimer.Since(began)
			rates := meter.Rates(time.Now())
			got := []bool{rates.Total > 0, rates.Work[WorkReply] > 0}
			if diff := cmp.Diff([]bool{tt.any, tt.any}, got); diff != "" {
				t.Errorf("total and timed work are shown (-want +got):\n%s", diff)
			}
		})
	}
}
