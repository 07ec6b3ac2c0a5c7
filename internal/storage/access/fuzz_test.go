package access

import (
	"bytes"
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/bench/malformed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/mesh"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// fixedStore gives one answer to every call.
type fixedStore struct{ response kv.Response }

func (s fixedStore) Do(context.Context, kv.Request) (kv.Response, error) { return s.response, nil }

// FuzzRelayRequest guards against a call of another entry that ends the process.
func FuzzRelayRequest(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	body, err := cbor.Marshal(kv.Request{Op: kv.OpWatch, Key: "a", Wait: -1, TTL: -1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(_ *testing.T, request []byte) {
		s := New(logr.Discard(), fixedStore{})
		_, _ = s.handleRelay(context.Background(), "", request)
	})
}

// answeringNetwork has one peer, which gives one answer to every call.
type answeringNetwork struct{ answer []byte }

func (answeringNetwork) Peers() []unit.EntryID          { return []unit.EntryID{"b"} }
func (answeringNetwork) Handle(mesh.Kind, mesh.Handler) {}
func (n answeringNetwork) Call(context.Context, unit.EntryID, mesh.Kind, []byte) ([]byte, error) {
	return n.answer, nil
}

// FuzzRelayAnswer guards against an answer of another entry that ends the process, and
// against one that cannot be read and is taken for a success or for no effect.
func FuzzRelayAnswer(f *testing.F) {
	for _, text := range malformed.CBOR() {
		f.Add([]byte(text))
	}
	for _, status := range []relayStatus{statusOK, statusConflict, statusOversized, 200} {
		body, err := cbor.Marshal(relayAnswer{Status: status})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		s := New(logr.Discard(), fixedStore{})
		s.peers = answeringNetwork{answer}
		_, err := s.relay(t.Context(), kv.Request{Op: kv.OpCommit})
		var decoded relayAnswer
		if cbor.Unmarshal(answer, &decoded) != nil && !errors.Is(err, kv.ErrUnknown) {
			t.Errorf("error %v for an answer that cannot be read", err)
		}
	})
}

// TestOversizedRelay guards against a relayed read that fails for ever because the answer
// does not fit into a message between entries.
func TestOversizedRelay(t *testing.T) {
	tests := []struct {
		name  string
		bytes int // of the value
		want  relayStatus
	}{
		{"fits", 1 << 20, statusOK},
		{"too large", mesh.MaxMessage, statusOversized},
	}
	request, err := cbor.Marshal(kv.Request{Op: kv.OpWatch, Key: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(logr.Discard(), fixedStore{kv.Response{Items: []kv.Item{{Key: "a", Value: bytes.Repeat([]byte{1}, tt.bytes)}}}})
			body, err := s.handleRelay(t.Context(), "", request)
			if err != nil {
				t.Fatal(err)
			}
			var answer relayAnswer
			if err := cbor.Unmarshal(body, &answer); err != nil {
				t.Fatal(err)
			}
			if answer.Status != tt.want {
				t.Errorf("status %d, want %d", answer.Status, tt.want)
			}
			if _, err := answer.decode(); tt.want == statusOversized && !errors.Is(err, kv.ErrOversized) {
				t.Errorf("error %v, want ErrOversized", err)
			}
		})
	}
}
