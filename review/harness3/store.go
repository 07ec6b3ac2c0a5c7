package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or an event of a watch.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It keeps its
// whole history.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]*storeItem
	events    []storeItem
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{} // closed and replaced at each change
	oversized int           // transactions rejected for a value over valueBytes
}

// valueBytes is value-bytes of the settings: the largest value of an item.
const valueBytes = 1 << 20

// rejected returns the number of transactions that were rejected for a value over valueBytes.
func (s *store) rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversized
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, nextLease: 7000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The lock is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.removeKey(key)
		}
	}
}

// removeKey removes a key at the present revision. The lock is held.
func (s *store) removeKey(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.record(storeItem{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) record(e storeItem) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, text, 0)
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[key]; i != nil {
		return i.Value
	}
	return nil
}

// write writes a key at the present revision. The lock is held.
func (s *store) write(key string, value []byte, lease int64) {
	i := s.items[key]
	if i == nil {
		i = &storeItem{Key: key, Created: s.rev}
		s.items[key] = i
	}
	i.Value, i.Rev, i.Lease = value, s.rev, lease
	s.record(*i)
}

type txnBody struct {
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

// commit applies a transaction and returns the status and the body of the response.
func (s *store) commit(t txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	current := []storeItem{}
	for _, e := range t.Expected {
		if i := s.items[e.Key]; i != nil {
			held = held && i.Rev == e.Rev
			current = append(current, *i)
		} else {
			held = held && e.Rev == 0
			current = append(current, storeItem{Key: e.Key})
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if len(p.Value) > valueBytes {
			s.oversized++
			return http.StatusBadRequest, map[string]any{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeKey(key)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *store) keyAnswer(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[key]
	if i == nil {
		return http.StatusNotFound, map[string]any{"at-rev": s.rev}
	}
	return http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "at-rev": s.rev}
}

// pageItems and pageBytes bound a page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) rangeAnswer(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []storeItem{}, 0
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			break
		}
		items, size = append(items, *s.items[key]), size+len(s.items[key].Value)
	}
	return http.StatusOK, map[string]any{"items": items, "more-pages": len(items) < len(keys), "at-rev": s.rev}
}

// watchAnswer waits for the events under a prefix after a revision.
func (s *store) watchAnswer(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e storeItem, rev int64) int { return int(e.Rev - rev) })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at-rev": rev}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, "at-rev": rev}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "at-rev": after}
		}
	}
}

func (s *store) leaseAnswer(ttl time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl = min(max(ttl, time.Second), 10*time.Minute)
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl-ms": ttl.Milliseconds()}
}

func (s *store) keepAnswer(id int64, end bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, map[string]any{}
	case end:
		s.endLease(id)
	default:
		l.expiresAt = time.Now().Add(l.ttl)
	}
	return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.answer(r)
	sendJSON(w, status, body)
}

func (s *store) answer(r *http.Request) (int, any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		return s.keyAnswer(query.Get("key"))
	case path == "/-/kv-range":
		return s.rangeAnswer(query.Get("prefix"), query.Get("after"))
	case path == "/-/kv-watch":
		return s.watchAnswer(r, query.Get("prefix"), number(query, "after"), time.Duration(number(query, "wait-ms"))*time.Millisecond)
	case path == "/-/kv-txn":
		var t txnBody
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		return s.commit(t)
	case path == "/-/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		return s.leaseAnswer(time.Duration(body.TTL) * time.Millisecond)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		return s.keepAnswer(lastNumber(path), false)
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		return s.keepAnswer(lastNumber(path), true)
	}
	return http.StatusNotFound, map[string]any{}
}

func number(query url.Values, name string) int64 {
	n, _ := strconv.ParseInt(query.Get(name), 10, 64) // 0 if it is missing
	return n
}

func lastNumber(path string) int64 {
	n, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64) // 0 is no lease
	return n
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // an error means that the other side has left
}
