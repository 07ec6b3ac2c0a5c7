package day

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLongestIdle guards against a report that does not show that tasks of a queue get no
// turn, and against one that ends at a field in another format.
func TestLongestIdle(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  map[string]time.Duration
	}{
		{"none", []string{line(1, `"msg":"shard","idle":0,"longestidle":{}`)}, map[string]time.Duration{}},
		{"longest of several lines", []string{
			line(1, `"msg":"shard","longestidle":{"a":"3s","b":"1.5s"}`),
			line(2, `"msg":"shard","longestidle":{"a":"5s"}`),
			line(3, `"msg":"shard","longestidle":{"a":"2s"}`),
		}, map[string]time.Duration{"a": 5 * time.Second, "b": 1500 * time.Millisecond}},
		{"earlier release", []string{line(1, `"msg":"shard"`)}, map[string]time.Duration{}},
		{"another format", []string{line(1, `"msg":"shard","longestidle":["a"]`), line(2, `"msg":"shard","longestidle":{"a":3}`)}, map[string]time.Duration{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(strings.Join(tt.lines, "\n")), "")
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]time.Duration{}
			for name, q := range Summarize(lines).Queues {
				got[name] = q.LongestIdle
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("longest idle (-want +got):\n%s", diff)
			}
		})
	}
}
