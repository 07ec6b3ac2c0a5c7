package delta

import (
	"encoding/binary"
	"math"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
)

// maxSmallStep is the largest change of item.small that fits into an edit.
const maxSmallStep = 1 << 59

// item is a run or an end.
type item struct {
	task       graph.Task
	run        graph.RunNumber
	checkpoint string
	small      int64 // the progress of a run, the kind of an end
	large      int64 // the metric of a run, the number of an end
}

// becomes reports whether next can be encoded as a change of the item.
func (i *item) becomes(next *item) bool {
	step := next.small - i.small
	return i.run == next.run && i.task == next.task && -maxSmallStep < step && step < maxSmallStep
}

func appendItem(b []byte, i *item) []byte {
	b = appendText(appendEdit(b, editAdd, 0), string(i.task.Job))
	b = binary.AppendVarint(b, int64(i.task.Occurrence))
	b = binary.AppendVarint(b, int64(i.task.Step))
	b = binary.AppendUvarint(b, uint64(i.task.Index))
	b = binary.AppendVarint(b, int64(i.run))
	b = appendText(b, i.checkpoint)
	b = binary.AppendVarint(b, i.small)
	return binary.AppendVarint(b, i.large)
}

func appendChange(b []byte, prev, next *item) []byte {
	kind := editChange
	if next.checkpoint != prev.checkpoint {
		kind = editCheckpoint
	}
	b = appendEdit(b, kind, zigzag(next.small-prev.small))
	b = binary.AppendVarint(b, next.large-prev.large)
	if kind == editCheckpoint {
		b = appendText(b, next.checkpoint)
	}
	return b
}

func appendEdit(b []byte, kind editKind, arg uint64) []byte {
	return binary.AppendUvarint(b, arg<<editKindBits|uint64(kind))
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// zigzag maps numbers of small magnitude to small numbers.
func zigzag(n int64) uint64 { return uint64(n)<<1 ^ uint64(n>>63) }

func unzigzag(n uint64) int64 { return int64(n>>1) ^ -int64(n&1) }

// reader reads edits. After a failure it is at the end and returns zeros.
type reader struct {
	data   []byte
	texts  bool // a text was read
	failed bool
}

func (r *reader) fail() { r.data, r.failed = nil, true }

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) varint() int64 { return unzigzag(r.uvarint()) }

func (r *reader) text() string {
	r.texts = true
	size := r.uvarint()
	if size > uint64(len(r.data)) {
		r.fail()
		return ""
	}
	text := string(r.data[:size])
	r.data = r.data[size:]
	return text
}

func (r *reader) item() item {
	var i item
	i.task.Job = unit.JobID(r.text())
	i.task.Occurrence = graph.Occurrence(r.varint())
	i.task.Step = graph.StepIndex(r.varint())
	index := r.uvarint()
	if index > math.MaxUint32 {
		r.fail()
	}
	i.task.Index = unit.TaskIndex(index)
	i.run = graph.RunNumber(r.varint())
	i.checkpoint = r.text()
	i.small = r.varint()
	i.large = r.varint()
	return i
}
