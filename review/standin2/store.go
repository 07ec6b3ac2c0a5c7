package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event about one, on the wire.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// txn is the body of a transaction.
type txn struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected-rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// writes reports whether the transaction writes the key.
func (t *txn) writes(key string) bool {
	for _, p := range t.Puts {
		if p.Key == key {
			return true
		}
	}
	return false
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// itemsPerPage bounds the items of one page of a list.
const itemsPerPage = 500

// store is the platform's key-value store in memory.
type store struct {
	address string
	latency time.Duration // until an answer

	mu        sync.Mutex
	rev       int64
	items     map[string]item
	events    []item
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
	writes    int // transactions received
	// late returns how late a transaction is executed, which then gets no answer, or 0 for one
	// that is executed at once and answered. It is called with the lock held and may be nil.
	late func(t *txn) time.Duration
}

func newStore(latency time.Duration) (*store, error) {
	s := &store{latency: latency, rev: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.revoke)
	address, err := serve(mux)
	s.address = address
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s, err
}

// serve serves HTTP at a free port of the loopback address and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

// put writes an item without a lease, as an operator or a worker does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are made of plain types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, text, 0)
}

// remove removes an item, as a worker or an operator does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
}

// value returns the value of an item, or nothing.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// write, drop and expire are called with the lock held.
func (s *store) write(key string, value []byte, id int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: id}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.notify(i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.notify(item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *store) notify(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.deadline) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.rev++
			s.drop(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AtRev int64 `json:"at-rev"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	q, items, more := r.URL.Query(), []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if more = len(items) == itemsPerPage; more {
			break
		}
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "at-rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)  // entries send numbers
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64) // entries send numbers
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, rev int64) int { return int(e.Rev - rev) })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "at-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.latency)
	if delay := s.lateness(&t); delay > 0 {
		time.AfterFunc(delay, func() { s.apply(&t) })
		<-r.Context().Done() // the connection returns nothing further
		return
	}
	status, body := s.apply(&t)
	reply(w, status, body)
}

// lateness counts a transaction and returns how late it is executed.
func (s *store) lateness(t *txn) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.late == nil {
		return 0
	}
	return s.late(t)
}

// apply applies a transaction and returns the answer.
func (s *store) apply(t *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	holds, present := true, []item{}
	for _, e := range t.Expected {
		i := s.items[e.Key]
		holds = holds && i.Rev == e.Rev
		i.Key = e.Key
		present = append(present, i)
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": present}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, deadline: time.Now().Add(ttl)}
	reply(w, http.StatusOK, leaseBody{Lease: s.lastLease, TTL: body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.deadline = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
