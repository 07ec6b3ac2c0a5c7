package delta

import "slices"

// editKind is the kind of one edit. The edits of a list build the next list from its
// front to its end, and refer to the items of the previous list by a position, which is
// 0 at first. Once all edits are applied, the items from the position on follow.
type editKind uint8

const (
	editKeep       editKind = iota // the next items are the same; the argument is their number
	editMove                       // the argument is the signed step to the new position
	editAdd                        // an item that the previous list lacks follows
	editChange                     // the next item changed by the argument and the number that follows
	editCheckpoint                 // as editChange, and a new checkpoint follows
	editKindBits   = 3             // the argument is in the bits above the kind
)

// Limits of lists.
const (
	// maxListSize is the largest size of a list, in bytes. A worker's response is limited to
	// that, and each item in it takes more than minItemSize and its texts.
	maxListSize = 4 << 20
	minItemSize = 8
	// maxSearch is the number of positions at which an item is searched for. It bounds the
	// time that a worker with a huge list can take.
	maxSearch = 1024
)

// list is the last list of a session.
type list struct {
	items  []item
	used   []bool // by position: the item is in the next list
	buffer []item // for the next list
}

// encode replaces the list and returns the edits that do the same at the decoder. There
// are none if nothing changed.
func (l *list) encode(next []item) []byte {
	l.resetUsed()
	var b []byte
	position, kept := 0, 0
	flush := func() {
		if kept > 0 {
			b = appendEdit(b, editKeep, uint64(kept))
			kept = 0
		}
	}
	for i := range next {
		at := l.find(position, &next[i])
		if at < 0 {
			flush()
			b = appendItem(b, &next[i])
			continue
		}
		if at != position {
			flush()
			b = appendEdit(b, editMove, zigzag(int64(at-position)))
		}
		l.used[at] = true
		position = at + 1
		if l.items[at] == next[i] {
			kept++
			continue
		}
		flush()
		b = appendChange(b, &l.items[at], &next[i])
	}
	if rest := len(l.items) - position; rest > 0 {
		flush()
		b = appendEdit(b, editMove, zigzag(int64(rest)))
	}
	l.items = append(l.items[:0], next...)
	return b
}

// find returns the position of an item that is not used yet and can become next, or -1.
func (l *list) find(position int, next *item) int {
	for range min(len(l.items), maxSearch) {
		if position == len(l.items) {
			position = 0
		}
		if !l.used[position] && l.items[position].becomes(next) {
			return position
		}
		position++
	}
	return -1
}

// decode applies edits to the list.
func (l *list) decode(edits []byte) error {
	if len(edits) == 0 {
		return nil
	}
	l.resetUsed()
	l.buffer = l.buffer[:0]
	r := reader{data: edits}
	position, ok := 0, true
	for ok && len(r.data) > 0 {
		edit := r.uvarint()
		arg := edit >> editKindBits
		switch kind := editKind(edit & (1<<editKindBits - 1)); kind {
		case editKeep:
			ok = l.take(position, arg)
			position += int(arg)
		case editMove:
			step := unzigzag(arg)
			ok = step >= -int64(position) && step <= int64(len(l.items)-position)
			position += int(step)
		case editAdd:
			l.buffer = append(l.buffer, r.item())
		case editChange, editCheckpoint:
			if ok = l.take(position, 1); ok {
				changed := &l.buffer[len(l.buffer)-1]
				changed.small += unzigzag(arg)
				changed.large += r.varint()
				if kind == editCheckpoint {
					changed.checkpoint = r.text()
				}
			}
			position++
		default:
			ok = false
		}
	}
	ok = ok && l.take(position, uint64(len(l.items)-position))
	if !ok || r.failed || r.texts && listSize(l.buffer) > maxListSize {
		return errMalformed
	}
	l.items, l.buffer = l.buffer, l.items
	return nil
}

// take appends count items from a position on to the next list, each of which may be used
// once.
func (l *list) take(position int, count uint64) bool {
	if count > uint64(len(l.items)-position) {
		return false
	}
	end := position + int(count)
	for i := position; i < end; i++ {
		if l.used[i] {
			return false
		}
		l.used[i] = true
	}
	l.buffer = append(l.buffer, l.items[position:end]...)
	return true
}

func (l *list) resetUsed() {
	l.used = slices.Grow(l.used[:0], len(l.items))[:len(l.items)]
	clear(l.used)
}

func listSize(items []item) int {
	size := 0
	for i := range items {
		size += minItemSize + len(items[i].task.Job) + len(items[i].checkpoint)
	}
	return size
}
