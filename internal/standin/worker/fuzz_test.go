package worker

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// FuzzOrders guards against a batch that breaks the runner or overcommits it.
func FuzzOrders(f *testing.F) {
	start := `{"fence":{"shard":"z.0","epoch":1},"orders":[{"task":{"job":"j","index":0},"attempt":1,"action":"start",` +
		`"size":{"cores":1,"memory":1},"work":"1s","lease":9000000000000000000,"notafter":9000000000000000000}]}`
	throttle := `{"fence":{"shard":"z.0","epoch":1},"orders":[{"task":{"job":"j","index":0},"attempt":1,"action":"throttle","share":5e-324}]}`
	f.Add([]byte(start), []byte(throttle), int64(1))
	f.Add([]byte(start), []byte(start), int64(1<<62))
	f.Fuzz(func(t *testing.T, first, second []byte, span int64) {
		r := newRunner(testSettings, "boot")
		var now unit.WorkerTime
		for _, data := range [][]byte{first, second} {
			var batch protocol.OrderBatch
			if json.Unmarshal(data, &batch) != nil {
				return
			}
			r.orders(now, batch)
			if now += unit.WorkerTime(span); now < 0 {
				return // no clock runs that long
			}
			r.heartbeat(now, protocol.Heartbeat{Fence: batch.Fence})
			if !r.committed.Add(testSettings.Reserved).Fits(testSettings.Capacity) {
				t.Fatalf("committed %+v", r.committed)
			}
		}
	})
}

// FuzzParseResponse guards against a body that breaks the parser, and against
// one that it takes although no worker encoded it.
func FuzzParseResponse(f *testing.F) {
	f.Add(Response{Worker: "w1", Request: "r1", Check: "c1"}.encode("/quote", 3))
	f.Add([]byte("sum \n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := ParseResponse(body)
		if err != nil && !cmp.Equal(got, Response{}) {
			t.Errorf("got %+v with error %v", got, err)
		}
	})
}
