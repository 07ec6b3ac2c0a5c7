package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const valid = `{
  "name": "entry-1", "zone": "guj-morbi", "drain": "5s",
  "listen": {"callers": "10.0.0.1:8080", "peers": "10.0.0.1:7443",
             "operators": "10.0.0.1:8443", "metrics": "127.0.0.1:9090"},
  "store": "10.0.0.9:2379",
  "keys": {"certificate": "entry.pem", "key": "entry.key", "authority": "ca.pem"},
  "tokens": "tokens.json"
}`

// TestParse guards against accepting settings that an entry cannot run with, and
// against reporting faults one at a time.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		old  string // text of the valid settings that new replaces
		new  string
		want string
	}{
		{"valid", "", "", ""},
		{"unknown field", `"store"`, `"stroe"`, "f:1:1: document: missing property 'store'\nf:5:3: /stroe: unknown field"},
		{"wrong type", `"10.0.0.9:2379"`, `2379`, "f:5:3: /store: got number, want string"},
		{"missing zone", `"zone": "guj-morbi",`, ``, "f:1:1: document: missing property 'zone'"},
		{"address without port", `"10.0.0.1:8080"`, `"10.0.0.1"`, "f:3:14: /listen/callers: '10.0.0.1' is not valid address: want an IP and port such as 10.0.0.1:8080"},
		{"address twice", `"10.0.0.1:8443"`, `"10.0.0.1:8080"`, "f:4:14: /listen/operators: same address as /listen/callers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data := strings.Replace(valid, tt.old, tt.new, 1)
			_, err := parse("f", []byte(data))
			got := ""
			if err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}
