package document

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxDepth bounds the nesting of a document, so that a malicious one cannot exhaust
// the stack.
const maxDepth = 64

// positions holds the offset at which each value of a document begins. The offset
// of an object's member is that of its name.
type positions struct {
	offsets    map[string]int64 // offsets by JSON pointer
	duplicates []Fault          // repeated names within one object
}

// trailingError reports text after the end of the document.
type trailingError struct {
	offset int64 // where the text begins
}

func (e *trailingError) Error() string { return "text after the end of the document" }

// locator walks the tokens of a document and records positions.
type locator struct {
	decoder *json.Decoder
	data    []byte
	result  *positions
}

// locateValues reads the whole document and returns the positions of its values.
func locateValues(data []byte) (*positions, error) {
	l := &locator{
		decoder: json.NewDecoder(bytes.NewReader(data)),
		data:    data,
		result:  &positions{offsets: map[string]int64{}},
	}
	l.decoder.UseNumber()
	l.result.offsets[""] = l.nextOffset()
	err := l.readValue("", 0)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if offset := l.nextOffset(); offset < int64(len(data)) {
		return nil, &trailingError{offset: offset}
	}
	return l.result, nil
}

func (l *locator) readValue(path string, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d", maxDepth)
	}
	token, err := l.decoder.Token()
	if err != nil {
		return err // keeps a *json.SyntaxError with its offset
	}
	switch token {
	case json.Delim('{'):
		return l.readObject(path, depth)
	case json.Delim('['):
		return l.readArray(path, depth)
	}
	return nil
}

func (l *locator) readObject(path string, depth int) error {
	for l.decoder.More() {
		offset := l.nextOffset()
		token, err := l.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // the decoder accepts only strings as names
		member := path + Pointer(name)
		if _, duplicate := l.result.offsets[member]; duplicate {
			line, column := lineColumn(l.data, offset)
			l.result.duplicates = append(l.result.duplicates,
				Fault{Path: member, Line: line, Column: column, Message: "field stands twice"})
		}
		l.result.offsets[member] = offset
		if err := l.readValue(member, depth+1); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

func (l *locator) readArray(path string, depth int) error {
	for i := 0; l.decoder.More(); i++ {
		element := path + Pointer(i)
		l.result.offsets[element] = l.nextOffset()
		if err := l.readValue(element, depth+1); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

// nextOffset returns the offset of the next token, past space and separators.
func (l *locator) nextOffset() int64 {
	offset := l.decoder.InputOffset()
	for offset < int64(len(l.data)) && bytes.IndexByte([]byte(" \t\r\n,:"), l.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// lineColumn converts an offset to a line and a column, both counted from 1.
func lineColumn(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
