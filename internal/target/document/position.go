package document

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxDepth bounds the nesting of a document, so that a hostile one cannot
// exhaust the stack.
const maxDepth = 64

// positions tells where each value of a document begins; that of an object's
// member is the position of its name.
type positions struct {
	offsets    map[string]int64 // by JSON pointer
	duplicates []Fault          // names that stand twice in one object
}

// trailingError says that text follows the document.
type trailingError struct {
	offset int64 // of the text
}

func (e *trailingError) Error() string { return "text after the end of the document" }

type locator struct {
	decoder *json.Decoder
	data    []byte
	found   *positions
}

// locate reads the whole document and returns the positions of its parts.
func locate(data []byte) (*positions, error) {
	l := &locator{
		decoder: json.NewDecoder(bytes.NewReader(data)),
		data:    data,
		found:   &positions{offsets: map[string]int64{}},
	}
	l.decoder.UseNumber()
	l.found.offsets[""] = l.nextOffset()
	err := l.value("", 0)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if offset := l.nextOffset(); offset < int64(len(data)) {
		return nil, &trailingError{offset: offset}
	}
	return l.found, nil
}

func (l *locator) value(path string, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d", maxDepth)
	}
	token, err := l.decoder.Token()
	if err != nil {
		return err // keeps *json.SyntaxError with its offset
	}
	switch token {
	case json.Delim('{'):
		return l.object(path, depth)
	case json.Delim('['):
		return l.array(path, depth)
	}
	return nil
}

func (l *locator) object(path string, depth int) error {
	for l.decoder.More() {
		offset := l.nextOffset()
		token, err := l.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // the decoder takes only strings as names
		member := path + Pointer(name)
		if _, twice := l.found.offsets[member]; twice {
			line, column := lineColumn(l.data, offset)
			l.found.duplicates = append(l.found.duplicates,
				Fault{Path: member, Line: line, Column: column, Message: "field stands twice"})
		}
		l.found.offsets[member] = offset
		if err := l.value(member, depth+1); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

func (l *locator) array(path string, depth int) error {
	for i := 0; l.decoder.More(); i++ {
		element := path + Pointer(i)
		l.found.offsets[element] = l.nextOffset()
		if err := l.value(element, depth+1); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

// nextOffset returns the offset of the next token.
func (l *locator) nextOffset() int64 {
	offset := l.decoder.InputOffset()
	for offset < int64(len(l.data)) && bytes.IndexByte([]byte(" \t\r\n,:"), l.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func lineColumn(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
