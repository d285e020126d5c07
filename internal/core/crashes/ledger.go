package crashes

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evidence records that a target crashed while it ran a request.
type Evidence struct {
	Fingerprint
	Instance        string // process incarnation of the target
	Service         string
	Route           string
	CrashedAtMillis int64 // Unix time in milliseconds, by the clock of the target's node
	// Isolated reports that the target was running no other suspected request.
	Isolated bool
	// Cleared reports that the request has succeeded since, or that an operator released it. It is
	// never reset, so that updates commute.
	Cleared bool
}

// Config sets the thresholds for holding a request back.
type Config struct {
	// CrashThreshold is the number of crashed targets at which a request is held back.
	CrashThreshold int
	// AmbiguousThreshold and CertainThreshold replace it if another request that was present at
	// several crashes may be the cause: it is then Doubtful from the first and Held from the second.
	AmbiguousThreshold, CertainThreshold int
	// MaxEntries limits the evidence that is kept.
	MaxEntries int
}

// DefaultConfig holds a request back after three crashes, or six if its cause is ambiguous. The
// limit of six lets a harmful request reach at most three more targets after the first three. The
// 4096 entries, about 0.6 MB, hold 42 crashes of targets with 96 slots each.
func DefaultConfig() Config {
	return Config{CrashThreshold: 3, AmbiguousThreshold: 4, CertainThreshold: 6, MaxEntries: 4096}
}

// State is the classification of a request.
type State int

// The classifications of a request.
const (
	// Free requests are sent normally.
	Free State = iota
	// Suspected requests were present at a crash. A target runs at most one suspected request at a
	// time, so that the next crash identifies the cause.
	Suspected
	// Doubtful requests were present at as many crashes as held ones, but another request may be
	// the cause. One node sends them, one at a time, so that a harmless request that was present
	// at all crashes of a small service can succeed and be cleared.
	Doubtful
	// Held requests are not sent.
	Held
)

// Ledger holds the evidence known to a node. It is not safe for concurrent use.
type Ledger struct {
	config     Config
	entries    map[Content][]Evidence
	byInstance map[string][]Content // contents present at the crash of each target
	count      int
	digest     uint64
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{config: config, entries: map[Content][]Evidence{}, byInstance: map[string][]Content{}}
}

// Add merges evidence and returns the entries that were new or changed the ledger.
func (l *Ledger) Add(evidence ...Evidence) (added []Evidence) {
	for _, e := range evidence {
		if l.add(e) {
			added = append(added, e)
		}
	}
	l.evict()
	return added
}

func (l *Ledger) add(e Evidence) bool {
	entries := l.entries[e.Content]
	for index := range entries {
		known := &entries[index]
		if known.Variant != e.Variant || known.Instance != e.Instance {
			continue
		}
		if (known.Cleared || !e.Cleared) && (known.Isolated || !e.Isolated) {
			return false
		}
		l.digest ^= digestOf(known)
		known.Cleared, known.Isolated = known.Cleared || e.Cleared, known.Isolated || e.Isolated
		l.digest ^= digestOf(known)
		return true
	}
	l.entries[e.Content] = append(entries, e)
	if !slices.Contains(l.byInstance[e.Instance], e.Content) {
		l.byInstance[e.Instance] = append(l.byInstance[e.Instance], e.Content)
	}
	l.count++
	l.digest ^= digestOf(&e)
	return true
}

func (l *Ledger) markCleared(known *Evidence) {
	l.digest ^= digestOf(known)
	known.Cleared = true
	l.digest ^= digestOf(known)
}

func digestOf(e *Evidence) uint64 {
	var buf [128]byte
	data := binary.BigEndian.AppendUint64(append(buf[:0], e.Content[:]...), uint64(e.Variant))
	data = append(data, e.Instance...)
	for _, flag := range []bool{e.Cleared, e.Isolated} {
		if flag {
			data = append(data, 1)
		}
		data = append(data, 0)
	}
	return xxhash.Sum64(data)
}

