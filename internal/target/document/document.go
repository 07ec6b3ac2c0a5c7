// Package document decodes the JSON files that operators write: settings and the
// target document. It validates a file against a JSON schema and reports all faults
// at once, each with its path, line and column.
package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one error in a document.
type Fault struct {
	Path    string `json:"path"`   // JSON pointer; empty for the whole document
	Line    int    `json:"line"`   // counted from 1
	Column  int    `json:"column"` // in bytes, counted from 1
	Message string `json:"message"`
}

// Faults holds all faults of one document, by position. It implements error.
type Faults struct {
	File   string  `json:"file"`
	Faults []Fault `json:"faults"`
}

// Error returns one line for each fault, in the form file:line:column: path: message.
func (f *Faults) Error() string {
	var lines []string
	for _, x := range f.Faults {
		path := cmp.Or(x.Path, "document")
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s: %s", f.File, x.Line, x.Column, path, x.Message))
	}
	return strings.Join(lines, "\n")
}

// Schema is a compiled JSON schema. In addition to the standard formats it supports
// "span", a positive duration such as 250ms, and "address", an IP and port.
type Schema struct {
	schema *jsonschema.Schema
}

// MustCompile compiles an embedded schema. It panics if the schema is invalid.
func MustCompile(name string, source []byte) Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		panic(errors.Errorf("schema %s: %w", name, err))
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "span", Validate: checkDuration})
	c.RegisterFormat(&jsonschema.Format{Name: "address", Validate: checkAddress})
	c.AssertFormat()
	if err := c.AddResource(name, parsed); err != nil {
		panic(errors.Errorf("schema %s: %w", name, err))
	}
	return Schema{schema: c.MustCompile(name)}
}

// Document is a parsed file with the positions of its values.
type Document struct {
	file  string
	data  []byte
	index *positions
}

// Decode parses data, validates it against the schema and decodes it into target.
// The error is a *Faults if the document is invalid. The returned Document locates
// faults that only the caller can detect.
func Decode(file string, data []byte, s Schema, target any) (*Document, error) {
	d := &Document{file: file, data: data}
	index, err := locateValues(data)
	if err != nil {
		return d, d.syntaxFault(err)
	}
	d.index = index
	if len(index.duplicates) > 0 {
		return d, d.LocateFaults(index.duplicates)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return d, d.syntaxFault(err)
	}
	if err := s.schema.Validate(value); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return d, errors.Errorf("validate %s: %w", file, err)
		}
		return d, d.LocateFaults(flattenFaults(invalid))
	}
	if err := json.Unmarshal(data, target); err != nil {
		return d, d.LocateFaults([]Fault{{Message: err.Error()}})
	}
	return d, nil
}

// LocateFaults fills in the line and column of each fault from its path, and returns
// the faults as one error, sorted by position. It returns nil if there are none.
func (d *Document) LocateFaults(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line, faults[i].Column = d.positionOf(faults[i].Path)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Faults{File: d.file, Faults: faults}
}

// Pointer returns the JSON pointer with the given parts.
func Pointer(parts ...any) string {
	var b strings.Builder
	for _, p := range parts {
		text := fmt.Sprint(p)
		text = strings.ReplaceAll(text, "~", "~0")
		b.WriteString("/" + strings.ReplaceAll(text, "/", "~1"))
	}
	return b.String()
}

// positionOf returns the line and column of a path, or of its nearest parent that
// exists in the document.
func (d *Document) positionOf(path string) (line, column int) {
	for {
		if offset, ok := d.index.offsets[path]; ok {
			return lineColumn(d.data, offset)
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return 1, 1
		}
		path = path[:slash]
	}
}

// syntaxFault returns a parse error as Faults with its position.
func (d *Document) syntaxFault(err error) error {
	offset := int64(len(d.data))
	var syntax *json.SyntaxError
	var trailing *trailingError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &trailing):
		offset = trailing.offset
	}
	line, column := lineColumn(d.data, offset)
	return &Faults{File: d.file, Faults: []Fault{{Line: line, Column: column, Message: err.Error()}}}
}

// flattenFaults returns the leaves of the tree of a validation error.
func flattenFaults(e *jsonschema.ValidationError) []Fault {
	if len(e.Causes) > 0 {
		var faults []Fault
		for _, c := range e.Causes {
			faults = append(faults, flattenFaults(c)...)
		}
		return faults
	}
	parts := make([]any, len(e.InstanceLocation))
	for i, p := range e.InstanceLocation {
		parts[i] = p
	}
	path := Pointer(parts...)
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		var faults []Fault
		for _, name := range extra.Properties {
			faults = append(faults, Fault{Path: path + Pointer(name), Message: "unknown field"})
		}
		return faults
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Fault{{Path: path, Message: text}}
}

func checkDuration(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil // another keyword of the schema checks the type
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("want a duration such as 250ms or 2h")
	}
	if d <= 0 {
		return errors.New("want a positive duration")
	}
	return nil
}

func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil // another keyword of the schema checks the type
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("want an IP and port such as 10.0.0.1:8080")
	}
	return nil
}
