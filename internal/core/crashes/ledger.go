package crashes

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evidence is that a target ended while it ran a request.
type Evidence struct {
	Print
	Instance string // incarnation of the target
	Service  string
	Route    string
	At       int64 // ms since 1970, by the clock of the node beside the target
	// Alone tells that no other suspected request was at the target.
	Alone bool
	// Cleared tells that the request has ended well since, or that an operator lifted it. It
	// is never taken back, so that nodes may hear of it in any order.
	Cleared bool
}

// Config sets when a request is held back.
type Config struct {
	// Ends is the number of targets that ended with a request, after which it is held back.
	Ends int
	// Doubt and Sure are the numbers from which it is doubtful and held back where something
	// else that was at several ends may be the cause.
	Doubt, Sure int
	// Most bounds the evidence that is kept, in entries.
	Most int
}

// DefaultConfig holds back a request that three targets ended with, and while it is in doubt
// whether it was the cause, six: a harmful request may reach three more targets at most after
// the first three. 4,096 entries are 42 ends of targets with 96 slots each where no request
// ended well, about 0.6 MB.
func DefaultConfig() Config { return Config{Ends: 3, Doubt: 4, Sure: 6, Most: 4096} }

// State is what is thought of a request.
type State int

// The states.
const (
	// Free requests are sent as ever.
	Free State = iota
	// Suspected requests were at a target when it ended: they are at a target alone among
	// suspected ones, so that the next end tells which it was.
	Suspected
	// Doubtful requests were at as many ends as held ones, but something else may have ended
	// the targets. One node sends them, one at a time: a popular harmless request that is at
	// all ends of a small service would never end well again otherwise.
	Doubtful
	// Held requests are not sent.
	Held
)

// Ledger holds the evidence that a node knows. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	entries map[Content][]Evidence
	there   map[string][]Content // by target, what it was running at its end
	count   int
	digest  uint64
}

// New makes an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{config: config, entries: map[Content][]Evidence{}, there: map[string][]Content{}}
}

// Add takes in evidence and gives what of it was news.
func (l *Ledger) Add(evidence ...Evidence) (news []Evidence) {
	for _, one := range evidence {
		if l.add(one) {
			news = append(news, one)
		}
	}
	l.bound()
	return news
}

func (l *Ledger) add(one Evidence) bool {
	entries := l.entries[one.Content]
	for index := range entries {
		known := &entries[index]
		if known.Variant != one.Variant || known.Instance != one.Instance {
			continue
		}
		if (known.Cleared || !one.Cleared) && (known.Alone || !one.Alone) {
			return false
		}
		l.digest ^= digestOf(known)
		known.Cleared, known.Alone = known.Cleared || one.Cleared, known.Alone || one.Alone
		l.digest ^= digestOf(known)
		return true
	}
	l.entries[one.Content] = append(entries, one)
	if !slices.Contains(l.there[one.Instance], one.Content) {
		l.there[one.Instance] = append(l.there[one.Instance], one.Content)
	}
	l.count++
	l.digest ^= digestOf(&one)
	return true
}

func (l *Ledger) clear(known *Evidence) {
	l.digest ^= digestOf(known)
	known.Cleared = true
	l.digest ^= digestOf(known)
}

func digestOf(e *Evidence) uint64 {
	var room [128]byte
	text := binary.BigEndian.AppendUint64(append(room[:0], e.Content[:]...), uint64(e.Variant))
	text = append(text, e.Instance...)
	for _, flag := range []bool{e.Cleared, e.Alone} {
		if flag {
			text = append(text, 1)
		}
		text = append(text, 0)
	}
	return xxhash.Sum64(text)
}

// EndedWell clears a request that a target answered, and gives what changed.
func (l *Ledger) EndedWell(print Print) []Evidence {
	return l.clearAll(print.Content, func(e *Evidence) bool { return e.Variant == print.Variant })
}

// Lift clears all requests of a content, and gives what changed.
func (l *Ledger) Lift(content Content) []Evidence {
	return l.clearAll(content, func(*Evidence) bool { return true })
}

func (l *Ledger) clearAll(content Content, of func(e *Evidence) bool) (changed []Evidence) {
	entries := l.entries[content]
	for index := range entries {
		if known := &entries[index]; !known.Cleared && of(known) {
			l.clear(known)
			changed = append(changed, *known)
		}
	}
	return changed
}

// suspicion sums up the evidence against a request that was not cleared.
type suspicion struct {
	own      int  // targets that ended with the variant
	alone    bool // at one of the ends no other suspect was there
	asked    ends // with the same query, from any caller
	all      ends // with any query
	queries  int
	endsWell bool // the variant was cleared
}

// ends are the targets that ended with some requests, and how many variants these are.
type ends struct {
	targets  []string
	variants []Variant
}

func (e *ends) add(one *Evidence) {
	if !slices.Contains(e.targets, one.Instance) {
		e.targets = append(e.targets, one.Instance)
	}
	if !slices.Contains(e.variants, one.Variant) {
		e.variants = append(e.variants, one.Variant)
	}
}

func (l *Ledger) against(print Print) (s suspicion) {
	var queries []Query
	entries := l.entries[print.Content]
	for index := range entries {
		one := &entries[index]
		if one.Cleared {
			s.endsWell = s.endsWell || one.Variant == print.Variant
			continue
		}
		if one.Variant == print.Variant {
			s.own++
		}
		if one.Query == print.Query {
			s.asked.add(one)
		}
		if !slices.Contains(queries, one.Query) {
			queries = append(queries, one.Query)
		}
		s.all.add(one)
		s.alone = s.alone || one.Alone
	}
	s.queries = len(queries)
	return s
}

