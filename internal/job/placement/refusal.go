package placement

import (
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Refusal says why a task was not placed.
type Refusal struct {
	Size unit.Resources
	// Infeasible is set if no worker could hold the task even when empty.
	Infeasible bool
	// Resource is the first resource that is short: cores, memory or accelerators.
	// It is workers if none is open, and combination if each resource alone would
	// fit on some worker.
	Resource string
	// Worker has the most of the resource. Available is what it has free, or its
	// capacity if Infeasible is set.
	Worker    unit.InstanceID
	Available unit.Resources
	// Quarantined counts the workers in quarantine, and Closed the others that are
	// not open.
	Quarantined, Closed int
}

// Explain returns why a task of this size has no worker. It examines every worker and
// is meant to be called after Place found none.
func (x *Index) Explain(size unit.Resources) Refusal {
	r := Refusal{Size: size, Infeasible: true, Resource: "workers"}
	for _, w := range x.workers {
		if w.listed && size.Fits(w.capacity) {
			r.Infeasible = false
			break
		}
	}
	var largest [3]*workerState
	available := func(w *workerState) unit.Resources {
		if r.Infeasible {
			return w.capacity
		}
		return w.free
	}
	for _, w := range x.workers {
		switch {
		case !w.listed:
			continue
		case w.health.quarantined:
			r.Quarantined++
		case !w.open:
			r.Closed++
		}
		if !r.Infeasible && w.cell < 0 {
			continue
		}
		for i := range largest {
			if best := largest[i]; best == nil || component(available(w), i) > component(available(best), i) ||
				component(available(w), i) == component(available(best), i) && w.id < best.id {
				largest[i] = w
			}
		}
	}
	for i, w := range largest {
		if w == nil {
			return r
		}
		if component(size, i) > component(available(w), i) {
			r.Resource = [...]string{"cores", "memory", "accelerators"}[i]
			r.Worker, r.Available = w.id, available(w)
			return r
		}
	}
	r.Resource, r.Worker, r.Available = "combination", largest[0].id, available(largest[0])
	return r
}

// String returns the refusal as a sentence for operators.
func (r Refusal) String() string {
	excluded := fmt.Sprintf("%d workers in quarantine, %d closed", r.Quarantined, r.Closed)
	if r.Resource == "workers" {
		return "no open worker; " + excluded
	}
	basis := "free now"
	if r.Infeasible {
		basis = "in total; no worker can ever hold the task"
	}
	return fmt.Sprintf("short of %s: needs %s; worker %s has the most with %s %s; %s",
		r.Resource, formatResources(r.Size), r.Worker, formatResources(r.Available), basis, excluded)
}

func formatResources(v unit.Resources) string {
	text := fmt.Sprintf("%.2f cores, %.2f GB", float64(v.Cores)/1000, float64(v.Memory)/1e9)
	if v.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", v.Accelerators)
	}
	return text
}

func component(v unit.Resources, i int) int64 {
	return [...]int64{int64(v.Cores), int64(v.Memory), int64(v.Accelerators)}[i]
}
