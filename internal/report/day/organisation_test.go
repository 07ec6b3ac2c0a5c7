package day

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOrganisations guards against a report in which an organisation's use, cap or waits are
// those of one line or of another organisation, and against a table in a deployment without
// organisations.
func TestOrganisations(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  []string // columns of the table
	}{
		{"none", []string{line(1, `"msg":"job taken","job":"j","queue":"q"`)}, nil},
		{"two organisations", []string{
			line(1, `"msg":"organisation","organisation":"a","weight":13,"cores":4500,"capcores":6000,"waiting":3,"held":0,"beyond":0,"share":0,"aboveshare":false,"heldfor":"0s"`),
			line(1, `"msg":"organisation","organisation":"b","weight":1,"cores":500,"capcores":0,"waiting":0,"held":0,"beyond":0,"share":0.05,"aboveshare":true,"heldfor":"0s"`),
			line(11, `"msg":"organisation","organisation":"a","weight":12,"cores":4000,"capcores":5000,"waiting":9,"held":7,"beyond":2,"share":0.25,"aboveshare":false,"heldfor":"2.5s"`),
			line(21, `"msg":"organisation","organisation":"a","weight":12,"cores":5000,"capcores":5000,"waiting":1,"held":1,"beyond":0,"share":0.5,"aboveshare":false,"heldfor":"1.2s"`),
		}, []string{
			"a 3 12 25.0% 0 5.0 5.0 9 7 2 2.5s 2",
			"b 1 1 5.0% 1 - 0.5 0 0 0 0s 0",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(strings.Join(tt.lines, "\n")), "")
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			if err := Summarize(lines).Write(&out); err != nil {
				t.Fatal(err)
			}
			var got []string
			_, table, _ := strings.Cut(out.String(), "organisation ")
			for row := range strings.Lines(table) {
				if columns := strings.Fields(row); len(columns) == 12 && columns[0] < "c" {
					got = append(got, strings.Join(columns, " "))
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("organisations (-want +got):\n%s", diff)
			}
		})
	}
}
