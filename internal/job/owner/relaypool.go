package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// queuedBatch is starts of one job that wait to be sent through an entry.
type queuedBatch struct {
	orders   []scheduler.Order
	queuedAt time.Time
}

// relayPool sends batches of starts through other entries. The lock of the shard guards
// its fields.
type relayPool struct {
	shard     *shard
	relays    map[unit.EntryID]*relayClient
	updatedAt time.Time
	sharing   int // number of entries that send heartbeats; 0: the owner does

	// Longest times of a batch since the last summary.
	longestQueued, longestAnswer time.Duration
}

func newRelayPool(sh *shard) *relayPool {
	return &relayPool{shard: sh, relays: map[unit.EntryID]*relayClient{}}
}

// takeLongestTimes returns the longest time that a batch has waited for its turn, and until
// its answer, since the last call.
func (p *relayPool) takeLongestTimes() (queued, answer time.Duration) {
	queued, answer = p.longestQueued, p.longestAnswer
	p.longestQueued, p.longestAnswer = 0, 0
	return queued, answer
}

// recordQueued records how long a batch has waited for its turn.
func (p *relayPool) recordQueued(d time.Duration) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.longestQueued = max(p.longestQueued, d)
}

// recordAnswer records how long a batch took from its call to the answer, or to its timeout.
func (p *relayPool) recordAnswer(d time.Duration) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.longestAnswer = max(p.longestAnswer, d)
}

// offer queues orders of one batch and reports whether an entry takes it. The starts of
// the same tasks go through the same entry while that answers, as it has the spec already.
func (p *relayPool) offer(batch []scheduler.Order) bool {
	task := batch[0].Task
	tasks := xxhash.Sum64String(string(task.Job)) + uint64(task.Index)/scheduler.MaxStartBatch
	best := p.choose(tasks, func(r *relayClient) bool {
		return r.rank < p.startRelays() && r.reachable.Load() && len(r.queue) < cap(r.queue)
	})
	if best == nil {
		return false
	}
	best.queue <- queuedBatch{batch, time.Now()} // has room, as only this function sends
	return true
}

// startRelays returns through how many entries starts are sent.
func (p *relayPool) startRelays() int {
	if p.sharing > 0 && p.shard.heartbeats.directInterval() <= busyHeartbeatWait {
		return maxStartRelays
	}
	return maxRelays // the link is short
}

// update replaces the entries that batches are sent through by those that are registered
// now, at most once in a relayUpdateInterval, and returns how many there are.
func (p *relayPool) update(now time.Time) scheduler.StartRelays {
	if now.Sub(p.updatedAt) >= relayUpdateInterval {
		p.updatedAt = now
		p.replace(p.shard.service.ownership.StartRelays())
		p.shareHeartbeats()
		p.shard.heartbeats.setRelayed(p.relayedShare(), now)
	}
	count := scheduler.StartRelays{Registered: len(p.relays), Preferred: p.sharing > 0}
	for _, r := range p.relays {
		if r.reachable.Load() {
			count.Reachable++
		}
	}
	return count
}

// replace replaces the entries that batches are sent through by the first maxRelays of a
// list.
func (p *relayPool) replace(entries []unit.EntryID) {
	entries = entries[:min(len(entries), maxRelays)]
	wanted := map[unit.EntryID]bool{}
	for rank, id := range entries {
		wanted[id] = true
		if p.relays[id] == nil {
			p.relays[id] = newRelayClient(p.shard, id)
		}
		p.relays[id].rank = rank
	}
	for id, r := range p.relays {
		if !wanted[id] {
			r.cancel()
			delete(p.relays, id)
		}
	}
}

// shareHeartbeats decides through how many entries heartbeats are sent.
func (p *relayPool) shareHeartbeats() {
	options := p.shard.service.options
	workers, interval := len(p.shard.workerClients), p.shard.heartbeats.directInterval()
	n := heartbeatRelays(workers, options.Processor, interval)
	if n == 0 && p.sharing > 0 {
		n = heartbeatRelays(workers*100/relayHysteresis, options.Processor, interval*100/relayHysteresis)
	}
	if n != p.sharing {
		p.shard.log.Info("entries that send heartbeats and starts for the owner", "entries", n, "before", p.sharing, "workers", workers,
			"registered", len(p.relays), "interval", interval.String())
	}
	p.sharing = n
}

// relayedShare returns the share of the heartbeats that other entries send.
func (p *relayPool) relayedShare() float64 {
	if p.sharing == 0 {
		return 0
	}
	live := 0
	for _, r := range p.relays {
		if r.rank < p.sharing && r.session.Load() != nil {
			live++
		}
	}
	return float64(live) / float64(p.sharing)
}

// heartbeatSession returns the session in which the heartbeats to a worker are sent, or nil
// if they are sent directly.
func (p *relayPool) heartbeatSession(id unit.InstanceID) *heartbeatSession {
	if p.sharing == 0 {
		return nil
	}
	best := p.choose(xxhash.Sum64String(string(id)), func(r *relayClient) bool {
		return r.rank < p.sharing && r.session.Load() != nil
	})
	if best == nil {
		return nil
	}
	return best.session.Load()
}

// choose returns one of the usable relays for a key, or nil if there is none. Keys are
// spread evenly, and a key moves only if its relay cannot be used any more or a new one
// takes it.
func (p *relayPool) choose(key uint64, usable func(*relayClient) bool) *relayClient {
	var best *relayClient
	var highest uint64
	for _, r := range p.relays {
		if score := mixHashes(r.hash, key); usable(r) && (best == nil || score > highest) {
			best, highest = r, score
		}
	}
	return best
}

// mixHashes returns a hash of two hashes. Their exclusive or alone would not do: the relay
// with the smallest one of several is the same for up to half of all keys.
func mixHashes(a, b uint64) uint64 {
	const mixer = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := (a ^ b) * mixer
	h ^= h >> 32
	h *= mixer
	return h ^ h>>32
}
