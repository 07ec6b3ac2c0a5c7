package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Subject is the kind of item that a change affects.
type Subject string

// Subjects of changes.
const (
	SubjectClass Subject = "class"
	SubjectRoute Subject = "route" // its name has the form class: method prefix
	SubjectTeam  Subject = "team"
	SubjectZone  Subject = "zone"
)

// Verb is the way in which the subject changed.
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
	Field   string  `json:"field,omitempty"` // path within the item, such as target.bound; only for VerbChanged
	Old     string  `json:"old,omitempty"`
	New     string  `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Verb != VerbChanged {
		return fmt.Sprintf("%s %s: %s", c.Subject, c.Name, c.Verb)
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Subject, c.Name, c.Field, cmp.Or(c.Old, "none"), cmp.Or(c.New, "none"))
}

// Diff returns the changes from one document to another: zones first, since they
// take effect at once, then teams, classes and routes, each by name. The order of
// lists has no meaning, so a different order is no change.
func Diff(from, to *Document) []Change {
	a, b := itemFields(from), itemFields(to)
	keys := make([]itemKey, 0, len(a)+len(b))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, common := a[k]; !common {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, itemKey.compare)
	var changes []Change
	for _, k := range keys {
		changes = append(changes, diffItem(k, a[k], b[k])...)
	}
	return changes
}

// itemKey identifies one item of a document.
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

// itemField is one field of an item as text, which is empty for unset fields.
type itemField struct {
	name, text string
}

// itemFields returns the fields of every item of a document, by item.
func itemFields(d *Document) map[itemKey][]itemField {
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
			{"target.percentile", numberText(c.Target.Percentile)},
			{"target.bound", durationText(c.Target.Bound)},
			{"target.start", durationText(c.Target.Start)},
			{"target.finish", durationText(c.Target.Finish)},
			{"target.replicas", numberText(float64(c.Target.Replicas))},
		}
		for _, r := range c.Routes {
			name := string(c.Name) + ": " + strings.TrimSpace(r.Method+" "+r.Prefix)
			all[itemKey{SubjectRoute, name}] = []itemField{{"once", strconv.FormatBool(r.Once)}}
		}
	}
	return all
}

// diffItem returns the changes of one item. Its fields are nil in a document that
// lacks it.
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

func numberText(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func durationText(d unit.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
