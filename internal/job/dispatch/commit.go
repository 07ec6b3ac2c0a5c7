package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// maxPlaceableSize is the ledger size above which no task is placed. The
// remaining space is reserved for tasks that wait again after an eviction or a
// failure.
const maxPlaceableSize = ledger.MaxSize * 9 / 10

// groupCommit is the state of the ledger's group commit. Changes are numbered,
// and a write covers all changes made before it.
type groupCommit struct {
	loaded        bool // the ledger was read and then written under this epoch
	callInFlight  bool // a read or write of the ledger is in flight
	uncertain     bool // the outcome of a write is unknown, or the write met a conflict
	revision      unit.Revision
	writeNumber   uint64 // number of the last write, from 1
	lastChange    uint64 // number of the last change
	durableChange uint64 // last change that is in the store
	// coveredChange holds the last change covered by each write whose outcome is
	// not known, by write number.
	coveredChange map[uint64]uint64
	nextCall      time.Time // earliest time of the next call to the store
	encodedSize   int       // size of the last encoding in bytes
}

// nextChange counts a change of the ledger and returns its number.
func (c *Core) nextChange() uint64 {
	c.commit.lastChange++
	return c.commit.lastChange
}

// takeOver makes the store calls between the claim of a shard and its first
// start. The write of the ledger under the new epoch fences the previous owner:
// its later writes conflict, so the ledger that was read stays complete.
func (c *Core) takeOver() {
	g := &c.commit
	if g.callInFlight || c.now.Before(g.nextCall) {
		return
	}
	g.callInFlight = true
	switch {
	case c.phase == phaseListing:
		c.actions = append(c.actions, ListJobs{})
	case c.phase == phaseReading || g.uncertain:
		c.actions = append(c.actions, ReadLedger{})
	default:
		c.sendLedger()
	}
}

// writeLedger writes the ledger if it has changed and a write is allowed now.
// After an unknown outcome it reads the ledger first.
func (c *Core) writeLedger() {
	g := &c.commit
	if g.callInFlight || c.now.Before(g.nextCall) || !g.uncertain && g.durableChange == g.lastChange {
		return
	}
	g.callInFlight = true
	if g.uncertain {
		c.actions = append(c.actions, ReadLedger{})
		return
	}
	c.sendLedger()
}

func (c *Core) sendLedger() {
	g := &c.commit
	g.writeNumber++
	g.nextCall = c.now.Add(commitInterval)
	value, err := ledger.Encode(c.ledgerBook())
	if err != nil {
		// Encoding fails only if the ledger is too large. Setting the size stops
		// new placements, and the ledger shrinks as tasks end.
		g.callInFlight, g.encodedSize = false, ledger.MaxSize
		c.recordEvent("ledger not written", err.Error(), c.subject())
		return
	}
	g.encodedSize = len(value)
	if g.coveredChange == nil {
		g.coveredChange = map[uint64]uint64{}
	}
	g.coveredChange[g.writeNumber] = g.lastChange
	c.actions = append(c.actions, WriteLedger{Value: value, Revision: g.revision})
}

// ledgerBook returns the content of the ledger.
func (c *Core) ledgerBook() ledger.Ledger {
	book := ledger.Ledger{Epoch: c.Epoch, Write: c.commit.writeNumber}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		lj := ledger.Job{ID: id, Finished: j.finished, Failed: j.failedTasks}
		for _, t := range j.tasks {
			lj.Tasks = append(lj.Tasks, t.Task)
		}
		slices.SortFunc(lj.Tasks, func(a, b ledger.Task) int { return cmp.Compare(a.Index, b.Index) })
		book.Jobs = append(book.Jobs, lj)
	}
	return book
}

func (c *Core) handleLedgerWritten(e LedgerWritten) {
	g := &c.commit
	g.callInFlight = false
	switch e.Fault {
	case FaultNone:
		g.revision = e.Revision
		c.confirmDurable(g.coveredChange[g.writeNumber])
	case FaultNoEffect:
		delete(g.coveredChange, g.writeNumber)
	default:
		g.uncertain = true
		g.nextCall = c.now
	}
}

// confirmDurable marks the changes up to a number as durable.
func (c *Core) confirmDurable(durable uint64) {
	g := &c.commit
	g.durableChange, g.uncertain = max(g.durableChange, durable), false
	clear(g.coveredChange)
	if c.phase == phaseFencing {
		g.loaded = true
		g.nextCall = c.now
		c.phase = phaseListing
	}
}

func (c *Core) handleLedgerRead(e LedgerRead) {
	g := &c.commit
	g.callInFlight = false
	if e.Fault != FaultNone {
		g.nextCall = c.now.Add(commitInterval)
		return
	}
	if c.phase >= phaseReleasing && !g.loaded {
		return // the shard is released without a change of its ledger
	}
	var book ledger.Ledger
	if e.Value != nil {
		var err error
		if book, err = ledger.Decode(e.Value); err != nil {
			// Without the ledger it is unknown which tasks run on which workers.
			g.nextCall = c.now.Add(10 * commitInterval)
			c.recordEvent("ledger not readable", err.Error(), c.subject())
			return
		}
	}
	switch {
	case book.Epoch > c.Epoch:
		c.loseShard("the ledger has a higher epoch")
	case book.Epoch == c.Epoch && !g.uncertain:
		c.loseShard("the ledger has this epoch before its first write")
	case book.Epoch == c.Epoch:
		// A write of this owner took effect. Writes sent before it, or after it
		// with the same condition, can no longer take effect.
		g.revision = e.Revision
		c.confirmDurable(g.coveredChange[book.Write])
	case g.loaded:
		// The record was deleted or reset from outside. The state in memory is
		// complete, so it is written again.
		g.revision, g.uncertain = e.Revision, false
		c.nextChange()
	default:
		g.revision, g.uncertain = e.Revision, false
		g.nextCall = c.now
		c.loadLedger(book)
		c.phase = phaseFencing
	}
}

// loadLedger takes over the tasks of a ledger. Each placed attempt may be running
// until its worker reports otherwise or the leases of earlier owners have
// expired.
func (c *Core) loadLedger(book ledger.Ledger) {
	clear(c.jobs)
	for _, w := range c.sortedWorkers {
		clear(w.tasks)
		w.taskList = nil
	}
	for _, lj := range book.Jobs {
		j := newJob(lj.ID)
		j.finished, j.failedTasks = lj.Finished, lj.Failed
		c.jobs[lj.ID] = j
		for _, lt := range lj.Tasks {
			t := &task{Task: lt, job: j}
			j.tasks[lt.Index] = t
			if lt.State == ledger.StatePlaced {
				t.startSent, t.leaseExpiry = true, c.InheritedExpiry
				c.ensureWorker(lt.Worker).addTask(t)
				j.placedTasks++
			}
		}
	}
	c.nextChange()
}
