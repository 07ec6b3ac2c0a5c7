package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
)

// placeableSize is the size of the ledger above which no task is placed. The
// rest is for tasks that wait again after an eviction or a failure.
const placeableSize = ledger.MaxSize * 9 / 10

// commit is the state of the ledger's group commit. Changes are numbered; a write
// covers all changes made before it.
type commit struct {
	loaded   bool // the ledger was read and fenced
	calling  bool // a read or write is in flight
	unsure   bool // a write had no clear answer, or another writer was first
	revision unit.Revision
	number   uint64 // of the last write, from 1
	changes  uint64 // number of the last change
	durable  uint64 // changes up to this one are in the store
	// covered has the last change of each write whose outcome is not known.
	covered map[uint64]uint64
	next    time.Time // earliest time of the next call
	size    int       // of the last encoding
}

// change counts a change of the ledger and returns its number.
func (c *Core) change() uint64 {
	c.book.changes++
	return c.book.changes
}

// takeOver goes through the steps between the claim of a shard and its first
// start. The write of the ledger under the new epoch fences the previous owner:
// its writes conflict from then on, so what was read stays complete.
func (c *Core) takeOver() {
	b := &c.book
	if b.calling || c.now.Before(b.next) {
		return
	}
	b.calling = true
	switch {
	case c.phase == phaseListing:
		c.actions = append(c.actions, ListJobs{})
	case c.phase == phaseReading || b.unsure:
		c.actions = append(c.actions, ReadLedger{})
	default:
		c.sendLedger()
	}
}

// writeLedger writes the ledger if it changed and a write is allowed now.
func (c *Core) writeLedger() {
	b := &c.book
	if b.calling || c.now.Before(b.next) || !b.unsure && b.durable == b.changes {
		return
	}
	b.calling = true
	if b.unsure {
		c.actions = append(c.actions, ReadLedger{})
		return
	}
	c.sendLedger()
}

func (c *Core) sendLedger() {
	b := &c.book
	b.number++
	b.next = c.now.Add(commitInterval)
	value, err := ledger.Encode(c.snapshot())
	if err != nil {
		// Only its size can make an encoding fail. Nothing new starts, and the
		// ledger shrinks as tasks end.
		b.calling, b.size = false, ledger.MaxSize
		c.note("ledger not written", err.Error(), c.subject())
		return
	}
	b.size = len(value)
	if b.covered == nil {
		b.covered = map[uint64]uint64{}
	}
	b.covered[b.number] = b.changes
	c.actions = append(c.actions, WriteLedger{Value: value, Revision: b.revision})
}

// snapshot returns the ledger's content.
func (c *Core) snapshot() ledger.Book {
	book := ledger.Book{Epoch: c.Epoch, Write: c.book.number}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		lj := ledger.Job{ID: id, Finished: j.finished, Failed: j.failed}
		for _, t := range j.tasks {
			lj.Tasks = append(lj.Tasks, t.Task)
		}
		slices.SortFunc(lj.Tasks, func(a, b ledger.Task) int { return cmp.Compare(a.Index, b.Index) })
		book.Jobs = append(book.Jobs, lj)
	}
	return book
}

func (c *Core) ledgerWritten(e LedgerWritten) {
	b := &c.book
	b.calling = false
	switch e.Fault {
	case FaultNone:
		b.revision = e.Revision
		c.settle(b.covered[b.number])
	case FaultNoEffect:
		delete(b.covered, b.number)
	default:
		b.unsure = true
		b.next = c.now
	}
}

// settle notes that changes up to a number are in the store.
func (c *Core) settle(durable uint64) {
	b := &c.book
	b.durable, b.unsure = max(b.durable, durable), false
	clear(b.covered)
	if c.phase == phaseFencing {
		b.loaded = true
		b.next = c.now
		c.phase = phaseListing
	}
}

func (c *Core) ledgerRead(e LedgerRead) {
	b := &c.book
	b.calling = false
	if e.Fault != FaultNone {
		b.next = c.now.Add(commitInterval)
		return
	}
	if c.phase >= phaseReleasing && !b.loaded {
		return // the shard is given up as it was found
	}
	var book ledger.Book
	if e.Value != nil {
		var err error
		if book, err = ledger.Decode(e.Value); err != nil {
			// Without the ledger it is not known what runs where.
			b.next = c.now.Add(10 * commitInterval)
			c.note("ledger not readable", err.Error(), c.subject())
			return
		}
	}
	switch {
	case book.Epoch > c.Epoch:
		c.lose("the ledger has a higher epoch")
	case book.Epoch == c.Epoch && !b.unsure:
		c.lose("the ledger has this epoch before its first write")
	case book.Epoch == c.Epoch:
		// A write of this owner came through. One that was sent before it, or
		// after it on the same condition, cannot come through any more.
		b.revision = e.Revision
		c.settle(b.covered[book.Write])
	case b.loaded:
		// The record was removed or set back from outside. What is in memory is
		// complete, so it is written again.
		b.revision, b.unsure = e.Revision, false
		c.change()
	default:
		b.revision, b.unsure = e.Revision, false
		b.next = c.now
		c.load(book)
		c.phase = phaseFencing
	}
}

// load takes over the tasks of a ledger. Each placed attempt may be running
// until its worker says otherwise or the leases of earlier owners have expired.
func (c *Core) load(book ledger.Book) {
	clear(c.jobs)
	for _, n := range c.order {
		clear(n.tasks)
		n.list = nil
	}
	for _, lj := range book.Jobs {
		j := newJob(lj.ID)
		j.finished, j.failed = lj.Finished, lj.Failed
		c.jobs[lj.ID] = j
		for _, lt := range lj.Tasks {
			t := &task{Task: lt, job: j}
			j.tasks[lt.Index] = t
			if lt.State == ledger.StatePlaced {
				t.sent, t.expires = true, c.InheritedExpiry
				c.node(lt.Worker).add(t)
				j.placed++
			}
		}
	}
	c.change()
}
