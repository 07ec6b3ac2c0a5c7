package day

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// startLine returns the log line of a task start, some seconds into a day.
func startLine(second float64, epoch int) string {
	return line(second, fmt.Sprintf(`"msg":"order","epoch":%d,"kind":"start","outcome":"done","reason":"ready"`, epoch))
}

// line returns a log line with the given fields, some seconds into a day.
func line(second float64, rest string) string {
	at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf(`{"time":%q,"level":"INFO","entry":"e1",%s}`, at.Format(time.RFC3339Nano), rest)
}

// TestRecovery guards against a recovery that is measured from the start of the
// wrong owner, or that ends at the first start although starts are still slow.
func TestRecovery(t *testing.T) {
	takeover := line(12, `"msg":"shard taken over","epoch":2`)
	var before []string // ten starts per second, from 7 s to 10 s
	for i := range 30 {
		before = append(before, startLine(7+float64(i)/10, 1))
	}
	late := startLine(12.2, 1) // a start by the previous owner that was answered late
	tests := []struct {
		name  string
		after []string
		want  string // from the last start before to: takeover, first start, former rate
	}{
		{"immediate recovery", starts(12.5, 0.1, 20), "2.1s 2.6s 2.6s"},
		{"slow at first", append(starts(12.5, 0.5, 4), starts(14.5, 0.1, 20)...), "2.1s 2.6s 4.6s"},
		{"never", starts(12.5, 0.5, 4), "2.1s 2.6s -"},
		{"no start after the takeover", nil, "2.1s - -"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Join(append(append(append([]string(nil), before...), takeover, late), tt.after...), "\n")
			lines, err := Read(strings.NewReader(text), "")
			if err != nil {
				t.Fatal(err)
			}
			d := Summarize(lines)
			if len(d.Takeovers) != 1 {
				t.Fatalf("%d takeovers, want 1", len(d.Takeovers))
			}
			summary := d.Takeovers[0]
			got := strings.Join([]string{summary.since(summary.At), summary.since(summary.FirstStart), summary.since(summary.RecoveredAt)}, " ")
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("recovery (-want +got):\n%s", diff)
			}
		})
	}
}

// starts returns the log lines of starts by the new owner at a fixed step.
func starts(from, step float64, count int) []string {
	var lines []string
	for i := range count {
		lines = append(lines, startLine(from+step*float64(i), 2))
	}
	return lines
}

// TestRejections guards against a report that leaves out rejections whose lines an entry has
// omitted, or mixes their causes.
func TestRejections(t *testing.T) {
	rejected := func(cause string, omitted int) string {
		return line(1, fmt.Sprintf(`"msg":"submission rejected","cause":%q,"omitted":%d`, cause, omitted))
	}
	tests := []struct {
		name  string
		lines []string
		want  map[string]int
	}{
		{"none", starts(1, 1, 1), map[string]int{}},
		{"two causes", []string{rejected("beyond rate", 0), rejected("beyond rate", 0), rejected("too late", 0)}, map[string]int{"beyond rate": 2, "too late": 1}},
		{"omitted lines", []string{rejected("beyond rate", 0), rejected("beyond rate", 40)}, map[string]int{"beyond rate": 42}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(strings.Join(tt.lines, "\n")), "")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, Summarize(lines).Rejections); diff != "" {
				t.Errorf("rejections (-want +got):\n%s", diff)
			}
		})
	}
}
