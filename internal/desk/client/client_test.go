package client

import (
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
)

// TestApply guards against a repetition under another operation id, which could
// take effect twice, and against outcomes that are reported as errors and errors
// that are reported as outcomes.
func TestApply(t *testing.T) {
	tests := []struct {
		name         string
		firstStatus  int // 0 closes the connection without an answer
		secondStatus int // 0 closes the connection without an answer
		body         any
		outcome      change.Outcome
		faultCode    string
		wantErr      bool
		calls        int
	}{
		{"accepted", 200, 0, answer.Change{Result: change.Result{Outcome: change.Accepted}}, change.Accepted, "", false, 1},
		{"pending", 202, 0, answer.Change{Result: change.Result{Outcome: change.Pending}, Error: &answer.Fault{Code: "pending"}}, change.Pending, "", false, 1},
		{"conflict", 412, 0, answer.Change{Result: change.Result{Outcome: change.Conflict}, Error: &answer.Fault{Code: "conflict"}}, change.Conflict, "", false, 1},
		{"fault", 422, 0, answer.ErrorBody{Error: &answer.Fault{Code: "document"}}, "", "document", true, 1},
		{"answer lost at the first entry", 0, 200, answer.Change{Result: change.Result{Outcome: change.Accepted}}, change.Accepted, "", false, 2},
		{"answer lost at both", 0, 0, nil, "", "", true, 2},
		{"errors without a fault in the body", 500, 500, "x", "", "", true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			operations := map[string]int{}
			serve := func(status int) *httptest.Server {
				return httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					operations[r.Header.Get(answer.OperationHeader)]++
					if r.Header.Get("If-Match") != `"7"` || r.Header.Get("Authorization") != "Bearer secret" {
						t.Errorf("headers %v", r.Header)
					}
					if status == 0 {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(status)
					_ = json.NewEncoder(w).Encode(tt.body) // an answer that is not delivered fails the checks below
				}))
			}
			a, b := serve(tt.firstStatus), serve(tt.secondStatus)
			defer a.Close()
			defer b.Close()
			c, err := New(Options{
				Addresses: []string{a.Listener.Addr().String(), b.Listener.Addr().String()},
				Authority: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.Certificate().Raw}),
				Token:     "secret",
			})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			result, err := c.Apply(t.Context(), 7, "", []byte("{}"))
			if result.Outcome != tt.outcome || (err != nil) != tt.wantErr {
				t.Errorf("Apply = %q, %v; want %q", result.Outcome, err, tt.outcome)
			}
			fault, _ := errors.Into[*answer.Fault](err)
			if tt.faultCode != "" && (fault == nil || fault.Code != tt.faultCode) {
				t.Errorf("fault %v, want code %s", fault, tt.faultCode)
			}
			want := map[string]int{string(result.Operation): tt.calls}
			if diff := cmp.Diff(want, operations); diff != "" || result.Operation == unit.OperationID("") {
				t.Errorf("calls by operation id (-want +got):\n%s", diff)
			}
		})
	}
}
