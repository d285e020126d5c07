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
	mutex     sync.Mutex
	revision  int64
	compacted int64 // history up to here is gone
	items     map[string]*record
	events    []record
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	deaf      bool
	cutting   chan struct{} // closed to cut the watches

	// Down has every call answered 503.
	Down bool
	// Slow is added to every answer.
	Slow time.Duration
	// Refuse has the calls of some machines answered 429, by their IP.
	Refuse map[string]bool
	// LoseWrites has writes done and not answered.
	LoseWrites bool
	// ReadsPerSecond is how many reading calls are served in a second; 0: any.
	ReadsPerSecond int
	// Calls counts the calls by path, Limited those that were too many.
	Calls   map[string]int
	Limited int

	second int64
	reads  int // in the second
}

type record struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// New makes an empty store.
func New() *Store {
	return &Store{
		items: map[string]*record{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cutting: make(chan struct{}),
		Refuse: map[string]bool{}, Calls: map[string]int{},
	}
}

// Set changes the store's faults.
func (s *Store) Set(change func(s *Store)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// Write puts a key, as the operator does.
func (s *Store) Write(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// Deafen has the watches hear nothing until Compact.
func (s *Store) Deafen() { s.Set(func(s *Store) { s.deaf = true }) }

// Compact drops the history and cuts the watches.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaf = false
	s.compacted = s.revision
	s.events = nil
	close(s.cutting)
	s.cutting = make(chan struct{})
}

// CutWatches cuts the watches.
func (s *Store) CutWatches() {
	s.Set(func(s *Store) {
		close(s.cutting)
		s.cutting = make(chan struct{})
	})
}

// put writes a key; the mutex is held.
func (s *Store) put(key, value string, lease int64) {
	s.revision++
	made := s.revision
	if old := s.items[key]; old != nil {
		made = old.Made
	}
	one := record{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = &one
	s.announce(one)
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.announce(record{Key: key, Revision: s.revision, Gone: true})
}

func (s *Store) announce(event record) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that have run out; the mutex is held.
func (s *Store) expire() {
	for id, one := range s.leases {
		if time.Now().After(one.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// EndLeases ends every lease, as a store does that was down for long.
func (s *Store) EndLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.Calls[pathOf(r)]++
	slow, down := s.Slow, s.Down
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	refused := s.Refuse[host] || s.tooMany(r)
	s.expire()
	s.mutex.Unlock()
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
		s.mutex.Lock()
		s.end(leaseOf(r))
		s.mutex.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Paths by which calls are counted that cost a tenth.
const (
	keeps  = "/-/kv-keep"
	stales = "stale reads"
)

func stale(r *http.Request) bool { return r.URL.Query().Get("stale") == "1" }

// pathOf gives the path by which a call is counted.
func pathOf(r *http.Request) string {
	switch {
	case stale(r):
		return stales
	case strings.HasPrefix(r.URL.Path, keeps+"/"):
		return keeps
	}
	return r.URL.Path
}

// tooMany counts a reading call against the limit; the mutex is held.
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

func leaseOf(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return id
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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

const pageItems = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
		s.mutex.Lock()
		if after < s.compacted {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := s.after(after, query.Get("path_prefix"))
		at, changed, cutting := s.revision, s.changed, s.cutting
		s.mutex.Unlock()
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

// after gives the events after a revision; the mutex is held.
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
	for _, one := range change.Put {
		if one.Lease != 0 && s.leases[one.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, one := range change.Put {
		s.put(one.Key, one.Value, one.Lease)
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	write(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_time": asked.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	one := s.leases[leaseOf(r)]
	if one == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	one.until = time.Now().Add(one.ttl)
	write(w, http.StatusOK, map[string]any{"ttl_time": one.ttl.String()})
}

// Count gives the number of keys with a prefix.
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

// Revoke removes keys; no call of those that wrote them shows it.
func (s *Store) Revoke(keys []string) {
	s.Set(func(s *Store) {
		for _, key := range keys {
			s.remove(key)
		}
	})
}

// Cost sums up the calls that the store got since the counts were cleared, at their
// prices: a renewal and a stale read cost a tenth.
func (s *Store) Cost() (calls float64) {
	s.Set(func(s *Store) {
		for path, count := range s.Calls {
			price := 1.0
			if path == keeps || path == stales {
				price = 0.1
			}
			calls += price * float64(count)
		}
	})
	return calls
}

// ExtendLeases has the leases last longer, as a store does that counts no time while it is away.
func (s *Store) ExtendLeases(span time.Duration) {
	s.Set(func(s *Store) {
		for _, one := range s.leases {
			one.until = one.until.Add(span)
		}
	})
}

// Writes gives the number of writing calls.
func (s *Store) Writes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Calls["/-/kv-txn"]
}
