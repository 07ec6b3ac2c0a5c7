package worker

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Headers of the upstream.
const (
	headerRequest = "Monsoonfold-Request" // echoed
	headerOutcome = "Monsoonfold-Outcome" // not-run: the request has not run here
	headerState   = "Monsoonfold-State"   // draining: send no more work
)

// maxRequest bounds the body of a request that is read; the rest closes the
// connection.
const maxRequest = 1 << 20

// visit is one request that holds a slot, with what was drawn for it.
type visit struct {
	response Response
	takes    time.Duration
	truncate bool
	fill     unit.Bytes
	draining bool
}

// serve answers any path.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// The body is read first so that the server notices when the peer closes.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRequest))
	awaitHang(r, s.stop)
	v, ok := s.enter(r)
	if v.draining {
		w.Header().Set(headerState, "draining")
	}
	if !ok {
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		w.Header().Set(headerOutcome, "not-run")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	// An abandoned request keeps its slot to the end, as a service that does not
	// watch its connection would.
	time.Sleep(v.takes)
	s.leave()
	awaitHang(r, s.stop)
	v.write(w, r)
}

// enter takes a slot and draws the service time and the faults of the response.
// It reports false if no slot is free; then the request has not run.
func (s *Server) enter(r *http.Request) (visit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.audit.LastRequest = time.Now()
	s.audit.Slots = max(s.audit.Slots, s.busy+1)
	if s.busy >= s.settings.Slots {
		s.audit.Refused++
		return visit{draining: s.fault.Draining}, false
	}
	s.busy++
	s.runner.setServing(now, s.busy)
	s.audit.Requests++
	s.count(s.audit.Keys, r.Header.Get("Idempotency-Key"))
	check := r.URL.Query().Get(CheckParameter)
	s.count(s.audit.Checks, check)

	id := unit.RequestID(r.Header.Get(headerRequest))
	v := visit{
		response: Response{Worker: s.settings.Name, Request: id, Check: check},
		takes:    serviceTime(s.settings, s.random.NormFloat64(), s.runner.inflation(now)) + s.fault.Delay.Std(),
		truncate: s.random.Float64() < s.fault.Truncate,
		draining: s.fault.Draining,
	}
	if s.random.Float64() < s.fault.Oversize {
		v.fill = s.fault.Fill
	}
	if s.random.Float64() < s.fault.Mismatch {
		v.response.Request = s.last
		v.response.Check = "mismatch"
		if s.last == "" || s.last == id {
			v.response.Request = id + "-mismatch"
		}
	}
	s.last = id
	return v, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.runner.setServing(s.now(), s.busy)
}

// count adds a run to counts unless the id is empty. The caller holds the lock.
func (s *Server) count(counts map[string]int, id string) {
	if id == "" {
		return
	}
	if _, known := counts[id]; !known && len(counts) >= ledgerLength {
		s.audit.Dropped++
		return
	}
	counts[id]++
}

// write sends the response. A truncated one announces its whole length and ends
// in the middle.
func (v visit) write(w http.ResponseWriter, r *http.Request) {
	body := []byte(string(v.response.Worker) + " " + r.URL.EscapedPath() + "\n")
	if r.URL.Query().Has(CheckParameter) || v.fill > 0 {
		body = v.response.encode(r.URL.EscapedPath(), int(v.fill))
	}
	w.Header().Set(headerRequest, string(v.response.Request))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !v.truncate {
		_, _ = w.Write(body) // the caller may have gone
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// serviceTime returns how long a request takes, given a draw from the standard
// normal distribution and the factor of interference.
func serviceTime(s Settings, normal, inflation float64) time.Duration {
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*normal) * inflation)
}
