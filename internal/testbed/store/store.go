// Package store is an in-memory fake of the platform's metadata store: versioned keys, leases,
// transactions and watches over HTTP, with fault injection and call counters. It uses the real
// clock or the fake clock of a testing/synctest bubble. Only tests import it.
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

// Store is a fake metadata store. It implements http.Handler.
type Store struct {
	mu           sync.Mutex
	revision     int64
	compacted    int64 // events up to this revision are discarded
	items        map[string]*record
	events       []record
	leases       map[int64]*lease
	nextLease    int64
	changed      chan struct{} // closed on the next event
	eventsHidden bool          // watches return no events
	watchAbort   chan struct{} // closed to abort the open watches

	// Down makes every call fail with 503.
	Down bool
	// Slow delays every response.
	Slow time.Duration
	// RateLimitedIPs holds the client IPs whose calls fail with 429.
	RateLimitedIPs map[string]bool
	// DropTxnResponses makes the store commit transactions and close the connection without a response.
	DropTxnResponses bool
	// ReadsPerSecond limits the read requests served per second; 0 means no limit.
	ReadsPerSecond int
	// Calls counts calls by path; RejectedReads counts reads rejected by ReadsPerSecond.
	Calls         map[string]int
	RejectedReads int

	readWindow int64
	reads      int // reads in the current window
}

// record is a stored item or a watch event.
type record struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items: map[string]*record{}, leases: map[int64]*lease{}, changed: make(chan struct{}), watchAbort: make(chan struct{}),
		RateLimitedIPs: map[string]bool{}, Calls: map[string]int{},
	}
}

// Set calls change with the lock held, so that it can modify the exported fields.
func (s *Store) Set(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Write sets a key without a lease, like an operator's write.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// HideEvents hides all events from watches until Compact is called.
func (s *Store) HideEvents() { s.Set(func(s *Store) { s.eventsHidden = true }) }

// Compact discards the event history and aborts all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsHidden = false
	s.compacted = s.revision
	s.events = nil
	close(s.watchAbort)
	s.watchAbort = make(chan struct{})
}

// AbortWatches aborts the connections of all watches.
func (s *Store) AbortWatches() {
	s.Set(func(s *Store) {
		close(s.watchAbort)
		s.watchAbort = make(chan struct{})
	})
}

// put sets a key. The caller holds mu.
func (s *Store) put(key, value string, lease int64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	item := record{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = &item
	s.appendEvent(item)
}

// remove deletes a key. The caller holds mu.
func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendEvent(record{Key: key, Revision: s.revision, Deleted: true})
}

// appendEvent adds an event to the history and notifies watches. The caller holds mu.
func (s *Store) appendEvent(event record) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends expired leases. The caller holds mu.
func (s *Store) expireLeases() {
	for id, granted := range s.leases {
		if time.Now().After(granted.expires) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// EndLeases ends all leases, as after an outage longer than their TTL.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.Calls[callKey(r)]++
	slow, down := s.Slow, s.Down
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	refused := s.RateLimitedIPs[host] || s.exceedsReadLimit(r)
	s.expireLeases()
	s.mu.Unlock()
	time.Sleep(slow)
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refused:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.URL.Path == "/-/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/-/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/-/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/-/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/-/kv-lease":
		s.serveLeaseGrant(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		s.serveLeaseRenewal(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(leaseID(r))
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Keys of Calls for the calls that Cost weights at a tenth.
const (
	renewalCalls   = "/-/kv-keep"
	staleReadCalls = "stale reads"
)

func isStaleRead(r *http.Request) bool { return r.URL.Query().Get("stale") == "1" }

// callKey returns the key of Calls under which a request is counted.
func callKey(r *http.Request) string {
	switch {
	case isStaleRead(r):
		return staleReadCalls
	case strings.HasPrefix(r.URL.Path, renewalCalls+"/"):
		return renewalCalls
	}
	return r.URL.Path
}

// exceedsReadLimit counts a read request and reports whether it exceeds ReadsPerSecond. The
// caller holds mu.
func (s *Store) exceedsReadLimit(r *http.Request) bool {
	if r.Method != http.MethodGet || s.ReadsPerSecond == 0 || isStaleRead(r) {
		return false
	}
	if now := time.Now().Unix(); now != s.readWindow {
		s.readWindow, s.reads = now, 0
	}
	s.reads++
	if s.reads <= s.ReadsPerSecond {
		return false
	}
	s.RejectedReads++
	return true
}

// leaseID returns the lease ID at the end of the path, or 0, which is never granted, if it is
// malformed.
func leaseID(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return id
}

// writeJSON sends a JSON response. Encoding errors mean that the client has disconnected and
// are ignored.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("key")]
	if item == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		record
		At int64 `json:"at"`
	}{*item, s.revision})
}

// maxRangeItems is the maximum number of items per range response, as in the platform's store.
const maxRangeItems = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
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
	more := len(found) > maxRangeItems
	if more {
		found = found[:maxRangeItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "more": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
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
		found := s.eventsAfter(after, query.Get("path_prefix"))
		at, changed, watchAbort := s.revision, s.changed, s.watchAbort
		s.mu.Unlock()
		if len(found) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-watchAbort:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events after a revision whose keys have the given prefix. The caller
// holds mu.
func (s *Store) eventsAfter(revision int64, prefix string) []record {
	found := []record{}
	if s.eventsHidden {
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

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": found})
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
	if s.DropTxnResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_time": req.TTL})
}

func (s *Store) serveLeaseRenewal(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewed := s.leases[leaseID(r)]
	if renewed == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	renewed.expires = time.Now().Add(renewed.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_time": renewed.ttl.String()})
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

// DeleteKeys deletes keys without ending their leases, so that the lease holders see no error.
func (s *Store) DeleteKeys(keys []string) {
	s.Set(func(s *Store) {
		for _, key := range keys {
			s.remove(key)
		}
	})
}

// Cost returns the weighted number of calls: a lease renewal or stale read counts as a tenth.
func (s *Store) Cost() (calls float64) {
	s.Set(func(s *Store) {
		for path, count := range s.Calls {
			weight := 1.0
			if path == renewalCalls || path == staleReadCalls {
				weight = 0.1
			}
			calls += weight * float64(count)
		}
	})
	return calls
}

// ExtendLeases extends all leases, as a store does whose lease timers pause during an outage.
func (s *Store) ExtendLeases(span time.Duration) {
	s.Set(func(s *Store) {
		for _, granted := range s.leases {
			granted.expires = granted.expires.Add(span)
		}
	})
}

// Writes returns the number of transaction requests received.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Calls["/-/kv-txn"]
}
