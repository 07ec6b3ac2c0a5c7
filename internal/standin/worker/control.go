package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	protocol "github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// maxBody bounds the body of a call. A batch of 1,000 orders is about 400 KB.
const maxBody = 4 << 20

func (s *Server) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/orders", s.handleOrders)
	r.Post("/v1/heartbeat", s.handleHeartbeat)
	r.Post("/fault", s.handleFault)
	r.Get("/audit", s.handleAudit)
	return r
}

func (s *Server) handleOrders(w http.ResponseWriter, r *http.Request) {
	var batch protocol.OrderBatch
	if !readBody(w, r, &batch) || !checkFence(w, batch.Fence) {
		return
	}
	awaitHang(r, s.stop)
	s.mu.Lock()
	for _, o := range batch.Orders {
		if o.Action == protocol.ActionStart {
			s.audit.LastStart = time.Now()
		}
	}
	reply, highest, ok := s.runner.orders(s.now(), batch)
	lost := s.loseAnswer()
	s.mu.Unlock()
	s.answer(w, r, reply, highest, ok, lost)
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var beat protocol.Heartbeat
	if !readBody(w, r, &beat) || !checkFence(w, beat.Fence) {
		return
	}
	awaitHang(r, s.stop)
	s.mu.Lock()
	report, highest, ok := s.runner.heartbeat(s.now(), beat)
	lost := s.loseAnswer()
	s.mu.Unlock()
	s.answer(w, r, report, highest, ok, lost)
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readBody(w, r, &f) {
		return
	}
	if err := s.Inject(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) handleAudit(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, http.StatusOK, s.Audit())
}

// loseAnswer reports whether the answer of this call is to be lost. The caller
// holds the lock.
func (s *Server) loseAnswer() bool {
	if s.fault.Lose == 0 {
		return false
	}
	s.fault.Lose--
	return true
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body any, highest unit.Epoch, ok, lost bool) {
	awaitHang(r, s.stop)
	switch {
	case lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case !ok:
		writeBody(w, http.StatusConflict, protocol.StaleEpoch{Epoch: highest})
	default:
		writeBody(w, http.StatusOK, body)
	}
}

// checkFence refuses a call without a fencing token.
func checkFence(w http.ResponseWriter, f protocol.Fence) bool {
	if _, err := unit.ParseShardID(f.Shard); err != nil {
		http.Error(w, errors.Errorf("fence: %w", err).Error(), http.StatusBadRequest)
		return false
	}
	if f.Epoch == 0 {
		http.Error(w, "fence: epoch: want at least 1", http.StatusBadRequest)
		return false
	}
	return true
}

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(body)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, errors.Errorf("decode body: %w", err).Error(), status)
	return false
}

func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
