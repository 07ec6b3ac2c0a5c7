package owner

// Connections to a worker.
const (
	// ownConns are one for the hold order that waits for ends and two for others.
	ownConns = 3
	// sharedConns is one for all orders, none of which waits at the worker then.
	sharedConns = 1
	// otherSockets is the number of sockets that are left to callers, peers and the
	// store.
	otherSockets = 400
	// widenShare is the part of the sockets that connections of their own may take
	// when workers change back to them, so that the mode does not change to and fro.
	widenShare = 0.75
)

// connsPerWorker returns how many connections each of some workers may take of the
// sockets of this process, 0 for no limit. present is the number so far.
func connsPerWorker(workers, sockets, present int) int {
	if sockets == 0 {
		return ownConns
	}
	limit := float64(sockets - otherSockets)
	if present == sharedConns {
		limit *= widenShare
	}
	if float64(workers*ownConns) > limit {
		return sharedConns
	}
	return ownConns
}
