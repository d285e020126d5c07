package claim

import "container/list"

// Phase is where a key stands at its executor.
type Phase string

// The phases.
const (
	PhaseAbsent   Phase = "absent"   // never seen here, or given up before it was granted
	PhaseClaiming Phase = "claiming" // the voters are being asked
	PhaseRunning  Phase = "running"  // handed over to the target
	PhaseDone     Phase = "done"     // ran; the answer is kept, unless it was too large
	PhaseUnknown  Phase = "unknown"  // handed over, and how it ended is not known
)

// Answer is the kept answer of a key.
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
	phase  Phase
	answer *Answer
	place  *list.Element
}

// Table is an executor's memory of its keys. A key that was granted once is
// never granted again by the same table; that, and one executor for each key,
// is the whole at-most-once argument [Run]. It is not safe for concurrent use.
type Table struct {
	records     map[string]*record
	order       *list.List // keys with answers, oldest first
	bytes       int
	maxKeys     int
	maxBytes    int
	maxOneBytes int
}

// NewTable makes an empty table that holds up to maxKeys keys and maxBytes of
// answers, each of up to maxOneBytes.
func NewTable(maxKeys, maxBytes, maxOneBytes int) *Table {
	return &Table{records: map[string]*record{}, order: list.New(), maxKeys: maxKeys, maxBytes: maxBytes, maxOneBytes: maxOneBytes}
}

// Begin takes in a request with the key. It gives PhaseAbsent when the caller
// now has to claim the key, and otherwise where the key stands; full tells that
// no further key can be held.
func (t *Table) Begin(key string) (phase Phase, answer *Answer, full bool) {
	known := t.records[key]
	if known == nil {
		if len(t.records) >= t.maxKeys {
			return PhaseAbsent, nil, true
		}
		t.records[key] = &record{phase: PhaseClaiming}
		return PhaseAbsent, nil, false
	}
	return known.phase, known.answer, false
}

// Peek tells where a key stands without taking anything in.
func (t *Table) Peek(key string) (Phase, *Answer) {
	known := t.records[key]
	if known == nil {
		return PhaseAbsent, nil
	}
	return known.phase, known.answer
}

// GiveUp forgets a key that was not granted, so that a later request may claim
// it again.
func (t *Table) GiveUp(key string) {
	if known := t.records[key]; known != nil && known.phase == PhaseClaiming {
		delete(t.records, key)
	}
}

// Grant gives the right to run the key: true exactly once [Run].
func (t *Table) Grant(key string) bool {
	known := t.records[key]
	if known == nil || known.phase != PhaseClaiming {
		return false
	}
	known.phase = PhaseRunning
	return true
}

// NotStarted takes the right back, because the call was provably not handed
// over; a later request may be granted again.
func (t *Table) NotStarted(key string) {
	if known := t.records[key]; known != nil && known.phase == PhaseRunning {
		delete(t.records, key)
	}
}

// Lose notes that the call was handed over and its end is not known.
func (t *Table) Lose(key string) {
	if known := t.records[key]; known != nil && known.phase == PhaseRunning {
		known.phase = PhaseUnknown
	}
}

// Complete keeps the answer of a key, if it is small enough. The oldest answers
// give way; their keys stay.
func (t *Table) Complete(key string, answer *Answer) {
	known := t.records[key]
	if known == nil || known.phase != PhaseRunning {
		return
	}
	known.phase = PhaseDone
	if answer == nil || answer.size() > t.maxOneBytes {
		return
	}
	known.answer = answer
	known.place = t.order.PushBack(key)
	t.bytes += answer.size()
	for t.bytes > t.maxBytes {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	oldest := t.order.Front()
	known := t.records[oldest.Value.(string)]
	t.bytes -= known.answer.size()
	known.answer, known.place = nil, nil
	t.order.Remove(oldest)
}
