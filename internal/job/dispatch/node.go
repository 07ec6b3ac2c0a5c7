package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// maxOrders bounds a batch, so that one exchange does not hold back the
// heartbeat of its worker.
const maxOrders = 64

// node is a worker of the shard, or one that is no longer listed but may run
// tasks of it.
type node struct {
	id       unit.InstanceID
	listed   ListedWorker // zero if it is not in the list
	known    bool         // it is in the list
	reading  lease.ClockReading
	capacity unit.Resources // for tasks
	reported time.Time      // receipt of the last report
	draining bool           // by its own word
	stale    bool           // it has seen a higher epoch
	open     bool           // as the placer knows it
	silent   bool           // the journal says so
	busy     bool           // an exchange is in flight
	starts   []worker.Ref   // in flight
	forgot   []worker.Ref   // in flight
	beat     time.Time      // time of the next heartbeat
	retry    time.Time      // no orders before, after a call that had no effect
	tasks    map[worker.Ref]*task
	list     []*task               // of tasks, in order; nil if it has to be made anew
	forget   map[worker.Ref]uint64 // ended attempts, by the change that made the end durable
	unknowns map[worker.Ref]time.Time
}

func (n *node) subject() journal.Subject {
	return journal.Subject{Kind: journal.KindWorker, ID: string(n.id)}
}

// sorted returns the tasks in a fixed order, so that equal inputs give equal
// actions. A change of the tasks leaves the returned slice as it is.
func (n *node) sorted() []*task {
	if n.list == nil && len(n.tasks) > 0 {
		n.list = slices.Collect(maps.Values(n.tasks))
		slices.SortFunc(n.list, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.Index, b.Index))
		})
	}
	return n.list
}

func (n *node) add(t *task) {
	n.tasks[t.ref()] = t
	n.list = nil
}

func (n *node) remove(t *task) {
	delete(n.tasks, t.ref())
	n.list = nil
}

// node returns a worker and adds it if it is unknown.
func (c *Core) node(id unit.InstanceID) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{
			id: id, tasks: map[worker.Ref]*task{},
			forget: map[worker.Ref]uint64{}, unknowns: map[worker.Ref]time.Time{},
		}
		c.nodes[id] = n
		i, _ := slices.BinarySearchFunc(c.order, id, func(n *node, id unit.InstanceID) int { return cmp.Compare(n.id, id) })
		c.order = slices.Insert(c.order, i, n)
	}
	return n
}

// list takes the workers of the shard by the instance list.
func (c *Core) list(e Fleet) {
	if !slices.Equal(c.targets, e.MoveTargets) {
		c.targets = e.MoveTargets
		c.markMoves()
	}
	c.place = true
	c.position, c.siblings = e.ZoneIndex, e.ZoneShards
	c.local = queueLargest(e.Workers)
	grown := c.largest != e.Largest
	c.largest = e.Largest
	for _, n := range c.order {
		n.known = false
	}
	for _, l := range e.Workers {
		n := c.node(l.ID)
		n.listed, n.known = l, true
	}
	if !grown {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.oversize && c.largest.Oversize(j.record.Job.Size) == "" {
			j.oversize = false
			c.park(j, "")
		}
	}
}

func queueLargest(workers []ListedWorker) queue.Largest {
	var l queue.Largest
	for _, w := range workers {
		l = l.Include(w.ID, w.Capacity)
	}
	return l
}

// updateNodes decides which workers may get tasks, and takes tasks off those that
// may not.
func (c *Core) updateNodes() {
	for _, n := range slices.Clone(c.order) {
		// A worker that is missing from the list may still run its tasks; only one
		// that is said to be draining loses them.
		draining := n.draining || n.known && !n.listed.Live
		live := n.known && !draining
		heard := !n.reported.IsZero() && c.now.Sub(n.reported) < silence
		open := live && heard && !n.stale && len(n.unknowns) == 0 && !n.overcommitted()
		if !n.reported.IsZero() && n.silent == heard {
			n.silent = !heard
			c.note("worker silent: "+yesNo(n.silent), "heartbeats", n.subject())
		}
		if open != n.open {
			n.open, c.place = open, true
			c.Placer.Upsert(n.id, n.listed.Rack, n.capacity, open)
		}
		if open {
			continue
		}
		for _, t := range n.sorted() {
			switch {
			case !t.sent:
				c.withdraw(t)
			case draining:
				c.push(t, worker.ActionCheckpoint, "worker is draining")
			}
		}
		if !n.known && !n.busy && len(n.tasks) == 0 && len(n.unknowns) == 0 {
			c.Placer.Remove(n.id)
			delete(c.nodes, n.id)
			c.order = slices.DeleteFunc(c.order, func(o *node) bool { return o == n })
		}
	}
}

// overcommitted reports whether a task that may run here has no reservation, as after a
// loss of capacity. What the placer takes as free is then too much.
func (n *node) overcommitted() bool {
	return slices.ContainsFunc(n.sorted(), func(t *task) bool { return t.sent && !t.reserved })
}

// sendDue sends what is due to each worker with which no exchange is in flight. A
// heartbeat comes first: orders that are repeated in vain must not let the leases
// of the other tasks run out.
func (c *Core) sendDue() {
	for _, n := range c.order {
		if n.busy || n.stale {
			continue
		}
		if !c.now.Before(n.beat) {
			c.sendHeartbeat(n)
			continue
		}
		if c.phase == phaseActive && !c.now.Before(n.retry) {
			c.sendOrders(n)
		}
	}
}

func (c *Core) running(t *task) {
	t.seen = true
	if t.since.IsZero() {
		t.since = c.now
	}
}

