package api

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/platform/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// Fault is the body of an answer that is not a success.
type Fault struct {
	Code    string           `json:"code"`
	Message string           `json:"message"`
	Next    string           `json:"next"` // what the operator can do
	Faults  []document.Fault `json:"faults,omitempty"`
	status  int
}

// Faults that need no further text.
var (
	faultPath   = Fault{Code: "path", Message: "no such path", Next: "check the path; docs/api.md lists them", status: http.StatusNotFound}
	faultMethod = Fault{Code: "method", Message: "method not allowed here", Next: "check the method; docs/api.md lists them", status: http.StatusMethodNotAllowed}
	faultAccess = Fault{Code: "access", Message: "no valid bearer token or client certificate", Next: "send the header Authorization: Bearer <token>", status: http.StatusUnauthorized}
	faultRole   = Fault{Code: "role", Message: "a reader may not change anything", Next: "use a token with the role operator", status: http.StatusForbidden}
	faultRate   = Fault{Code: "rate", Message: "too many calls", Next: "wait a second and repeat the call", status: http.StatusTooManyRequests}
	faultBase   = Fault{Code: "base", Message: `header If-Match with the base revision, such as "7", is missing or malformed`,
		Next: "read the target, edit that revision and send its number", status: http.StatusPreconditionRequired}
	faultSize = Fault{Code: "size", Message: "body too large", Next: "send a smaller body", status: http.StatusRequestEntityTooLarge}
)

// faultOf returns the answer to an error of a service.
func faultOf(err error) Fault {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return faultSize
	}
	f := Fault{Message: err.Error()}
	switch {
	case errors.Is(err, change.ErrZone), errors.Is(err, store.ErrNotFound):
		f.Code, f.status, f.Next = "missing", http.StatusNotFound, "list what there is"
	case errors.Is(err, store.ErrUnknown):
		f.Code, f.status, f.Next = "unknown", http.StatusGatewayTimeout, "the call may have taken effect; repeat it with the same id"
	case errors.Is(err, store.ErrUnavailable):
		f.Code, f.status, f.Next = "store", http.StatusServiceUnavailable, "the call had no effect; repeat it when the store is back"
	default:
		f.Code, f.status, f.Next = "rejected", http.StatusUnprocessableEntity, "correct the request and repeat it"
	}
	if faults, ok := errors.Into[*document.Faults](err); ok {
		f.Code, f.Faults, f.Next = "document", faults.Faults, "correct all faults and repeat the call"
	}
	return f
}

func fail(w http.ResponseWriter, f Fault) {
	respond(w, f.status, struct {
		Error Fault `json:"error"`
	}{f})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the operator may have gone
}