// RecordSuccess clears a request that a target has answered and returns the changed entries.
func (l *Ledger) RecordSuccess(print Fingerprint) []Evidence {
	return l.clearMatching(print.Content, func(e *Evidence) bool { return e.Variant == print.Variant })
}

// Lift clears all requests with a content and returns the changed entries.
func (l *Ledger) Lift(content Content) []Evidence {
	return l.clearMatching(content, func(*Evidence) bool { return true })
}

func (l *Ledger) clearMatching(content Content, match func(e *Evidence) bool) (changed []Evidence) {
	entries := l.entries[content]
	for index := range entries {
		if known := &entries[index]; !known.Cleared && match(known) {
			l.markCleared(known)
			changed = append(changed, *known)
		}
	}
	return changed
}

// suspicion summarizes the uncleared evidence against a request.
type suspicion struct {
	ownCrashes int      // crashes with the same variant
	alone      bool     // no other suspect was present at one of the crashes
	sameQuery  crashSet // with the same query, from any caller
	anyQuery   crashSet // with any query
	queries    int
	succeeded  bool // the variant was cleared
}

// crashSet is a set of crashed targets with the request variants present.
type crashSet struct {
	targets  []string
	variants []Variant
}

func (s *crashSet) add(e *Evidence) {
	if !slices.Contains(s.targets, e.Instance) {
		s.targets = append(s.targets, e.Instance)
	}
	if !slices.Contains(s.variants, e.Variant) {
		s.variants = append(s.variants, e.Variant)
	}
}

func (l *Ledger) assess(print Fingerprint) (s suspicion) {
	var queries []Query
	entries := l.entries[print.Content]
	for index := range entries {
		e := &entries[index]
		if e.Cleared {
			s.succeeded = s.succeeded || e.Variant == print.Variant
			continue
		}
		if e.Variant == print.Variant {
			s.ownCrashes++
		}
		if e.Query == print.Query {
			s.sameQuery.add(e)
		}
		if !slices.Contains(queries, e.Query) {
			queries = append(queries, e.Query)
		}
		s.anyQuery.add(e)
		s.alone = s.alone || e.Isolated
	}
	s.queries = len(queries)
	return s
}

// State classifies a request; recently reports that it has succeeded lately. Evidence against other
// variants of its content counts unless the request itself has succeeded. If only one other caller
// sent the same query, the request is Doubtful, since the caller may be the cause. If several
// callers or queries are involved, their common content is taken as the cause.
func (l *Ledger) State(print Fingerprint, recently bool) State {
	s := l.assess(print)
	succeeded := recently || s.succeeded && s.ownCrashes == 0
	reached := func(set crashSet) bool { return len(set.targets) >= l.config.CrashThreshold }
	switch {
	case s.ownCrashes >= l.config.CrashThreshold:
	case succeeded && s.ownCrashes > 0:
		return Suspected
	case succeeded || len(s.anyQuery.targets) == 0:
		return Free
	case reached(s.sameQuery) && len(s.sameQuery.variants) == 1:
		return Doubtful
	case reached(s.sameQuery), reached(s.anyQuery) && s.queries > 1:
	default:
		return Suspected
	}
	switch {
	case l.isLikelyCause(print.Content), len(s.anyQuery.targets) >= l.config.CertainThreshold:
		return Held
	case s.alone && len(s.anyQuery.targets) < l.config.AmbiguousThreshold:
		return Suspected
	}
	return Doubtful
}

// isLikelyCause reports whether a content was the only suspect at a crash at which no other
// content present has been at a second crash. Bystanders that are retried may meet the real
// cause again, but usually succeed soon or are not repeated.
func (l *Ledger) isLikelyCause(content Content) bool {
	return slices.ContainsFunc(l.entries[content], func(e Evidence) bool {
		return e.Isolated && !e.Cleared && !slices.ContainsFunc(l.byInstance[e.Instance], func(other Content) bool {
			return other != content && l.crashCount(other) > 1
		})
	})
}

