package api

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

func (s *Service) handleTarget(w http.ResponseWriter, _ *http.Request) {
	r := s.config.Current()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(r.Number), 10)))
	respond(w, http.StatusOK, r)
}

func (s *Service) handlePutTarget(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		respondFault(w, faultBase)
		return
	}
	text, release, err := s.limiter.ReadBody(w, r, spec.MaxSize)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	defer release()
	document, err := spec.Parse("body", text)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	c := change.Change{
		Base:      unit.Revision(base),
		Author:    requestOperator(r).Name,
		Operation: requestOperation(r),
		Document:  document,
	}
	result, err := s.config.Apply(r.Context(), c)
	s.respondChange(w, r, c.Operation, result, err)
}

func (s *Service) handleZone(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operation := requestOperation(r)
		zone := unit.ZoneID(chi.URLParam(r, "zone"))
		result, err := s.config.SetZone(r.Context(), zone, out, requestOperator(r).Name, operation)
		s.respondChange(w, r, operation, result, err)
	}
}

func (s *Service) handleZones(w http.ResponseWriter, _ *http.Request) {
	r := s.config.Current()
	respond(w, http.StatusOK, answer.Zones{Revision: r.Number, Zones: r.Document.Zones})
}

func (s *Service) handleHistory(w http.ResponseWriter, r *http.Request) {
	limit, ok := queryNumber(r, "limit", defaultHistoryLimit)
	if !ok {
		respondFault(w, newQueryFault("limit"))
		return
	}
	revisions, err := s.config.History(r.Context(), int(min(limit, maxHistoryLimit)))
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, answer.History{Revisions: revisions})
}

// handleChangeStatus returns the present outcome of an earlier change, such as one
// that was pending or unknown.
func (s *Service) handleChangeStatus(w http.ResponseWriter, r *http.Request) {
	revision, ok := queryNumber(r, "revision", 0)
	if !ok {
		respondFault(w, newQueryFault("revision"))
		return
	}
	base, ok := queryNumber(r, "base", 0)
	if !ok {
		respondFault(w, newQueryFault("base"))
		return
	}
	q := change.Query{
		Revision:  unit.Revision(revision),
		Base:      unit.Revision(base),
		Operation: unit.OperationID(r.URL.Query().Get("operation")),
	}
	if q.Revision == 0 && q.Operation == "" {
		respondFault(w, newQueryFault("revision or operation"))
		return
	}
	result, err := s.config.Status(r.Context(), q)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, result)
}

// respondChange writes the outcome of a change. Only an accepted change gets a
// response without an error; the other outcomes say what to do next.
func (s *Service) respondChange(w http.ResponseWriter, r *http.Request, operation unit.OperationID, result change.Result, err error) {
	w.Header().Set(answer.OperationHeader, string(operation))
	s.log.Info("operator change", "operator", requestOperator(r).Name, "method", r.Method, "path", r.URL.Path,
		"operation", operation, "outcome", result.Outcome, "revision", result.Revision.Number, "error", err)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	body := answer.Change{Result: result, Operation: operation}
	status := http.StatusOK
	switch result.Outcome {
	case change.Accepted:
	case change.Pending:
		status = http.StatusAccepted
		body.Error = &answer.Fault{Code: "pending", Message: "written, and not yet known to be in effect everywhere",
			NextStep: "ask GET /v1/target/status?revision=" + strconv.FormatUint(uint64(result.Revision.Number), 10)}
	case change.Unknown:
		status = http.StatusGatewayTimeout
		body.Error = &answer.Fault{Code: "unknown", Message: "the store's answer was lost; the change may have been written",
			NextStep: "repeat the call with the header " + answer.OperationHeader + ": " + string(operation)}
	case change.Conflict:
		status = http.StatusPreconditionFailed
		body.Error = &answer.Fault{Code: "conflict",
			Message:  "revision " + strconv.FormatUint(uint64(result.Revision.Number), 10) + " by " + string(result.Revision.Author) + " came first",
			NextStep: "compare with that revision and send the change with it as the base"}
	}
	respond(w, status, body)
}

// requestOperation returns the operation id of a request, or a new one if the
// request has none.
func requestOperation(r *http.Request) unit.OperationID {
	if id := r.Header.Get(answer.OperationHeader); id != "" {
		return unit.OperationID(id)
	}
	return unit.OperationID(rand.Text())
}

// queryNumber returns a number from the query string, or absent if the parameter
// is missing. It reports false if the number is malformed.
func queryNumber(r *http.Request, name string, absent uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, true
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return v, err == nil
}

func newQueryFault(name string) fault {
	return newFault(http.StatusBadRequest, "query",
		"query parameter "+name+" is missing or malformed", "correct the parameter and repeat the call")
}
