package peer

import "sync"

// Abort ends a call from another goroutine. It replaces a context of the call, which would cost
// several allocations. The zero value is ready for one call; a nil *Abort never ends one.
type Abort struct {
	mu      sync.Mutex
	stop    func() // ends the current step of the call; nil: there is none
	aborted bool
}

// Do ends the call.
func (a *Abort) Do() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.stop != nil {
		a.stop()
	}
}

// Aborted reports whether Do was called.
func (a *Abort) Aborted() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// attach sets the function that ends the current step; it must not block. If the call was aborted
// before, attach calls the function and returns false.
func (a *Abort) attach(stop func()) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	if a.aborted {
		stop()
	}
	return !a.aborted
}

// detach removes the function, which is not called after detach has returned. It reports whether the
// call was not aborted.
func (a *Abort) detach() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = nil
	return !a.aborted
}
