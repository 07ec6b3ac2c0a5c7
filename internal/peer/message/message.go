// Package message has the typed messages between entries and their codec. It
// holds data only; what a message causes is decided by its receiver.
package message

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Kind is the kind of a message on the wire. Numbers are never reused.
type Kind uint8

// Kinds of messages.
const (
	KindHello          Kind = 1
	KindHeartbeat      Kind = 2
	KindPush           Kind = 3
	KindAck            Kind = 4
	KindPull           Kind = 5
	KindExplainRequest Kind = 6
	KindExplainReply   Kind = 7
	KindFault          Kind = 8
	KindDone           Kind = 9
	KindSignals        Kind = 10
	KindBurnRequest    Kind = 11
	KindBurnReply      Kind = 12
)

// Message is one of the types below.
type Message interface {
	Kind() Kind
}

// Handler answers the messages of one kind. It is an alias, so that partners can
// declare interfaces with it or with the bare function type.
type Handler = func(ctx context.Context, from unit.EntryID, m Message) (Message, error)

// Hello is the first message in both directions of a connection.
type Hello struct {
	From unit.EntryID `cbor:"1,keyasint"`
	To   unit.EntryID `cbor:"2,keyasint"` // whom the sender means to reach
}

// Heartbeat tells the state of its sender. It is answered by one of the receiver.
type Heartbeat struct {
	View          unit.Revision      `cbor:"1,keyasint"` // store revision of the sender's view
	Configuration unit.Revision      `cbor:"2,keyasint"`
	Sees          bool               `cbor:"3,keyasint,omitempty"` // the sender's view has the receiver
	Ready         bool               `cbor:"4,keyasint,omitempty"` // the sender may serve
	Age           time.Duration      `cbor:"5,keyasint"`           // since the last confirmation; negative if there was none
	Settled       roster.SettledView `cbor:"7,keyasint,omitempty"`
}

// Push carries a configuration. It is answered by Ack.
type Push struct {
	Revision spec.Revision `cbor:"1,keyasint"`
}

// Ack tells the configuration that its sender has.
type Ack struct {
	Configuration unit.Revision `cbor:"1,keyasint"`
}

// Pull asks for the receiver's configuration. It is answered by Push.
type Pull struct{}

// ExplainRequest asks for the events about a subject. It is answered by Answer.
type ExplainRequest struct {
	Subject journal.Subject `cbor:"1,keyasint"`
}

// ExplainReply has the events that the sender knows.
type ExplainReply struct {
	Since  time.Time       `cbor:"1,keyasint"` // from when the sender has data
	Events []journal.Event `cbor:"2,keyasint,omitempty"`
}

// BurnRequest asks for the receiver's tallies of the error budgets. It is answered by
// Burn.
type BurnRequest struct{}

// BurnReply has the tallies of its sender.
type BurnReply struct {
	Tallies []burn.Tally `cbor:"1,keyasint,omitempty"`
}

// Fault answers a message that could not be handled.
type Fault struct {
	Text string `cbor:"1,keyasint"`
}

// Done answers a message that has no other answer.
type Done struct{}

// Signal is what the requests of one class that went through the sender showed of
// one worker in a window that ended when the message was sent.
type Signal struct {
	Worker   unit.InstanceID `cbor:"1,keyasint"`
	Class    unit.ClassID    `cbor:"2,keyasint"`
	Span     time.Duration   `cbor:"3,keyasint"` // of the window
	Requests uint32          `cbor:"4,keyasint"`
	Late     uint32          `cbor:"5,keyasint,omitempty"` // over the bound of the target, or without a response
	Median   time.Duration   `cbor:"6,keyasint,omitempty"` // of the responses; 0 if there was none
	Tail     time.Duration   `cbor:"7,keyasint,omitempty"` // at the percentile of the target
	Busy     time.Duration   `cbor:"8,keyasint,omitempty"` // time that slots of the worker were in use
}

// Signals has the signals of workers whose shards the receiver owns. It is
// answered by Done.
type Signals struct {
	Signals []Signal `cbor:"1,keyasint"`
}

// MaxSignals bounds the signals of one message: with names of up to 50 bytes each
// they fit into the bound of the kind.
const MaxSignals = 1500

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (Push) Kind() Kind { return KindPush }

// Kind implements Message.
func (Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (Pull) Kind() Kind { return KindPull }

// Kind implements Message.
func (ExplainRequest) Kind() Kind { return KindExplainRequest }

// Kind implements Message.
func (ExplainReply) Kind() Kind { return KindExplainReply }

// Kind implements Message.
func (BurnRequest) Kind() Kind { return KindBurnRequest }

// Kind implements Message.
func (BurnReply) Kind() Kind { return KindBurnReply }

// Kind implements Message.
func (Fault) Kind() Kind { return KindFault }

// Kind implements Message.
func (Done) Kind() Kind { return KindDone }

// Kind implements Message.
func (Signals) Kind() Kind { return KindSignals }
