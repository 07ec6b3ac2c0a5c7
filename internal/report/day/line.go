// Package day summarizes a day from the logs of entries. The logs are its only
// input.
package day

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one structured line of an entry's log.
type Line struct {
	At     time.Time
	Entry  string
	Text   string
	Fields map[string]any
}

// Read returns the structured lines that contain an id, in order of time; an empty id
// selects all. Other lines, and text before the JSON object of a line, are skipped.
func Read(r io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		if l, ok := parse(text[start:]); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Entry, b.Entry))
	})
	return lines, nil
}

func parse(text string) (Line, bool) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		v, _ := fields[name].(string)
		delete(fields, name)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return Line{}, false
	}
	delete(fields, "level")
	return Line{At: at, Entry: take("entry"), Text: take("msg"), Fields: fields}, true
}

// String formats the line as its time, entry, text and fields, sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.Entry, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[name]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// stringField returns a field that is a string, or an empty string.
func (l Line) stringField(name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// numberField returns a field that is a number, or 0.
func (l Line) numberField(name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

// durationField returns a field that is a duration, or 0.
func (l Line) durationField(name string) time.Duration {
	d, err := time.ParseDuration(l.stringField(name))
	if err != nil {
		return 0 // another release may print it in another format
	}
	return d
}
