package spec

import (
	_ "embed" // for schema.json
	"strconv"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// MaxSize bounds the text of a document in bytes. Together with the other fields of
// a revision it fits into a store value, which is limited to 1 MB.
const MaxSize = 960 << 10

//go:embed schema.json
var schemaSource []byte

var schema = document.MustCompile("https://monsoonfold.example/target.json", schemaSource)

// Schema returns a copy of the published JSON schema of the document.
func Schema() []byte { return append([]byte(nil), schemaSource...) }

// Parse decodes and validates a document. The error is a *document.Faults with all
// faults if the document is invalid. Rules that compare fields are checked only if
// the document matches the schema.
func Parse(file string, data []byte) (Document, error) {
	if len(data) > MaxSize {
		return Document{}, &document.Faults{File: file, Faults: []document.Fault{{
			Line: 1, Column: 1, Message: "document larger than " + strconv.Itoa(MaxSize) + " bytes",
		}}}
	}
	var d Document
	source, err := document.Decode(file, data, schema, &d)
	if err != nil {
		return Document{}, err
	}
	if err := source.LocateFaults(check(&d)); err != nil {
		return Document{}, err
	}
	return d, nil
}

// Check validates a document that was not parsed from text, and returns an error
// with all its faults. It parses the formatted document.
func Check(d *Document) error {
	text, err := Format(d)
	if err != nil {
		return err
	}
	if _, err := Parse("document", text); err != nil {
		return errors.Errorf("check target document: %w", err)
	}
	return nil
}

// checker collects violations of the rules that the schema cannot express.
type checker struct {
	faults []document.Fault
}

func (c *checker) add(message string, path ...any) {
	c.faults = append(c.faults, document.Fault{Path: document.Pointer(path...), Message: message})
}

// check returns the violations of the rules that the schema cannot express.
func check(d *Document) []document.Fault {
	c := &checker{}
	teams := map[unit.TeamID]int{}
	for i, t := range d.Teams {
		checkUnique(c, teams, t.Name, i, "teams")
		if !t.Quota.Valid() {
			c.add("quota is zero; want cores, memory or accelerators", "teams", i, "quota")
		}
	}
	zones := map[unit.ZoneID]int{}
	for i, z := range d.Zones {
		checkUnique(c, zones, z.Name, i, "zones")
	}
	classes := map[unit.ClassID]int{}
	routes := map[string]map[string]unit.ClassID{} // class by prefix and method
	for i := range d.Classes {
		class := &d.Classes[i]
		checkUnique(c, classes, class.Name, i, "classes")
		if _, known := teams[class.Team]; class.Team != "" && !known {
			c.add("unknown team "+strconv.Quote(string(class.Team)), "classes", i, "team")
		}
		c.checkKind(class, i)
		c.checkRoutes(routes, class, i)
	}
	return c.faults
}

// checkUnique reports a name that occurs twice in a list.
func checkUnique[Name ~string](c *checker, seen map[Name]int, name Name, i int, list string) {
	if first, duplicate := seen[name]; duplicate {
		c.add("name "+strconv.Quote(string(name))+" stands twice; first at "+document.Pointer(list, first), list, i, "name")
		return
	}
	seen[name] = i
}

// kindField is a field of a class that applies only to some kinds of work.
type kindField struct {
	path     []any
	set      bool
	kinds    []Kind
	required bool // for those kinds
}

// checkKind reports fields that do not apply to the kind of the class, or that it
// lacks, and a finish target before the start target.
func (c *checker) checkKind(class *Class, i int) {
	t := class.Target
	fields := []kindField{
		{[]any{"service"}, class.Service != "", []Kind{KindRequest}, true},
		{[]any{"routes"}, len(class.Routes) > 0, []Kind{KindRequest}, true},
		{[]any{"team"}, class.Team != "", []Kind{KindBatch, KindStanding}, false},
		{[]any{"target", "percentile"}, t.Percentile != 0, []Kind{KindRequest}, true},
		{[]any{"target", "bound"}, t.Bound != 0, []Kind{KindRequest}, true},
		{[]any{"target", "start"}, t.Start != 0, []Kind{KindBatch}, false},
		{[]any{"target", "finish"}, t.Finish != 0, []Kind{KindBatch}, false},
		{[]any{"target", "replicas"}, t.Replicas != 0, []Kind{KindStanding}, true},
	}
	for _, f := range fields {
		applies := false
		for _, k := range f.kinds {
			applies = applies || k == class.Kind
		}
		path := append([]any{"classes", i}, f.path...)
		switch {
		case f.set && !applies:
			c.add("does not apply to a class of kind "+string(class.Kind), path...)
		case !f.set && applies && f.required:
			c.add("missing in a class of kind "+string(class.Kind), path...)
		}
	}
	if t.Start != 0 && t.Finish != 0 && t.Finish < t.Start {
		c.add("finish "+t.Finish.String()+" is before start "+t.Start.String(), "classes", i, "target", "finish")
	}
}

// checkRoutes reports ambiguous routes: those with the same prefix and the same
// method, or with the same prefix if one of them matches every method.
func (c *checker) checkRoutes(routes map[string]map[string]unit.ClassID, class *Class, i int) {
	for j, r := range class.Routes {
		methods := routes[r.Prefix]
		if methods == nil {
			methods = map[string]unit.ClassID{}
			routes[r.Prefix] = methods
		}
		other, overlaps := methods[r.Method]
		if !overlaps && r.Method != "" {
			other, overlaps = methods[""]
		}
		if !overlaps && r.Method == "" {
			for _, other = range methods {
				overlaps = true
				break
			}
		}
		if overlaps {
			c.add("route overlaps with one of class "+strconv.Quote(string(other)), "classes", i, "routes", j)
			continue
		}
		methods[r.Method] = class.Name
	}
}
