// Package store is a stand-in of the platform's metadata store: keys with revisions, leases,
// transactions and watches, in memory and over HTTP, with the faults that a test sets. It
// owns all that it stores and counts the calls that it gets; it relies on nothing but the
// clock, which is virtual in a bubble of testing/synctest. Only tests import it.
package store

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

// Store is a stand-in of the platform's metadata store.
type Store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64 // history up to this revision is gone
	items     map[string]*record
	events    []record
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed by the next event
	deaf      bool          // watches see no events
	cutting   chan struct{} // closed to cut the watches

	// Down makes the store answer every call with 503.
	Down bool
	// Slow delays every answer.
	Slow time.Duration
	// Refuse holds the IPs of the machines whose calls are answered with 429.
	Refuse map[string]bool
	// LoseWrites makes the store carry writes out without answering them.
	LoseWrites bool
	// ReadsPerSecond limits the reading calls that are served in a second; 0: no limit.
	ReadsPerSecond int
	// Calls counts all calls by path, Limited those that exceeded ReadsPerSecond.
	Calls   map[string]int
	Limited int

	second int64
	reads  int // in the second
}

// record is the value of a key, or an event of a watch.
type record struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New makes an empty store.
func New() *Store {
	return &Store{
		items: map[string]*record{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cutting: make(chan struct{}),
		Refuse: map[string]bool{}, Calls: map[string]int{},
	}
}

// Set runs a change of the exported fields, which calls read concurrently.
func (s *Store) Set(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Write sets a key without a lease, as an operator does.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// Deafen hides all events from the watches until Compact.
func (s *Store) Deafen() { s.Set(func(s *Store) { s.deaf = true }) }

// Compact drops the history of events and closes the connections of all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = false
	s.compacted = s.revision
	s.events = nil
	close(s.cutting)
	s.cutting = make(chan struct{})
}

// CutWatches closes the connections of all watches.
func (s *Store) CutWatches() {
	s.Set(func(s *Store) {
		close(s.cutting)
		s.cutting = make(chan struct{})
	})
}

// put sets a key; mu is held.
func (s *Store) put(key, value string, lease int64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	item := record{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = &item
	s.announce(item)
}

// remove deletes a key; mu is held.
func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.announce(record{Key: key, Revision: s.revision, Gone: true})
}

// announce adds an event to the history and wakes the watches; mu is held.
func (s *Store) announce(event record) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that have run out; mu is held.
func (s *Store) expire() {
	for id, granted := range s.leases {
		if time.Now().After(granted.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys; mu is held.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// EndLeases ends every lease, as a store does that was down for longer than their time.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.Calls[pathOf(r)]++
	slow, down := s.Slow, s.Down
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	refused := s.Refuse[host] || s.tooMany(r)
	s.expire()
	s.mu.Unlock()
	time.Sleep(slow)
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refused:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.URL.Path == "/-/kv-key":
		s.key(w, r)
	case r.URL.Path == "/-/kv-range":
		s.list(w, r)
	case r.URL.Path == "/-/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/-/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		s.keep(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.end(leaseOf(r))
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Keys of Calls for the calls that cost a tenth.
const (
	keeps  = "/-/kv-keep"
	stales = "stale reads"
)

func stale(r *http.Request) bool { return r.URL.Query().Get("stale") == "1" }

// pathOf returns the key of Calls by which a call is counted.
func pathOf(r *http.Request) string {
	switch {
	case stale(r):
		return stales
	case strings.HasPrefix(r.URL.Path, keeps+"/"):
		return keeps
	}
	return r.URL.Path
}

// tooMany counts a reading call and reports whether it exceeds ReadsPerSecond; mu is held.
func (s *Store) tooMany(r *http.Request) bool {
	if r.Method != http.MethodGet || s.ReadsPerSecond == 0 || stale(r) {
		return false
	}
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads = now, 0
	}
	s.reads++
	if s.reads <= s.ReadsPerSecond {
		return false
	}
	s.Limited++
	return true
}

// leaseOf returns the id of the lease at the end of the path; 0, which is no lease, if it is
// malformed.
func leaseOf(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return id
}

// write sends an answer; an error means that the client is gone.
func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("key")]
	if item == nil {
		write(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	write(w, http.StatusOK, struct {
		record
		At int64 `json:"at"`
	}{*item, s.revision})
}

// pageItems is the largest number of items in one answer to a range, as in the platform's store.
const pageItems = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	found := []record{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			found = append(found, *item)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	write(w, http.StatusOK, map[string]any{"items": found, "more": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := s.after(after, query.Get("path_prefix"))
		at, changed, cutting := s.revision, s.changed, s.cutting
		s.mu.Unlock()
		if len(found) > 0 {
			write(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-cutting:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			write(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// after returns the events of keys with a prefix after a revision; mu is held.
func (s *Store) after(revision int64, prefix string) []record {
	found := []record{}
	if s.deaf {
		return found
	}
	for _, event := range s.events {
		if event.Revision > revision && strings.HasPrefix(event.Key, prefix) {
			found = append(found, event)
		}
	}
	return found
}

type txn struct {
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

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var change txn
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []record{}, true
	for _, condition := range change.Conditions {
		revision := int64(0)
		if item := s.items[condition.Key]; item != nil {
			revision = item.Revision
			found = append(found, *item)
		}
		holds = holds && revision == condition.Revision
	}
	if !holds {
		write(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, put := range change.Put {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range change.Put {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	if s.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	write(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(asked.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	write(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_time": asked.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewed := s.leases[leaseOf(r)]
	if renewed == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	renewed.expires = time.Now().Add(renewed.ttl)
	write(w, http.StatusOK, map[string]any{"ttl_time": renewed.ttl.String()})
}

// Count returns the number of keys with a prefix.
func (s *Store) Count(prefix string) (count int) {
	s.Set(func(s *Store) {
		for key := range s.items {
			if strings.HasPrefix(key, prefix) {
				count++
			}
		}
	})
	return count
}

// Revoke removes keys without ending their leases, so that those who wrote them get no error.
func (s *Store) Revoke(keys []string) {
	s.Set(func(s *Store) {
		for _, key := range keys {
			s.remove(key)
		}
	})
}

// Cost sums up Calls: a renewal and a stale read count as a tenth of a call.
func (s *Store) Cost() (calls float64) {
	s.Set(func(s *Store) {
		for path, count := range s.Calls {
			weight := 1.0
			if path == keeps || path == stales {
				weight = 0.1
			}
			calls += weight * float64(count)
		}
	})
	return calls
}

// ExtendLeases lengthens all leases, as a store does that counts no time while it is down.
func (s *Store) ExtendLeases(span time.Duration) {
	s.Set(func(s *Store) {
		for _, granted := range s.leases {
			granted.expires = granted.expires.Add(span)
		}
	})
}

// Writes returns the number of transactions that were called for.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Calls["/-/kv-txn"]
}
