package dispatch

import (
	"expvar"

	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// Counters of the process.
var (
	orderCount     = expvar.NewMap("dispatch_orders")     // orders sent to workers, by action
	resultCount    = expvar.NewMap("dispatch_results")    // results of orders, by code
	heartbeatCount = expvar.NewInt("dispatch_heartbeats") // heartbeats sent to workers
	writeCount     = expvar.NewMap("dispatch_writes")     // writes to the store, by kind: ledger, job, shard
	claimCount     = expvar.NewInt("dispatch_claims")     // shards claimed
)

func countOrders(b worker.OrderBatch) {
	for _, o := range b.Orders {
		orderCount.Add(string(o.Action), 1)
	}
}

func countResults(r worker.OrderReply) {
	for _, x := range r.Results {
		resultCount.Add(string(x.Code), 1)
	}
}
