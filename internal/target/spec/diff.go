package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Subject is the kind of thing that a change is about.
type Subject string

// Subjects of changes.
const (
	SubjectClass Subject = "class"
	SubjectRoute Subject = "route" // named class: method prefix
	SubjectTeam  Subject = "team"
	SubjectZone  Subject = "zone"
)

// Verb is what happened to the subject.
type Verb string

// Verbs of changes.
const (
	VerbAdded   Verb = "added"
	VerbRemoved Verb = "removed"
	VerbChanged Verb = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name"`
	Verb    Verb    `json:"verb"`
	Field   string  `json:"field,omitempty"` // changed only, such as target.bound
	Old     string  `json:"old,omitempty"`
	New     string  `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Verb != VerbChanged {
		return fmt.Sprintf("%s %s: %s", c.Subject, c.Name, c.Verb)
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Subject, c.Name, c.Field, cmp.Or(c.Old, "none"), cmp.Or(c.New, "none"))
}

// Diff returns the changes that lead from one document to another, zones first,
// since they take effect at once, then teams and classes, each by name. Documents
// that differ in the order of their lists only have no changes.
func Diff(from, to *Document) []Change {
	a, b := items(from), items(to)
	names := make([]itemKey, 0, len(a)+len(b))
	for k := range a {
		names = append(names, k)
	}
	for k := range b {
		if _, both := a[k]; !both {
			names = append(names, k)
		}
	}
	slices.SortFunc(names, itemKey.compare)
	var changes []Change
	for _, k := range names {
		changes = append(changes, diffItem(k, a[k], b[k])...)
	}
	return changes
}

// itemKey names one item of a document.
type itemKey struct {
	subject Subject
	name    string
}

var subjectOrder = []Subject{SubjectZone, SubjectTeam, SubjectClass, SubjectRoute}

func (k itemKey) compare(o itemKey) int {
	return cmp.Or(
		cmp.Compare(slices.Index(subjectOrder, k.subject), slices.Index(subjectOrder, o.subject)),
		cmp.Compare(k.name, o.name),
	)
}

// itemField is one field of an item as text; unset fields have empty text.
type itemField struct {
	name, text string
}

// items returns the fields of every item of a document.
func items(d *Document) map[itemKey][]itemField {
	all := map[itemKey][]itemField{}
	for _, z := range d.Zones {
		all[itemKey{SubjectZone, string(z.Name)}] = []itemField{{"out", strconv.FormatBool(z.Out)}}
	}
	for _, t := range d.Teams {
		all[itemKey{SubjectTeam, string(t.Name)}] = []itemField{
			{"quota.cores", strconv.FormatInt(int64(t.Quota.Cores), 10)},
			{"quota.memory", strconv.FormatInt(int64(t.Quota.Memory), 10)},
			{"quota.accelerators", strconv.FormatInt(int64(t.Quota.Accelerators), 10)},
		}
	}
	for _, c := range d.Classes {
		all[itemKey{SubjectClass, string(c.Name)}] = []itemField{
			{"kind", string(c.Kind)},
			{"team", string(c.Team)},
			{"service", string(c.Service)},
			{"target.percentile", number(c.Target.Percentile)},
			{"target.bound", span(c.Target.Bound)},
			{"target.start", span(c.Target.Start)},
			{"target.finish", span(c.Target.Finish)},
			{"target.replicas", number(float64(c.Target.Replicas))},
		}
		for _, r := range c.Routes {
			name := string(c.Name) + ": " + strings.TrimSpace(r.Method+" "+r.Prefix)
			all[itemKey{SubjectRoute, name}] = []itemField{{"once", strconv.FormatBool(r.Once)}}
		}
	}
	return all
}

func diffItem(k itemKey, from, to []itemField) []Change {
	switch {
	case from == nil:
		return []Change{{Subject: k.subject, Name: k.name, Verb: VerbAdded}}
	case to == nil:
		return []Change{{Subject: k.subject, Name: k.name, Verb: VerbRemoved}}
	}
	var changes []Change
	for i, f := range from {
		if f.text != to[i].text {
			changes = append(changes, Change{
				Subject: k.subject, Name: k.name, Verb: VerbChanged, Field: f.name, Old: f.text, New: to[i].text,
			})
		}
	}
	return changes
}

func number(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func span(d unit.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
