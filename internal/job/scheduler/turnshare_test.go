package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// TestTurnBehindImpossibleSteps guards against steps that fit on no worker and use up the turns,
// or the attempts to reserve workers, so that a wide step that could start never does.
func TestTurnBehindImpossibleSteps(t *testing.T) {
	reserved := func(cores unit.Millicores) graph.Step {
		return graph.Step{Count: 1, Needs: unit.Resources{Cores: cores, Memory: 1 << 30}, Estimate: time.Second}
	}
	tooLarge := fillingStep(1, 4000)
	tooLarge.Needs.Memory = 1 << 50
	tests := []struct {
		name           string
		impossible     graph.Step
		jobs           int
		arriving, step graph.Step
	}{
		{"none", reserved(90000), 0, reserved(4000), reserved(60000)},
		{"some", reserved(90000), 5, reserved(4000), reserved(60000)},
		{"many", reserved(90000), 40, reserved(4000), reserved(60000)},
		{"none, fills", tooLarge, 0, fillingStep(1, 4000), fillingStep(1, 40000)},
		{"some, fills", tooLarge, 10, fillingStep(1, 4000), fillingStep(1, 40000)},
		{"many, fills", tooLarge, 60, fillingStep(1, 4000), fillingStep(1, 40000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBusyFleet(t, 4)
			for i := range tt.jobs {
				job := newJob(unit.JobID(fmt.Sprintf("impossible%d", i)), tt.impossible)
				job.Accepted = f.now
				f.core.AddJob(job, 0, true, f.now)
			}
			pass := func() {
				for f.timely() < 20 {
					f.arrive(tt.arriving)
				}
				f.step()
			}
			for range 20 {
				pass()
			}
			job := newJob("waiting", tt.step)
			job.Accepted = f.now
			since := f.now
			f.core.AddJob(job, 0, true, f.now)
			for f.starts["waiting"] == 0 && f.now.Sub(since) < 4*maxTurnWait {
				pass()
			}
			if wait := f.now.Sub(since); f.starts["waiting"] == 0 || wait > maxTurnWait {
				t.Errorf("%d tasks have started after %s, want 1 within %s", f.starts["waiting"], wait, maxTurnWait)
			}
		})
	}
}

// TestLateIdleOrder guards against a late step that has had nothing running for long and goes
// behind every late step that has never run, although that one has been idle for less time.
func TestLateIdleOrder(t *testing.T) {
	f := newBusyFleet(t, 1)
	add := func(id unit.JobID, age time.Duration) *step {
		job := newJob(id, fillingStep(2, 90000))
		job.Accepted = f.now.Add(-age)
		f.core.AddJob(job, 0, true, f.now)
		return f.core.lookupTask(firstTask(id)).step
	}
	ran := add("ran", 5*time.Second)
	ran.idleSince = f.now
	f.now = f.now.Add(30 * time.Second)
	fresh := add("fresh", 5*time.Second)
	for _, s := range []*step{ran, fresh} {
		t.Log(s.rank(f.now), s.idleFor(f.now))
	}
	if compareUrgency(ran, fresh, f.now) > 0 {
		t.Errorf("the step idle for %s goes behind the one idle for %s", ran.idleFor(f.now), fresh.idleFor(f.now))
	}
}

