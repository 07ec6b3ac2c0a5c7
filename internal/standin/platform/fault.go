package platform

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Fault is the body of POST /fault. It replaces the faults in force; the zero
// value heals all of them. Leases run on during every fault.
type Fault struct {
	// Outage makes every call end at once with status 503 and without effect.
	Outage bool `json:"outage,omitempty"`
	// Silent makes every call stay without effect and without an answer.
	Silent bool `json:"silent,omitempty"`
	// Delay passes before a call takes effect, also if its caller has gone.
	Delay unit.Duration `json:"delay,omitempty"`
	// Slow passes after a call has taken effect and before it is answered.
	Slow unit.Duration `json:"slow,omitempty"`
	// Lose is how many of the next writes take effect without an answer.
	Lose int `json:"lose,omitempty"`
	// LosePart is the part of the writes, from 0 to 1, whose answer is lost.
	LosePart float64 `json:"losepart,omitempty"`
}

// Calls counts the calls that reached the service, with those that a fault
// stopped.
type Calls struct {
	Total   int            `json:"total"`
	Methods map[string]int `json:"methods"` // by name of the method
	Parts   map[string]int `json:"parts"`   // by method and first part of the key, as in "put claim"
	Limited int            `json:"limited"` // calls refused for exceeding a rate
}

// method is one method of the service as the caller of a fault sees it.
type method struct {
	name  string
	write bool
}

// validate reports every fault of the request.
func (f Fault) validate() error {
	var faults []error
	if f.Delay < 0 {
		faults = append(faults, errors.New("delay: want 0 or more"))
	}
	if f.Slow < 0 {
		faults = append(faults, errors.New("slow: want 0 or more"))
	}
	if f.Lose < 0 {
		faults = append(faults, errors.New("lose: want 0 or more"))
	}
	if !(f.LosePart >= 0 && f.LosePart <= 1) {
		faults = append(faults, errors.New("losepart: want 0 to 1"))
	}
	return errors.Join(faults...)
}

// Inject puts faults into force in place of the earlier ones.
func (s *Server) Inject(f Fault) error {
	if err := f.validate(); err != nil {
		return errors.Errorf("check fault: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake() // a waiting watch meets the fault too
	return nil
}

// Calls returns how many calls have reached the service since it started.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls
	c.Methods, c.Parts = maps.Clone(c.Methods), maps.Clone(c.Parts)
	return c
}

// meet wraps the handler of a method so that it meets the faults in force.
func (s *Server) meet(m method, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The body is read first: a call whose caller goes away during a delay
		// still takes effect, as it would in a network.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
		if err != nil {
			return // the call did not arrive whole
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f, limited := s.arrive(m, r)
		switch {
		case f.Silent:
			s.hold(r)
		case f.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case limited:
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		s.pause(f.Delay.Std())
		if m.write && s.loseAnswer() {
			handle(&heldResponse{header: http.Header{}}, r)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		if f.Slow <= 0 {
			handle(w, r)
			return
		}
		late := &heldResponse{header: w.Header(), body: &bytes.Buffer{}}
		handle(late, r)
		s.pause(f.Slow.Std())
		if late.status != 0 {
			w.WriteHeader(late.status)
		}
		_, _ = w.Write(late.body.Bytes()) // the caller may have gone
	}
}

// arrive counts a call and returns the faults that it meets.
func (s *Server) arrive(m method, r *http.Request) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Total++
	s.calls.Methods[m.name]++
	key := string(recordKey(r))
	if prefix := r.URL.Query().Get("prefix"); prefix != "" {
		key = prefix
	}
	if part, _, _ := strings.Cut(key, "/"); part != "" {
		s.calls.Parts[m.name+" "+part]++
	}
	rate := s.reads
	if m.write {
		rate = s.writes
	}
	limited := rate != nil && !rate.Allow()
	if limited {
		s.calls.Limited++
	}
	return s.fault, limited
}

// loseAnswer reports whether the answer of this write is to be lost.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Lose > 0 {
		s.fault.Lose--
		return true
	}
	return s.fault.LosePart > 0 && s.random.Float64() < s.fault.LosePart
}

// hold keeps a call without an answer until its caller goes or the server stops.
func (s *Server) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stop:
	}
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

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	respond(w, s.Calls(), nil)
}

func (s *Server) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	var l store.Listing
	if !readBody(w, r, &l) {
		return
	}
	if err := s.SetInstances(l.Instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// heldResponse is a response that is kept back: dropped if it has no body, or sent
// later.
type heldResponse struct {
	header http.Header
	status int
	body   *bytes.Buffer
}

// Header implements http.ResponseWriter.
func (d *heldResponse) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *heldResponse) WriteHeader(status int) { d.status = status }

// Write implements http.ResponseWriter.
func (d *heldResponse) Write(data []byte) (int, error) {
	if d.body == nil {
		return len(data), nil
	}
	return d.body.Write(data)
}
