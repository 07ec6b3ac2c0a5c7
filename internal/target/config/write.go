package config

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// keptRevisions is the number of revisions that the store keeps.
const keptRevisions = 200

// head is the record at config/head, which points to the end of the log.
type head struct {
	Number    unit.Revision    `json:"number"`
	Operation unit.OperationID `json:"operation"`
	Author    unit.Operator    `json:"author"`

	storeRevision unit.Revision // revision of the record in the store; 0 if there is none
}

// condition makes a write of the head take effect only if the head is still h.
func (h head) condition() store.Condition {
	if h.storeRevision == 0 {
		return store.IfAbsent()
	}
	return store.IfRevision(h.storeRevision)
}

// commandKind is the kind of a command.
type commandKind uint8

// Kinds of commands, which the Service executes.
const (
	commandReadHead     commandKind = iota
	commandReadRevision             // read config/rev/<number>
	commandCreate                   // create config/rev/<number> with the revision, if absent
	commandAdvance                  // set config/head to head, under cond
	commandEnd                      // the result is known
)

// command is the next action that the Service has to take.
type command struct {
	kind    commandKind
	number  unit.Revision
	cond    store.Condition
	head    head // for commandAdvance: the new value
	backoff bool // wait first, since the last call failed
}

// response is the result of a command.
type response struct {
	head          head
	revision      spec.Revision
	storeRevision unit.Revision // store revision of a write
	err           error
}

// writeResult is the result of a revisionWrite.
type writeResult uint8

// Results of a revisionWrite.
const (
	resultOpen     writeResult = iota // not yet known
	resultWritten                     // the revision is in the log, and the head has reached it
	resultLogged                      // the revision is in the log; the head may not have reached it
	resultConflict                    // the revision is certainly not in the log and never will be
	resultUnknown                     // the revision may be in the log, now or later
	resultFailed                      // the revision is certainly not in the log
)

// revisionWrite is the state machine that writes one revision. The log of revisions
// consists of the records config/rev/<n>, which are created once and never changed,
// so the create of record n decides revision n. The head only points to the end of
// the log, and any entry that finds it behind advances it. A create whose answer was
// lost can therefore be retried: it either takes effect, or the operation id of the
// existing record tells whose revision it is.
type revisionWrite struct {
	revision          spec.Revision // Number is Base + 1
	lastCommand       command
	head              head // last head read
	inLog             bool // whether the revision is in the log
	createUncertain   bool // whether a create with unknown outcome was sent
	advanceFailures   int  // failed writes of the head
	result            writeResult
	conflict          unit.Revision // for resultConflict: a number that the log has reached
	headStoreRevision unit.Revision // for resultWritten: store revision at which the head had reached the revision
	err               error         // for resultFailed
}

// newRevisionWrite returns the write of a revision and its first command.
func newRevisionWrite(r spec.Revision) (*revisionWrite, command) {
	w := &revisionWrite{revision: r}
	return w, w.issue(command{kind: commandReadHead})
}

// newHeadAdvance returns a write of a revision that is in the log already, which only
// advances the head to it, and its first command.
func newHeadAdvance(r spec.Revision) (*revisionWrite, command) {
	w := &revisionWrite{revision: r, inLog: true}
	return w, w.issue(command{kind: commandReadHead})
}

// abandon ends the write early and sets the result from what is known.
func (w *revisionWrite) abandon(cause error) {
	switch {
	case w.result != resultOpen:
	case w.inLog:
		w.result = resultLogged
	case w.createUncertain:
		w.result = resultUnknown
	default:
		w.result, w.err = resultFailed, cause
	}
}

// handle processes the response to the last command and returns the next command.
func (w *revisionWrite) handle(resp response) command {
	switch w.lastCommand.kind {
	case commandReadHead:
		return w.issue(w.handleHead(resp))
	case commandReadRevision:
		return w.issue(w.handleRevision(resp))
	case commandCreate:
		return w.issue(w.handleCreate(resp))
	case commandAdvance:
		return w.issue(w.handleAdvance(resp))
	default:
		return w.issue(command{kind: commandEnd})
	}
}

