package reply

import "sync/atomic"

// Budget bounds the memory that request bodies take at a node. It is safe for concurrent use; a nil
// Budget has no limit.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// maxHeldBytes is what a body takes at most while its request waits: the part that is buffered, and as much
// that arrives meanwhile and is not read.
const maxHeldBytes = 2 * MaxBuffered

// Reserve reserves memory for a body of the announced length, or -1, before it is read. Unless it returns
// false, Release must be called with the result.
func (b *Budget) Reserve(length int64) (held int64, reserved bool) {
	if b == nil || length == 0 {
		return 0, true
	}
	if held = int64(maxHeldBytes); length > 0 {
		held = min(held, length)
	}
	if b.held.Add(held) > b.limit {
		b.held.Add(-held)
		return 0, false
	}
	return held, true
}

// Release gives back what Reserve returned.
func (b *Budget) Release(held int64) {
	if held > 0 {
		b.held.Add(-held)
	}
}

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}
