package message

import (
	"bytes"
	"encoding/binary"
	"io"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Errors of the codec. Use errors.Is.
var (
	ErrKind      = errors.New("unknown message kind")
	ErrSize      = errors.New("message too large")
	ErrMalformed = errors.New("message malformed")
)

// headerSize is the size of a frame's header: the kind in one byte and the length of
// the body in four, big endian.
const headerSize = 1 + 4

// Maximum sizes of a body, in bytes. A Push carries a whole target document, whose
// JSON form fits into a store value of 1 MB.
const (
	maxSmall  = 4 << 10
	maxMedium = 256 << 10
	maxPush   = 2 << 20
)

// kindInfo describes the messages of one kind.
type kindInfo struct {
	name    string
	maxBody int // maximum size of a body
	decode  func([]byte) (Message, error)
}

var kinds = map[Kind]kindInfo{
	KindHello:          {"hello", maxSmall, decodeAs[Hello]},
	KindHeartbeat:      {"heartbeat", maxSmall, decodeAs[Heartbeat]},
	KindPush:           {"push", maxPush, decodeAs[Push]},
	KindAck:            {"ack", maxSmall, decodeAs[Ack]},
	KindPull:           {"pull", maxSmall, decodeAs[Pull]},
	KindExplainRequest: {"ask", maxSmall, decodeAs[ExplainRequest]},
	KindExplainReply:   {"answer", maxMedium, decodeAs[ExplainReply]},
	KindBurnRequest:    {"ask burn", maxSmall, decodeAs[BurnRequest]},
	KindBurnReply:      {"burn", maxPush, decodeAs[BurnReply]},
	KindFault:          {"fault", maxSmall, decodeAs[Fault]},
	KindDone:           {"done", maxSmall, decodeAs[Done]},
	KindSignals:        {"signals", maxMedium, decodeAs[Signals]},
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// String returns the name of the kind.
func (k Kind) String() string {
	if info, ok := kinds[k]; ok {
		return info.name
	}
	return "kind " + strconv.Itoa(int(k))
}

// Encode returns the frame of a message: its header and CBOR body.
func Encode(m Message) ([]byte, error) {
	info, ok := kinds[m.Kind()]
	if !ok {
		return nil, errors.Errorf("encode %s: %w", m.Kind(), ErrKind)
	}
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, errors.Errorf("encode %s: %w", m.Kind(), err)
	}
	if len(body) > info.maxBody {
		return nil, errors.Errorf("encode %s: %d bytes, bound %d: %w", m.Kind(), len(body), info.maxBody, ErrSize)
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	frame[0] = byte(m.Kind())
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	return append(frame, body...), nil
}

// Header is the header of a frame.
type Header struct {
	Kind Kind
	Size int // of the body, in bytes
}

// Read reads one frame and returns the message and the size of the frame.
func Read(r io.Reader) (Message, int, error) {
	h, err := ReadHeader(r)
	if err != nil {
		return nil, 0, err
	}
	return h.ReadBody(r)
}

// ReadHeader reads the header of a frame, whose size is at most the maximum of its kind.
func ReadHeader(r io.Reader) (Header, error) {
	var text [headerSize]byte
	if _, err := io.ReadFull(r, text[:]); err != nil {
		return Header{}, errors.Errorf("read message header: %w", err)
	}
	kind, size := Kind(text[0]), binary.BigEndian.Uint32(text[1:])
	info, ok := kinds[kind]
	if !ok {
		return Header{}, errors.Errorf("read %s: %w", kind, ErrKind)
	}
	if uint64(size) > uint64(info.maxBody) {
		return Header{}, errors.Errorf("read %s: %d bytes, bound %d: %w", kind, size, info.maxBody, ErrSize)
	}
	return Header{kind, int(size)}, nil
}

// ReadBody reads the rest of a frame and returns the message and the size of the frame. It
// allocates no more than about twice what has arrived of the body.
func (h Header) ReadBody(r io.Reader) (Message, int, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(h.Size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, errors.Errorf("read %s: %w", h.Kind, err)
	}
	m, err := kinds[h.Kind].decode(body.Bytes())
	if err != nil {
		return nil, 0, errors.Errorf("decode %s: %w", h.Kind, err)
	}
	return m, headerSize + h.Size, nil
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, errors.Errorf("%v: %w", err, ErrMalformed)
	}
	return m, nil
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(errors.Errorf("CBOR encoder options: %w", err)) // cannot happen: the options are constants
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
	}.DecMode()
	if err != nil {
		panic(errors.Errorf("CBOR decoder options: %w", err)) // cannot happen: the options are constants
	}
	return mode
}
