package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// TestRoutes guards against a request that is assigned the class of another route,
// and with it a wrong target or at-most-once rule.
func TestRoutes(t *testing.T) {
	rs := newRoutes(&spec.Revision{Document: spec.Document{Classes: []spec.Class{
		{Name: "all", Kind: spec.KindRequest, Routes: []spec.Route{{Prefix: "/"}}},
		{Name: "quote", Kind: spec.KindRequest, Routes: []spec.Route{{Prefix: "/quote"}}},
		{Name: "charge", Kind: spec.KindRequest, Routes: []spec.Route{{Prefix: "/quote/charge", Method: "POST", Once: true}}},
		{Name: "batch", Kind: spec.KindBatch, Routes: []spec.Route{{Prefix: "/quote/charge/x"}}},
	}}})
	tests := []struct {
		name   string
		method string
		path   string
		class  unit.ClassID
		once   bool
	}{
		{"exact", "GET", "/quote", "quote", false},
		{"below", "GET", "/quote/1", "quote", false},
		{"not a whole segment", "GET", "/quotes", "all", false},
		{"longest", "POST", "/quote/charge", "charge", true},
		{"dots", "POST", "/x/..//quote/./charge", "charge", true},
		{"trailing slash", "POST", "/quote/charge/", "charge", true},
		{"other method", "GET", "/quote/charge", "quote", false},
		{"batch classes have no routes", "POST", "/quote/charge/x", "charge", true},
		{"root", "GET", "/", "all", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, ok := rs.find(tt.method, tt.path)
			got := []any{r.class.Name, r.Once, ok}
			if diff := cmp.Diff([]any{tt.class, tt.once, true}, got); diff != "" {
				t.Errorf("class, once, found (-want +got):\n%s", diff)
			}
		})
	}
}
