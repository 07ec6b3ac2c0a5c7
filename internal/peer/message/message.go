// Package message defines the messages between entries and their codec. It holds
// data only; the receiver decides how to act on a message.
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

// Kind is the kind of a message on the wire. The numbers must not be reused.
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

// Message is one of the message types of this package.
type Message interface {
	Kind() Kind
}

// Handler answers the messages of one kind. It is an alias, so that other packages
// can declare interfaces with it or with the plain function type.
type Handler = func(ctx context.Context, from unit.EntryID, m Message) (Message, error)

// Hello is the first message in both directions of a connection.
type Hello struct {
	From unit.EntryID `cbor:"1,keyasint"`
	To   unit.EntryID `cbor:"2,keyasint"` // the entry that the sender wants to reach
}

// Heartbeat reports the state of its sender. It is answered by a Heartbeat of the
// receiver.
type Heartbeat struct {
	View          unit.Revision      `cbor:"1,keyasint"` // store revision of the sender's view
	Configuration unit.Revision      `cbor:"2,keyasint"`
	Sees          bool               `cbor:"3,keyasint,omitempty"` // the sender's view contains the receiver
	Ready         bool               `cbor:"4,keyasint,omitempty"` // the sender may serve requests
	Age           time.Duration      `cbor:"5,keyasint"`           // time since the sender's last confirmed read of the store; negative if none
	Settled       roster.SettledView `cbor:"7,keyasint,omitempty"`
}

// Push carries a configuration. It is answered by an Ack.
type Push struct {
	Revision spec.Revision `cbor:"1,keyasint"`
}

// Ack reports the configuration that its sender has.
type Ack struct {
	Configuration unit.Revision `cbor:"1,keyasint"`
}

// Pull requests the receiver's configuration. It is answered by a Push.
type Pull struct{}

// ExplainRequest requests the events about a subject from the receiver's journal. It
// is answered by an ExplainReply.
type ExplainRequest struct {
	Subject journal.Subject `cbor:"1,keyasint"`
}

// ExplainReply contains the events about a subject in the sender's journal.
type ExplainReply struct {
	Since  time.Time       `cbor:"1,keyasint"` // start of the period that the journal covers
	Events []journal.Event `cbor:"2,keyasint,omitempty"`
}

// BurnRequest requests the receiver's tallies of the error budgets. It is answered by
// a BurnReply.
type BurnRequest struct{}

// BurnReply contains the tallies of its sender.
type BurnReply struct {
	Tallies []burn.Tally `cbor:"1,keyasint,omitempty"`
}

// Fault answers a message that the receiver could not handle.
type Fault struct {
	Text string `cbor:"1,keyasint"`
}

// Done answers a message that was handled and needs no other answer.
type Done struct{}

// Signal summarizes the requests of one class that the sender routed to one worker,
// over a window that ended when the message was sent.
type Signal struct {
	Worker   unit.InstanceID `cbor:"1,keyasint"`
	Class    unit.ClassID    `cbor:"2,keyasint"`
	Span     time.Duration   `cbor:"3,keyasint"` // length of the window
	Requests uint32          `cbor:"4,keyasint"`
	Late     uint32          `cbor:"5,keyasint,omitempty"` // slower than the latency target, or without a response
	Median   time.Duration   `cbor:"6,keyasint,omitempty"` // latency of the responses; 0 if there was none
	Tail     time.Duration   `cbor:"7,keyasint,omitempty"` // latency at the percentile of the target
	Busy     time.Duration   `cbor:"8,keyasint,omitempty"` // total time that slots of the worker were in use
}

// Signals contains the signals of workers whose shards the receiver owns. It is
// answered by Done.
type Signals struct {
	Signals []Signal `cbor:"1,keyasint"`
}

// MaxSignals is the maximum number of signals of one message. With names of up to
// 50 bytes each they fit into the maximum size of the kind.
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
