// Package overload decides which waiting work goes first, and which is of no use any
// more, while the capacity of the fleet is short. The package does no I/O and reads no
// clock.
package overload

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// Load summarizes how full a shard is. The owner computes it, and passes it on to the
// other entries, which decide by it which jobs to reject.
type Load struct {
	Short  bool            `cbor:"1,keyasint,omitempty"` // tasks wait for capacity
	Free   unit.Millicores `cbor:"2,keyasint,omitempty"` // cores that no run has reserved
	Total  unit.Millicores `cbor:"3,keyasint,omitempty"` // cores of all workers that take starts
	Queues []QueueLoad     `cbor:"4,keyasint,omitempty"`
}

// QueueLoad is the load of one queue.
type QueueLoad struct {
	Queue     graph.QueueID `cbor:"1,keyasint"`
	Waiting   int           `cbor:"2,keyasint,omitempty"` // jobs with a task that waits for capacity
	StartWait time.Duration `cbor:"3,keyasint,omitempty"` // expected time until a job that arrives now starts
}