// probe brings the next heartbeat forward.
func (n *node) probe(now time.Time) {
	if at := now.Add(probeInterval); at.Before(n.beat) {
		n.beat = at
	}
}

func (c *Core) sendHeartbeat(n *node) {
	h := worker.Heartbeat{Fence: c.fence()}
	var deadline time.Time
	if c.now.Before(c.renewDeadline()) && n.reading.Valid() {
		end := n.reading.LeaseEnd(c.now)
		for _, t := range n.sorted() {
			if !t.seen || t.push == worker.ActionStop {
				continue
			}
			h.Renew = append(h.Renew, worker.Renewal{Ref: t.ref(), LeaseEnd: end})
			t.expires = later(t.expires, n.reading.ExpiryTime(end))
			deadline = c.renewDeadline()
		}
	}
	for _, ref := range sortedRefs(n.forget) {
		if n.forget[ref] <= c.book.durable && c.phase == phaseActive {
			h.Forget = append(h.Forget, ref)
		}
	}
	n.forgot = h.Forget
	n.busy = true
	n.beat = c.now.Add(lease.RenewInterval)
	c.actions = append(c.actions, SendHeartbeat{Worker: n.id, Deadline: deadline, Heartbeat: h})
}

func (c *Core) reported(e HeartbeatSent) {
	n := c.nodes[e.Worker]
	if n == nil {
		return
	}
	n.busy = false
	switch e.Fault {
	case FaultNone:
	case FaultStaleEpoch:
		n.stale = true
		c.lose("worker " + string(n.id) + " has seen a higher epoch")
		return
	default:
		n.probe(c.now)
		return
	}
	for _, ref := range n.forgot {
		delete(n.forget, ref)
	}
	n.reading = n.reading.Best(lease.ClockReading{
		Boot: e.Report.Boot, Clock: e.Report.Clock, Sent: e.Sent, Received: e.Received,
	}, e.Received)
	if c.phase == phaseLost {
		return
	}
	n.reported = e.Received
	n.draining = e.Report.State == worker.StateDraining
	if capacity := e.Report.Capacity.Sub(e.Report.Reserved); capacity != n.capacity || !n.open {
		n.capacity = capacity
		c.Placer.Upsert(n.id, n.listed.Rack, capacity, n.open)
	}
	c.compare(n, e.Report)
	if len(n.forget) > 0 || slices.ContainsFunc(n.sorted(), (*task).awaited) {
		n.probe(c.now)
	}
}

// awaited reports whether the next report of the worker matters at once.
func (t *task) awaited() bool { return t.sent && (!t.seen || t.push != "") }

// compare brings the attempts placed on a worker in line with its report.
func (c *Core) compare(n *node, r worker.Report) {
	listed := make(map[worker.Ref]bool, len(r.Tasks))
	running := make(map[worker.Ref]bool, len(r.Tasks))
	for _, s := range r.Tasks {
		listed[s.Ref] = true
		running[s.Ref] = s.Phase == worker.PhaseRunning
		t := n.tasks[s.Ref]
		switch {
		case t != nil && s.Phase == worker.PhaseRunning:
			t.actual = cmp.Or(s.Share, 1)
			if expires := n.reading.ExpiryTime(s.LeaseEnd); t.seen || t.boot != "" {
				t.expires = later(t.expires, expires)
			} else {
				t.expires = expires // earlier owners cannot renew it any more
			}
			c.running(t)
			if !t.reserved {
				t.reserved = c.Placer.Reserve(n.id, s.Ref, s.Class, s.Size)
			}
		case t != nil:
			c.over(t, s)
			n.forget[s.Ref] = c.book.changes
		case s.Phase == worker.PhaseRunning:
			c.stopUnknown(n, s)
		case n.forget[s.Ref] == 0 && c.lateResult(s):
			n.forget[s.Ref] = c.book.changes
		}
	}
	for _, t := range n.sorted() {
		if t.sent && !listed[t.ref()] && t.gone(r) {
			c.unlisted(t)
		}
	}
	for ref := range n.unknowns {
		if !running[ref] {
			c.Placer.Release(n.id, ref)
			delete(n.unknowns, ref)
		}
	}
}

// gone reports whether an attempt that a report does not list cannot run on the
// worker any more. A start that is still under way is refused after notAfter, by
// a worker that has restarted, and, if an earlier owner sent it, by its epoch.
func (t *task) gone(r worker.Report) bool {
	return t.boot == "" || t.boot != r.Boot || r.Clock > t.notAfter
}

// unlisted ends an attempt that never started or that a restart has ended.
func (c *Core) unlisted(t *task) {
	status := worker.Status{Phase: worker.PhaseExpired}
	if t.refused == string(worker.CodeInvalid) {
		status = worker.Status{Phase: worker.PhaseFailed, Reason: "worker refuses the order as invalid"}
	}
	c.note("not on its worker", t.refused, t.subjects()...)
	c.over(t, status)
}

// stopUnknown stops an attempt that the ledger does not have on this worker. Until it
// has ended, its resources are not used for anything else.
func (c *Core) stopUnknown(n *node, s worker.Status) {
	if _, ok := n.unknowns[s.Ref]; ok {
		return
	}
	n.unknowns[s.Ref] = time.Time{}
	c.Placer.Reserve(n.id, s.Ref, s.Class, s.Size)
	c.note("stopping unknown attempt", "not in the ledger", n.subject(),
		journal.Subject{Kind: journal.KindTask, ID: s.Task.String()})
}

func sortedRefs[V any](m map[worker.Ref]V) []worker.Ref {
	refs := slices.Collect(maps.Keys(m))
	slices.SortFunc(refs, func(a, b worker.Ref) int {
		return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return refs
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
