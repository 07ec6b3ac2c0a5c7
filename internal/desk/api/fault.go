package api

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/entry/limiter"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// fault is an error response with its HTTP status.
type fault struct {
	answer.Fault
	status int
}

func newFault(status int, code, message, nextStep string) fault {
	return fault{answer.Fault{Code: code, Message: message, NextStep: nextStep}, status}
}

// Faults whose text doesn't depend on the request.
var (
	faultPath = newFault(http.StatusNotFound, "path",
		"no such path", "check the path; docs/api.md lists them")
	faultMethod = newFault(http.StatusMethodNotAllowed, "method",
		"method not allowed here", "check the method; docs/api.md lists them")
	faultAccess = newFault(http.StatusUnauthorized, "access",
		"no valid bearer token or client certificate", "send the header Authorization: Bearer <token>")
	faultRole = newFault(http.StatusForbidden, "role",
		"a reader may not change anything", "use a token with the role operator")
	faultRate = newFault(http.StatusTooManyRequests, "rate",
		"too many calls", "wait a second and repeat the call")
	faultBase = newFault(http.StatusPreconditionRequired, "base",
		`header If-Match with the base revision, such as "7", is missing or malformed`,
		"read the target, edit that revision and send its number")
	faultSize = newFault(http.StatusRequestEntityTooLarge, "size",
		"body too large", "send a smaller body")
	faultPace = newFault(http.StatusRequestTimeout, "pace",
		"body too slow", "send it faster")
	faultMemory = newFault(http.StatusServiceUnavailable, "memory",
		"no memory for the body", "the call had no effect; repeat it later")
)

// faultFromError returns the response to an error of a service.
func faultFromError(err error) fault {
	if faults, ok := errors.Into[*document.Faults](err); ok {
		f := newFault(http.StatusUnprocessableEntity, "document", err.Error(), "correct all faults and repeat the call")
		f.Faults = faults.Faults
		return f
	}
	switch {
	case errors.Is(err, limiter.ErrTooLarge):
		return faultSize
	case errors.Is(err, limiter.ErrSlow):
		return faultPace
	case errors.Is(err, limiter.ErrShort):
		return faultMemory
	case errors.Is(err, change.ErrUnknownZone), errors.Is(err, store.ErrNotFound):
		return newFault(http.StatusNotFound, "missing", err.Error(), "list what there is")
	case errors.Is(err, store.ErrUnknown):
		return newFault(http.StatusGatewayTimeout, "unknown", err.Error(),
			"the call may have taken effect; repeat it with the same id")
	case errors.Is(err, store.ErrUnavailable):
		return newFault(http.StatusServiceUnavailable, "store", err.Error(),
			"the call had no effect; repeat it when the store is back")
	default:
		return newFault(http.StatusUnprocessableEntity, "rejected", err.Error(), "correct the request and repeat it")
	}
}

func respondFault(w http.ResponseWriter, f fault) {
	respond(w, f.status, answer.ErrorBody{Error: &f.Fault})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the operator has disconnected
}