// TestReservationsOfOtherService guards against a step that gets no reservation since those of
// another service count against the bound of its own.
func TestReservationsOfOtherService(t *testing.T) {
	for _, busyOther := range []bool{false, true} {
		t.Run(fmt.Sprintf("other service busy %v", busyOther), func(t *testing.T) {
			f := newBusyFleet(t, 0)
			var listings []Listing
			for i := range 36 {
				l := newListing(unit.InstanceID(fmt.Sprintf("w%02d", i)))
				if i < 4 {
					l.Service = "small"
				}
				listings = append(listings, l)
			}
			f.listMany(listings)
			n := 0
			arrive := func(service unit.ServiceID, s graph.Step) {
				n++
				job := newJob(unit.JobID(fmt.Sprintf("arrived-%s-%06d", service, n)), s)
				job.Queue.Service, job.Queue.ID, job.Accepted = service, graph.QueueID(service), f.now
				f.core.AddJob(job, 0, true, f.now)
			}
			waiting := func(service unit.ServiceID, cores unit.Millicores) int {
				n := 0
				for _, s := range f.core.readySteps {
					if s.occurrence.job.spec.Queue.Service == service && s.spec.Needs.Cores == cores && !s.occurrence.tooLate(f.now) {
						n += len(s.waiting)
					}
				}
				return n
			}
			reservedNow := 0
			pass := func() {
				for waiting("small", 4000) < 20 {
					arrive("small", fillingStep(1, 4000))
				}
				for busyOther && waiting("orders", 4000) < 60 {
					arrive("orders", fillingStep(1, 4000))
				}
				for busyOther && waiting("orders", 40000) < 20 {
					arrive("orders", fillingStep(1, 40000))
				}
				f.step()
				if len(f.core.reservations.workers) > 0 {
					reservedNow++
				}
			}
			for range 200 {
				pass()
			}
			job := newJob("waiting", fillingStep(1, 41000))
			job.Queue.Service, job.Accepted = "small", f.now
			since := f.now
			f.core.AddJob(job, 0, true, f.now)
			for f.starts["waiting"] == 0 && f.now.Sub(since) < 2*maxTurnWait {
				pass()
			}
			if wait := f.now.Sub(since); f.starts["waiting"] == 0 || wait > maxTurnWait {
				t.Errorf("%d tasks have started after %s, want 1 within %s", f.starts["waiting"], wait, maxTurnWait)
			}
			t.Logf("started after %s, passes with reservations %d", f.now.Sub(since), reservedNow)
		})
	}
}

// TestReservationsOfGoneJobs guards against reservations for jobs that were cancelled or on
// workers that have left, which would keep other tasks away.
func TestReservationsOfGoneJobs(t *testing.T) {
	for _, gone := range []string{"job", "worker", "draining", "incarnation"} {
		t.Run(gone, func(t *testing.T) {
			f := newBusyFleet(t, 4)
			pass := func() {
				for f.timely() < 20 {
					f.arrive(fillingStep(1, 4000))
				}
				f.step()
			}
			job := newJob("waiting", fillingStep(1, 40000))
			for range 100 {
				pass()
			}
			job.Accepted = f.now
			f.core.AddJob(job, 0, true, f.now)
			for i := 0; len(f.core.lookupTask(firstTask("waiting")).step.reserved) == 0; i++ {
				if pass(); i > 1000 {
					t.Fatal("nothing is reserved")
				}
			}
			w := f.core.lookupTask(firstTask("waiting")).step.reserved[0]
			var listings []Listing
			for _, l := range f.core.Workers() {
				if l.ID == w.id {
					switch gone {
					case "worker":
						continue
					case "draining":
						l.Draining, l.TimeToExit = true, time.Minute
					}
				}
				listings = append(listings, l)
			}
			switch gone {
			case "job":
				f.core.Cancel("waiting", f.now)
			case "worker", "draining":
				f.core.SetWorkers(listings, f.now)
			case "incarnation":
				f.core.HandleReport(w.id, Report{Incarnation: 2, RequestedAt: f.now}, f.now)
				f.runs[w.id] = nil
			}
			f.core.placementDue = true
			for range 3 {
				f.core.Place(f.now.Add(bestEffortInterval))
			}
			// Another step may reserve a worker that the cancelled job has left.
			if s := w.reservedFor; s != nil && gone != "incarnation" && (gone != "job" || s.occurrence.job.spec.ID == "waiting") {
				t.Errorf("%s is still reserved, for %s", w.id, s.occurrence.job.spec.ID)
			}
			for _, o := range f.core.reservations.workers {
				if o.reservedFor == nil {
					t.Errorf("%s is listed without a step", o.id)
				}
			}
		})
	}
}
