package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's metadata store, by the page PROTOCOL.md.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]*item
	events    []item
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	down      bool
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func NewStore() *Store {
	s := &Store{items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go s.expire()
	return s
}

// expire ends the leases that were not renewed in time.
func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if s.down { // leases wait while the store is down
				l.ends = l.ends.Add(50 * time.Millisecond)
			}
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) record(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key, value string, lease int64) {
	s.revision++
	made := s.revision
	if old := s.items[key]; old != nil {
		made = old.Made
	}
	written := item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = &written
	s.record(written)
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Gone: true})
}

// Write writes a key as the operator does.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// SetDown makes the store answer 503 to every call; waiting watches are cut when it begins.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/-/kv-key":
		s.get(w, r)
	case r.Method == http.MethodGet && path == "/-/kv-range":
		s.list(w, r)
	case r.Method == http.MethodGet && path == "/-/kv-watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && path == "/-/kv-txn":
		s.transact(w, r)
	case r.Method == http.MethodPost && path == "/-/kv-lease":
		s.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "/-/kv-lease-end/"))
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.items[r.URL.Query().Get("key")]
	if found == nil {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{*found, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, *held)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": found, "more": false, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("path_prefix")) {
				found = append(found, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
			if s.isDown() {
				panic(http.ErrAbortHandler)
			}
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"if_revision"`
		Put []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, condition := range call.Conditions {
		held := item{Key: condition.Key}
		if found := s.items[condition.Key]; found != nil {
			held = *found
		}
		failed = failed || held.Revision != condition.Revision
		current = append(current, held)
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range call.Put {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range call.Put {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	ttl, err := time.ParseDuration(call.TTL)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl = min(max(ttl, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_time": strconv.FormatInt(ttl.Milliseconds(), 10) + "ms"})
}

func (s *Store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	held.ends = time.Now().Add(held.ttl)
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
