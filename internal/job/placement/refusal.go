package placement

import (
	"fmt"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Refusal says why a task was not placed.
type Refusal struct {
	Size unit.Resources
	// Infeasible is set if no known worker could hold the task even when empty.
	Infeasible bool
	// Resource is the first that is short: cores, memory or accelerators; or
	// workers, if none is open; or combination, if each alone would fit somewhere.
	Resource string
	// Worker has the most of the resource, and Most is what it has: free, or as
	// its capacity if Never is set.
	Worker    unit.InstanceID
	Available unit.Resources
	// Quarantined counts the workers in quarantine, and Closed those not open.
	Quarantined, Closed int
}

// Explain returns why a task of this size has no worker. It looks at every
// worker and is meant for a task that Place refused.
func (x *Index) Explain(size unit.Resources) Refusal {
	r := Refusal{Size: size, Infeasible: true, Resource: "workers"}
	for _, w := range x.workers {
		if w.known && size.Fits(w.capacity) {
			r.Infeasible = false
			break
		}
	}
	var most [3]*record
	of := func(w *record) unit.Resources {
		if r.Infeasible {
			return w.capacity
		}
		return w.free
	}
	for _, w := range x.workers {
		switch {
		case !w.known:
			continue
		case w.health.held:
			r.Quarantined++
		case !w.open:
			r.Closed++
		}
		if !r.Infeasible && w.cell < 0 {
			continue
		}
		for i := range most {
			if best := most[i]; best == nil || component(of(w), i) > component(of(best), i) ||
				component(of(w), i) == component(of(best), i) && w.id < best.id {
				most[i] = w
			}
		}
	}
	for i, w := range most {
		if w == nil {
			return r
		}
		if component(size, i) > component(of(w), i) {
			r.Resource = [...]string{"cores", "memory", "accelerators"}[i]
			r.Worker, r.Available = w.id, of(w)
			return r
		}
	}
	r.Resource, r.Worker, r.Available = "combination", most[0].id, of(most[0])
	return r
}

// String returns the refusal in words.
func (r Refusal) String() string {
	rest := fmt.Sprintf("%d workers in quarantine, %d closed", r.Quarantined, r.Closed)
	if r.Resource == "workers" {
		return "no open worker; " + rest
	}
	word := "free now"
	if r.Infeasible {
		word = "in total; no worker can ever hold the task"
	}
	return fmt.Sprintf("short of %s: needs %s; worker %s has the most with %s %s; %s",
		r.Resource, vector(r.Size), r.Worker, vector(r.Available), word, rest)
}

func vector(v unit.Resources) string {
	text := fmt.Sprintf("%.2f cores, %.2f GB", float64(v.Cores)/1000, float64(v.Memory)/1e9)
	if v.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", v.Accelerators)
	}
	return text
}

func component(v unit.Resources, i int) int64 {
	return [...]int64{int64(v.Cores), int64(v.Memory), int64(v.Accelerators)}[i]
}
