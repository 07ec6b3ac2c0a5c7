package message

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var samples = []Message{
	Hello{From: "e1", To: "e2"},
	Heartbeat{View: 7, Configuration: 1 << 60, Sees: true, Ready: true, Age: -time.Second, Settled: roster.SettledView{Revision: 6, MembersHash: 1 << 63}},
	Push{Revision: spec.Revision{Number: 3, Base: 2, Author: "meera", Operation: "op", Time: 5, Document: spec.Document{
		Classes: []spec.Class{{Name: "quote", Kind: spec.KindRequest, Service: "order-desk",
			Routes: []spec.Route{{Prefix: "/q", Once: true}},
			Target: spec.Target{Percentile: 99.9, Bound: unit.Duration(250 * time.Millisecond)}}},
		Zones: []spec.Zone{{Name: "guj-morbi", Out: true}},
	}}},
	Ack{Configuration: 3},
	Pull{},
	ExplainRequest{Subject: journal.Subject{Kind: journal.KindJob, ID: "j"}},
	ExplainReply{Since: time.Unix(1, 5).UTC(), Events: []journal.Event{{Time: time.Unix(2, 0).UTC(), What: "started"}}},
	Fault{Text: "no"},
	Done{},
	BurnRequest{},
	BurnReply{Tallies: []burn.Tally{{
		Class: "quote", Steps: []burn.Step{{Number: 180_000_000, Good: 9, Bad: 1}},
		Causes: []burn.CauseCount{{Kind: burn.CauseZone, Name: "guj-morbi", Count: 1}},
	}}},
	Signals{Signals: []Signal{{Worker: "w1", Class: "quote", Span: 2 * time.Second, Requests: 90, Late: 3,
		Median: 40 * time.Millisecond, Tail: 260 * time.Millisecond, Busy: 4 * time.Second}}},
}

// TestRoundTrip guards against a message that differs after decoding, and against
// a kind without a decoder.
func TestRoundTrip(t *testing.T) {
	if len(samples) != len(kinds) {
		t.Errorf("%d samples of %d kinds", len(samples), len(kinds))
	}
	for _, m := range samples {
		t.Run(m.Kind().String(), func(t *testing.T) {
			frame, err := Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			got, size, err := Read(bytes.NewReader(frame))
			if err != nil || size != len(frame) {
				t.Fatalf("Read: %d of %d bytes, %v", size, len(frame), err)
			}
			if diff := cmp.Diff(m, got); diff != "" {
				t.Errorf("message (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReadLimits guards against a frame that makes the receiver allocate or decode
// without limit, and against malformed frames being accepted.
func TestReadLimits(t *testing.T) {
	frame := func(kind Kind, size uint32, body string) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{byte(kind)}, size), body...)
	}
	tests := []struct {
		name  string
		frame []byte
		want  error
	}{
		{"unknown kind", frame(200, 1, "\xa0"), ErrKind},
		{"body too large", frame(KindHeartbeat, 1<<31, ""), ErrSize},
		{"not a map", frame(KindAck, 1, "\x01"), ErrMalformed},
		{"trailing data", frame(KindAck, 2, "\xa0\xa0"), ErrMalformed},
		{"indefinite length", frame(KindAck, 2, "\xbf\xff"), ErrMalformed},
		{"nested", frame(KindAck, 40, "\xa1\x01"+strings.Repeat("\x81", 37)+"\x01"), ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, _, err := Read(bytes.NewReader(tt.frame)); !errors.Is(err, tt.want) {
				t.Errorf("Read = %v, want %v", err, tt.want)
			}
		})
	}
	if _, err := Encode(Fault{Text: strings.Repeat("x", maxSmall)}); !errors.Is(err, ErrSize) {
		t.Errorf("Encode of a large message = %v, want %v", err, ErrSize)
	}
}

// FuzzRead guards against a frame that makes the receiver panic, and against one
// that decodes to a message that cannot be encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range samples {
		frame, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, size, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if size > len(data) {
			t.Fatalf("read %d of %d bytes", size, len(data))
		}
		if _, err := Encode(m); err != nil && !errors.Is(err, ErrSize) {
			t.Fatalf("encode again: %v", err)
		}
	})
}

// TestSignalsFit guards against a MaxSignals with which a message with long names
// exceeds the maximum size, so that all its signals are lost.
func TestSignalsFit(t *testing.T) {
	long := strings.Repeat("n", 50)
	var m Signals
	for range MaxSignals {
		m.Signals = append(m.Signals, Signal{
			Worker: unit.InstanceID(long), Class: unit.ClassID(long), Span: time.Hour, Requests: 1 << 31,
			Late: 1 << 31, Median: time.Hour, Tail: time.Hour, Busy: time.Hour,
		})
	}
	if _, err := Encode(m); err != nil {
		t.Error(err)
	}
}

// TestUnsentBody guards against a frame that takes the memory of a whole body of which little
// has arrived.
func TestUnsentBody(t *testing.T) {
	const frames, arrived = 50, 100
	frame := make([]byte, headerSize+arrived)
	frame[0] = byte(KindPush)
	binary.BigEndian.PutUint32(frame[1:], maxPush)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		if _, _, err := Read(bytes.NewReader(frame)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("Read: %v", err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / frames; got > 16<<10 {
		t.Errorf("%d bytes allocated for %d that arrived", got, arrived)
	}
}
