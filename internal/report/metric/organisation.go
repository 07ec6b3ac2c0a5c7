package metric

import (
	"expvar"
	"sync/atomic"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Holds counts the tasks that began to wait because of their organisation, by cause.
var Holds = expvar.NewMap("holds")

// Organisation is what an organisation uses and waits for, as its owner saw it last.
type Organisation struct {
	Cores           unit.Millicores   `json:"cores"`
	Memory          unit.Bytes        `json:"memory"`
	Accelerators    unit.Accelerators `json:"accelerators"`
	CapCores        unit.Millicores   `json:"cap_cores"` // 0: no limit
	CapMemory       unit.Bytes        `json:"cap_memory"`
	CapAccelerators unit.Accelerators `json:"cap_accelerators"`
	Share           float64           `json:"share"`   // of the capacity; 0 while it is not filled
	Waiting         int               `json:"waiting"` // tasks
	Held            int               `json:"held"`    // of these, by the cap
	Beyond          int               `json:"beyond"`  // of these, of jobs beyond the rate
}

// organisations are the published ones, by name.
var organisations atomic.Pointer[map[string]Organisation]

func init() {
	expvar.Publish("organisations", expvar.Func(func() any { return organisations.Load() }))
}

// SetOrganisations replaces the organisations that the metrics show.
func SetOrganisations(published map[string]Organisation) { organisations.Store(&published) }
