package claim

import "container/list"

// Phase is the state of a key at its executor.
type Phase string

// Phases of a key.
const (
	PhaseAbsent   Phase = "absent"   // unknown, or dropped before it was granted
	PhaseClaiming Phase = "claiming" // a proposal is in progress
	PhaseRunning  Phase = "running"  // granted; the request is sent to the target
	PhaseDone     Phase = "done"     // completed; the answer is stored unless too large or evicted
	PhaseUnknown  Phase = "unknown"  // sent to the target with an unknown outcome
)

// Answer is the stored response to the request of a key.
type Answer struct {
	Status  int
	Headers map[string][]string
	Body    []byte
}

func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Headers {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

type record struct {
	phase   Phase
	answer  *Answer
	element *list.Element
}

// Table holds the keys of an executor. At-most-once execution follows from two
// invariants: each key has one executor, and a table grants a key once, except after
// Release [Run]. It is not safe for concurrent use.
type Table struct {
	records        map[string]*record
	answerOrder    *list.List // keys with stored answers, oldest first
	answerBytes    int
	maxKeys        int
	maxAnswerBytes int
	maxAnswerSize  int
}

// NewTable returns an empty table for up to maxKeys keys. It stores answers of up to
// maxAnswerSize bytes each and maxAnswerBytes in total.
func NewTable(maxKeys, maxAnswerBytes, maxAnswerSize int) *Table {
	return &Table{records: map[string]*record{}, answerOrder: list.New(), maxKeys: maxKeys, maxAnswerBytes: maxAnswerBytes, maxAnswerSize: maxAnswerSize}
}

// Begin registers a request. For a new key it returns PhaseAbsent, and the caller must
// claim the key; for a known key it returns its phase and stored answer. full reports
// that the key is new and the table has no room for it.
func (t *Table) Begin(key string) (phase Phase, answer *Answer, full bool) {
	rec := t.records[key]
	if rec == nil {
		if len(t.records) >= t.maxKeys {
			return PhaseAbsent, nil, true
		}
		t.records[key] = &record{phase: PhaseClaiming}
		return PhaseAbsent, nil, false
	}
	return rec.phase, rec.answer, false
}

// Lookup returns the phase and stored answer of a key without registering it.
func (t *Table) Lookup(key string) (Phase, *Answer) {
	rec := t.records[key]
	if rec == nil {
		return PhaseAbsent, nil
	}
	return rec.phase, rec.answer
}

// Abandon removes a key that was not granted, so that a later request can claim it.
func (t *Table) Abandon(key string) {
	if rec := t.records[key]; rec != nil && rec.phase == PhaseClaiming {
		delete(t.records, key)
	}
}

// Grant reports whether the caller may run the request of the key [Run].
func (t *Table) Grant(key string) bool {
	rec := t.records[key]
	if rec == nil || rec.phase != PhaseClaiming {
		return false
	}
	rec.phase = PhaseRunning
	return true
}

// Release removes a granted key whose request provably did not reach the target, so
// that a later request can claim it.
func (t *Table) Release(key string) {
	if rec := t.records[key]; rec != nil && rec.phase == PhaseRunning {
		delete(t.records, key)
	}
}

// MarkUnknown records that the request was sent to the target and its outcome is unknown.
func (t *Table) MarkUnknown(key string) {
	if rec := t.records[key]; rec != nil && rec.phase == PhaseRunning {
		rec.phase = PhaseUnknown
	}
}

// Complete marks a running key as done and stores its answer unless it is nil or too
// large. To make room it evicts the oldest answers, but never their keys.
func (t *Table) Complete(key string, answer *Answer) {
	rec := t.records[key]
	if rec == nil || rec.phase != PhaseRunning {
		return
	}
	rec.phase = PhaseDone
	if answer == nil || answer.size() > t.maxAnswerSize {
		return
	}
	rec.answer = answer
	rec.element = t.answerOrder.PushBack(key)
	t.answerBytes += answer.size()
	for t.answerBytes > t.maxAnswerBytes {
		t.evictOldest()
	}
}

func (t *Table) evictOldest() {
	oldest := t.answerOrder.Front()
	rec := t.records[oldest.Value.(string)]
	t.answerBytes -= rec.answer.size()
	rec.answer, rec.element = nil, nil
	t.answerOrder.Remove(oldest)
}