// State tells what is thought of a request. Ends that it shares with others of its content
// count too, unless it ended well itself: recently tells that it did so of late. Where the
// same was asked by one other caller only it is doubtful; where several callers asked it, or
// there were several queries, what they have in common is taken for the cause.
func (l *Ledger) State(print Print, recently bool) State {
	s := l.against(print)
	good := recently || s.endsWell && s.own == 0
	many := func(e ends) bool { return len(e.targets) >= l.config.Ends }
	switch {
	case s.own >= l.config.Ends:
	case good && s.own > 0:
		return Suspected
	case good || len(s.all.targets) == 0:
		return Free
	case many(s.asked) && len(s.asked.variants) == 1:
		return Doubtful
	case many(s.asked), many(s.all) && s.queries > 1:
	default:
		return Suspected
	}
	switch {
	case l.isCause(print.Content), len(s.all.targets) >= l.config.Sure:
		return Held
	case s.alone && len(s.all.targets) < l.config.Doubt:
		return Suspected
	}
	return Doubtful
}

// isCause tells that a content was at an end alone among suspects, and that nothing else that
// was there has been at a second end. What is sent again after an end may meet the cause of
// it once more; the others there end well soon, or do not come again.
func (l *Ledger) isCause(content Content) bool {
	return slices.ContainsFunc(l.entries[content], func(one Evidence) bool {
		return one.Alone && !one.Cleared && !slices.ContainsFunc(l.there[one.Instance], func(other Content) bool {
			return other != content && l.ends(other) > 1
		})
	})
}

// ends gives the number of ends that a content was at, without those that were cleared.
func (l *Ledger) ends(content Content) int {
	var all ends
	entries := l.entries[content]
	for index := range entries {
		if one := &entries[index]; !one.Cleared {
			all.add(one)
		}
	}
	return len(all.targets)
}

// Held gives the contents of which some variant is held back, or doubtful, with all evidence
// against them.
func (l *Ledger) Held() map[Content][]Evidence {
	held := map[Content][]Evidence{}
	for content, entries := range l.entries {
		for _, one := range entries {
			if l.State(one.Print, false) >= Doubtful {
				held[content] = slices.Clone(entries)
				break
			}
		}
	}
	return held
}

// Suspects tells whether any request is suspected or held back.
func (l *Ledger) Suspects() bool {
	for _, entries := range l.entries {
		if slices.ContainsFunc(entries, func(e Evidence) bool { return !e.Cleared }) {
			return true
		}
	}
	return false
}

// Digest sums up the evidence: it is the same where the evidence is.
func (l *Ledger) Digest() uint64 { return l.digest }

// Len gives the number of entries.
func (l *Ledger) Len() int { return l.count }

// All gives all evidence.
func (l *Ledger) All() []Evidence {
	all := make([]Evidence, 0, l.count)
	for _, entries := range l.entries {
		all = append(all, entries...)
	}
	return all
}

// Lasting gives the evidence that has to outlive all nodes: what was not cleared, and what was
// cleared of contents that were held back, so that a lift lasts too.
func (l *Ledger) Lasting() []Evidence {
	lasting := make([]Evidence, 0, l.count)
	for _, entries := range l.entries {
		for _, one := range entries {
			if !one.Cleared || len(entries) >= l.config.Ends {
				lasting = append(lasting, one)
			}
		}
	}
	slices.SortFunc(lasting, compare)
	return lasting
}

// DigestOf sums up some evidence as Digest does.
func DigestOf(evidence []Evidence) (sum uint64) {
	for index := range evidence {
		sum ^= digestOf(&evidence[index])
	}
	return sum
}

// bound drops the evidence of least weight: cleared before what was not, then that of
// contents with few entries, then the oldest. All nodes drop the same.
func (l *Ledger) bound() {
	if l.count <= l.config.Most {
		return
	}
	all := l.All()
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(l.weight(b)-l.weight(a), cmp.Compare(b.At, a.At), compare(a, b))
	})
	for _, one := range all[l.config.Most:] {
		l.drop(one)
	}
}

func (l *Ledger) weight(e Evidence) int {
	switch {
	case e.Cleared:
		return 0
	case len(l.against(e.Print).all.targets) < l.config.Ends:
		return 1
	}
	return 2
}

func (l *Ledger) drop(one Evidence) {
	l.entries[one.Content] = slices.DeleteFunc(l.entries[one.Content], func(e Evidence) bool {
		return e.Variant == one.Variant && e.Instance == one.Instance
	})
	if len(l.entries[one.Content]) == 0 {
		delete(l.entries, one.Content)
	}
	if !slices.ContainsFunc(l.entries[one.Content], func(e Evidence) bool { return e.Instance == one.Instance }) {
		l.there[one.Instance] = slices.DeleteFunc(l.there[one.Instance], func(c Content) bool { return c == one.Content })
		if len(l.there[one.Instance]) == 0 {
			delete(l.there, one.Instance)
		}
	}
	l.count--
	l.digest ^= digestOf(&one)
}

// compare gives an order that all nodes share.
func compare(a, b Evidence) int {
	return cmp.Or(slices.Compare(a.Content[:], b.Content[:]), cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Instance, b.Instance))
}