// issue records the last command and returns it.
func (w *revisionWrite) issue(c command) command {
	w.lastCommand = c
	return c
}

func (w *revisionWrite) handleHead(resp response) command {
	if resp.err != nil {
		return command{kind: commandReadHead, backoff: true}
	}
	w.head = resp.head
	n, at := w.revision.Number, resp.head.Number
	switch {
	case w.inLog && at >= n+keptRevisions:
		// The log was trimmed past n. If that happened before the create, the record
		// is not part of the log although it was created.
		return w.finish(resultUnknown)
	case w.inLog && at >= n:
		w.headStoreRevision = resp.head.storeRevision
		return w.finish(resultWritten)
	case w.inLog && at == n-1:
		return w.advance(w.revision)
	case w.inLog:
		return command{kind: commandReadHead, backoff: true} // stale answer
	case at >= n:
		return command{kind: commandReadRevision, number: n}
	case at == w.revision.Base:
		return command{kind: commandCreate, number: n}
	default: // the base is beyond the head, which may lag behind the log
		return command{kind: commandReadRevision, number: at + 1}
	}
}

func (w *revisionWrite) handleRevision(resp response) command {
	n, number := w.revision.Number, w.lastCommand.number
	absent := errors.Is(resp.err, store.ErrNotFound)
	switch {
	case resp.err != nil && !absent:
		return command{kind: commandReadRevision, number: number, backoff: true}
	case absent && number < n && !w.createUncertain:
		w.conflict = w.head.Number // the base was never written
		return w.finish(resultConflict)
	case absent && w.head.Number >= n+keptRevisions:
		return w.finish(resultUnknown) // trimmed; the record may have been this operation's
	case absent:
		return command{kind: commandReadHead, backoff: true} // stale answer
	case number == n && resp.revision.Operation == w.revision.Operation:
		w.revision, w.inLog = resp.revision, true
		return command{kind: commandReadHead}
	case w.head.Number < number:
		return w.advance(resp.revision)
	default:
		w.conflict = w.head.Number
		return w.finish(resultConflict)
	}
}

func (w *revisionWrite) handleCreate(resp response) command {
	switch {
	case resp.err == nil:
		w.inLog = true
		return w.advance(w.revision)
	case errors.Is(resp.err, store.ErrConflict):
		return command{kind: commandReadRevision, number: w.revision.Number}
	case errors.Is(resp.err, store.ErrUnknown):
		w.createUncertain = true
		return command{kind: commandReadHead, backoff: true}
	case errors.Is(resp.err, store.ErrUnavailable):
		return command{kind: commandReadHead, backoff: true}
	default:
		w.abandon(resp.err) // the store rejected the record itself
		return command{kind: commandEnd}
	}
}

func (w *revisionWrite) handleAdvance(resp response) command {
	if resp.err != nil {
		// Another entry has advanced the head, or the last read returned a stale
		// head. Only the latter recurs, so the first conflict is retried at once.
		w.advanceFailures++
		return command{kind: commandReadHead, backoff: w.advanceFailures > 1 || !errors.Is(resp.err, store.ErrConflict)}
	}
	switch {
	case w.inLog:
		w.headStoreRevision = resp.storeRevision
		return w.finish(resultWritten)
	case w.lastCommand.number >= w.revision.Number:
		w.conflict = w.lastCommand.number
		return w.finish(resultConflict)
	default:
		return command{kind: commandReadHead}
	}
}

// advance returns the command that advances the head to the next revision of the
// log.
func (w *revisionWrite) advance(r spec.Revision) command {
	return command{
		kind:   commandAdvance,
		number: r.Number,
		cond:   w.head.condition(),
		head:   head{Number: r.Number, Operation: r.Operation, Author: r.Author},
	}
}

// finish ends the write with a result.
func (w *revisionWrite) finish(result writeResult) command {
	w.result = result
	return command{kind: commandEnd}
}