// crashCount returns the number of uncleared crashes with a content.
func (l *Ledger) crashCount(content Content) int {
	var set crashSet
	entries := l.entries[content]
	for index := range entries {
		if e := &entries[index]; !e.Cleared {
			set.add(e)
		}
	}
	return len(set.targets)
}

// HeldBack returns all evidence against the contents with a Held or Doubtful variant.
func (l *Ledger) HeldBack() map[Content][]Evidence {
	held := map[Content][]Evidence{}
	for content, entries := range l.entries {
		for _, e := range entries {
			if l.State(e.Fingerprint, false) >= Doubtful {
				held[content] = slices.Clone(entries)
				break
			}
		}
	}
	return held
}

// HasSuspects reports whether any evidence is uncleared.
func (l *Ledger) HasSuspects() bool {
	for _, entries := range l.entries {
		if slices.ContainsFunc(entries, func(e Evidence) bool { return !e.Cleared }) {
			return true
		}
	}
	return false
}

// Digest returns an order-independent digest of the evidence.
func (l *Ledger) Digest() uint64 { return l.digest }

// Len returns the number of entries.
func (l *Ledger) Len() int { return l.count }

// All returns all evidence in unspecified order.
func (l *Ledger) All() []Evidence {
	all := make([]Evidence, 0, l.count)
	for _, entries := range l.entries {
		all = append(all, entries...)
	}
	return all
}

// Persistent returns the evidence to persist: uncleared entries, and cleared ones of contents that
// were held back, so that their release persists too.
func (l *Ledger) Persistent() []Evidence {
	lasting := make([]Evidence, 0, l.count)
	for _, entries := range l.entries {
		for _, e := range entries {
			if !e.Cleared || len(entries) >= l.config.CrashThreshold {
				lasting = append(lasting, e)
			}
		}
	}
	slices.SortFunc(lasting, compare)
	return lasting
}

// DigestOf computes Digest for a list of evidence.
func DigestOf(evidence []Evidence) (sum uint64) {
	for index := range evidence {
		sum ^= digestOf(&evidence[index])
	}
	return sum
}

// evict removes entries above MaxEntries: cleared ones first, then those of contents below
// CrashThreshold, then the oldest. The order is the same on all nodes.
func (l *Ledger) evict() {
	if l.count <= l.config.MaxEntries {
		return
	}
	all := l.All()
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(l.retentionRank(b)-l.retentionRank(a), cmp.Compare(b.CrashedAtMillis, a.CrashedAtMillis), compare(a, b))
	})
	for _, e := range all[l.config.MaxEntries:] {
		l.remove(e)
	}
}

func (l *Ledger) retentionRank(e Evidence) int {
	switch {
	case e.Cleared:
		return 0
	case len(l.assess(e.Fingerprint).anyQuery.targets) < l.config.CrashThreshold:
		return 1
	}
	return 2
}

func (l *Ledger) remove(removed Evidence) {
	l.entries[removed.Content] = slices.DeleteFunc(l.entries[removed.Content], func(e Evidence) bool {
		return e.Variant == removed.Variant && e.Instance == removed.Instance
	})
	if len(l.entries[removed.Content]) == 0 {
		delete(l.entries, removed.Content)
	}
	if !slices.ContainsFunc(l.entries[removed.Content], func(e Evidence) bool { return e.Instance == removed.Instance }) {
		l.byInstance[removed.Instance] = slices.DeleteFunc(l.byInstance[removed.Instance], func(c Content) bool { return c == removed.Content })
		if len(l.byInstance[removed.Instance]) == 0 {
			delete(l.byInstance, removed.Instance)
		}
	}
	l.count--
	l.digest ^= digestOf(&removed)
}

// compare is a total order that all nodes share.
func compare(a, b Evidence) int {
	return cmp.Or(slices.Compare(a.Content[:], b.Content[:]), cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Instance, b.Instance))
}
