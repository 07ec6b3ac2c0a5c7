package document

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/go-faster/errors"
)

var testSchema = MustCompile("test.json", []byte(`{
	"type": "object", "additionalProperties": false, "required": ["zone"],
	"properties": {
		"zone": {"type": "string", "minLength": 1},
		"drain": {"type": "string", "format": "span"},
		"listen": {"type": "object", "additionalProperties": false,
			"properties": {"callers": {"type": "string", "format": "address"}}}
	}}`))

// TestFaults guards against faults without a position, and against a decoder that
// stops at the first fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		data string
		want string
	}{
		{"valid", `{"zone": "guj-morbi", "drain": "2s"}`, ""},
		{"missing field", "{\n}", "f:1:1: document: missing property 'zone'"},
		{"unknown field", "{\"zone\": \"z\",\n  \"zoom\": 1}", "f:2:3: /zoom: unknown field"},
		{"wrong type", `{"zone": 7}`, "f:1:2: /zone: got number, want string"},
		{"duplicate", `{"zone": "a", "zone": "b"}`, "f:1:15: /zone: field stands twice"},
		{"syntax", "{\"zone\": \n}", "f:2:1: document: invalid character '}' looking for beginning of value"},
		{"cut", `{"zone": "a"`, "f:1:13: document: unexpected EOF"},
		{"text after the document", `{"zone": "a"} x`, "f:1:15: document: text after the end of the document"},
		{
			"all faults at once", "{\"drain\": \"-1s\",\n\"listen\": {\"callers\": \"host:1\"},\n\"zone\": \"\"}",
			"f:1:2: /drain: '-1s' is not valid span: want a positive duration\n" +
				"f:2:12: /listen/callers: 'host:1' is not valid address: want an IP and port such as 10.0.0.1:8080\n" +
				"f:3:1: /zone: minLength: got 0, want 1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var target struct{ Zone, Drain string }
			_, err := Decode("f", []byte(tt.data), testSchema, &target)
			got := ""
			if faults, ok := errors.Into[*Faults](err); ok {
				got = faults.Error()
			} else if err != nil {
				t.Fatalf("error of another type: %v", err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzDecode guards against a document that makes Decode panic, and against faults
// without a position.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"zone": "a", "listen": {"callers": "10.0.0.1:1"}}`))
	f.Add([]byte(`[[[{"":[]}]]]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var target any
		_, err := Decode("f", data, testSchema, &target)
		if faults, ok := errors.Into[*Faults](err); ok {
			for _, x := range faults.Faults {
				if x.Line < 1 || x.Column < 1 {
					t.Errorf("fault without a position: %+v", x)
				}
			}
		}
	})
}
