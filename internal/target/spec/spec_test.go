package spec

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/monsoonfold/monsoonfold/internal/bench/seed" // one seed unless -rapid.seed names another
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// exampleDocument is a valid document with a class of each kind.
const exampleDocument = `{
  "classes": [
    {"name": "quote", "kind": "request", "service": "order-desk",
     "routes": [{"prefix": "/quote", "method": "GET"}, {"prefix": "/cut?a&b", "once": true}],
     "target": {"percentile": 99.9, "bound": "250ms"}},
    {"name": "recon", "kind": "batch", "team": "night", "target": {"start": "10m", "finish": "8h"}},
    {"name": "sync", "kind": "standing", "team": "night", "target": {"replicas": 2}}
  ],
  "teams": [{"name": "night", "quota": {"cores": 64000, "memory": 1}}],
  "zones": [{"name": "guj-morbi"}, {"name": "guj-hazira", "out": true}]
}`

// TestParse guards against accepting a contradictory document, and against faults
// that are reported one at a time or without their position.
func TestParse(t *testing.T) {
	edit := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(exampleDocument) }
	tests := []struct {
		name string
		text string
		want []string // line:column: path: message
	}{
		{"valid", exampleDocument, nil},
		{"unknown team", edit(`"recon", "kind": "batch", "team": "night"`, `"recon", "kind": "batch", "team": "day"`),
			[]string{`6:40: /classes/1/team: unknown team "day"`}},
		{"duplicate zone and class", edit("guj-hazira", "guj-morbi", `"sync"`, `"recon"`), []string{
			`7:6: /classes/2/name: name "recon" stands twice; first at /classes/1`,
			`10:37: /zones/1/name: name "guj-morbi" stands twice; first at /zones/0`,
		}},
		{"request without routes and service", edit(`"service": "order-desk",`, "", `[{"prefix": "/quote", "method": "GET"}, {"prefix": "/cut?a&b", "once": true}]`, "[]"), []string{
			"3:5: /classes/0/service: missing in a class of kind request",
			"4:6: /classes/0/routes: missing in a class of kind request",
		}},
		{"target of another kind", edit(`{"replicas": 2}`, `{"bound": "1s"}`), []string{
			"7:59: /classes/2/target/replicas: missing in a class of kind standing",
			"7:70: /classes/2/target/bound: does not apply to a class of kind standing",
		}},
		{"percentile out of range", edit("99.9", "100"),
			[]string{"5:17: /classes/0/target/percentile: exclusiveMaximum: got 100, want 100"}},
		{"finish before start", edit("8h", "9m"),
			[]string{"6:84: /classes/1/target/finish: finish 9m0s is before start 10m0s"}},
		{"overlapping routes", edit("/cut?a&b", "/quote"),
			[]string{`4:56: /classes/0/routes/1: route overlaps with one of class "quote"`}},
		{"no zones", edit(`[{"name": "guj-morbi"}, {"name": "guj-hazira", "out": true}]`, "[]"),
			[]string{"10:3: /zones: minItems: got 0, want 1"}},
		{"too large", strings.Repeat(" ", MaxSize) + exampleDocument,
			[]string{"1:1: document: document larger than 983040 bytes"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.text))
			var got []string
			if faults, ok := errors.Into[*document.Faults](err); ok {
				for line := range strings.Lines(faults.Error()) {
					got = append(got, strings.TrimPrefix(strings.TrimSpace(line), "f:"))
				}
			} else if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDiff guards against a change that the operators' diff omits.
func TestDiff(t *testing.T) {
	base, err := Parse("f", []byte(exampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		edit func(d *Document)
		want []string
	}{
		// edit gets the document with its lists in canonical order.
		{"none", func(*Document) {}, nil},
		{"order of lists", func(d *Document) { d.Zones[0], d.Zones[1] = d.Zones[1], d.Zones[0] }, nil},
		{"zone out", func(d *Document) { d.Zones[1].Out = true }, []string{"zone guj-morbi: out: false -> true"}},
		{"bound", func(d *Document) { d.Classes[0].Target.Bound = unit.Duration(time.Second) }, []string{"class quote: target.bound: 250ms -> 1s"}},
		{"routes", func(d *Document) { d.Classes[0].Routes[1].Method = "POST"; d.Classes[0].Routes[0].Once = false }, []string{
			"route quote: /cut?a&b: once: true -> false", "route quote: GET /quote: removed", "route quote: POST /quote: added"}},
		{"team and class", func(d *Document) { d.Teams[0].Quota.Memory = 2; d.Classes = d.Classes[:2]; d.Classes[1].Team = "" }, []string{
			"team night: quota.memory: 1 -> 2", "class recon: team: night -> none", "class sync: removed"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to := Canonical(&base)
			tt.edit(&to)
			var got []string
			for _, c := range Diff(&base, &to) {
				got = append(got, c.String())
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// drawDocument draws a document that need not be valid. It uses few names, so that
// two documents have many items in common.
func drawDocument(t *rapid.T, label string) Document {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	draw := func(n string) int { return rapid.IntRange(0, 2).Draw(t, label+n) }
	d := Document{Classes: []Class{}, Zones: []Zone{}}
	for range draw("zones") {
		d.Zones = append(d.Zones, Zone{Name: unit.ZoneID(name.Draw(t, label)), Out: draw("out") == 1})
	}
	for range draw("teams") {
		d.Teams = append(d.Teams, Team{Name: unit.TeamID(name.Draw(t, label)), Quota: unit.Resources{Cores: unit.Millicores(draw("cores"))}})
	}
	for range draw("classes") {
		c := Class{Name: unit.ClassID(name.Draw(t, label)), Kind: KindBatch, Target: Target{Percentile: float64(draw("percentile")), Replicas: draw("replicas")}}
		for range draw("routes") {
			c.Routes = append(c.Routes, Route{Prefix: "/" + name.Draw(t, label), Once: draw("once") == 1})
		}
		d.Classes = append(d.Classes, c)
	}
	return d
}

// TestDiffMatchesFormat guards against documents with different text for which Diff
// returns no change, and against changes between documents with equal text.
func TestDiffMatchesFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, "a"), drawDocument(t, "b")
		for _, f := range append(check(&a), check(&b)...) {
			if strings.Contains(f.Message, "twice") || strings.Contains(f.Message, "overlaps") {
				t.Skip("items are identified by name, so duplicates cannot be compared")
			}
		}
		textA, errA := Format(&a)
		textB, errB := Format(&b)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		if same := string(textA) == string(textB); same != (len(Diff(&a, &b)) == 0) {
			t.Fatalf("texts equal = %v, changes %v", same, Diff(&a, &b))
		}
	})
}

// FuzzParse guards against a document that makes Parse panic, and against output of
// Format that does not parse to the same document.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleDocument))
	f.Add([]byte(`{"classes": [], "zones": [{"name": "z"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("f", data)
		if err != nil {
			return
		}
		text, err := Format(&d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("f", text)
		if err != nil {
			t.Fatalf("parse formatted text: %v", err)
		}
		if changes := Diff(&d, &again); len(changes) > 0 {
			t.Fatalf("changes by formatting: %v", changes)
		}
	})
}
