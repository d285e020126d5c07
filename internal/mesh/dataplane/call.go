package dataplane

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
)

// callContext is what the node knows of one call while it serves it. The target
// passes only its id on; the deeper calls find the rest here.
type callContext struct {
	requestID string
	callID    string
	class     string
	levelName string
	level     int
	rank      admission.Rank
	depth     int
	deadline  time.Duration // on the plane's clock
	ledger    *credits
	abandoned context.Context // done when nobody wants the answer any more

	mutex      sync.Mutex
	own        limiter.OwnTime
	pathCursor int // lowest cursor met below; -1: none
}

// deeperBegins notes that the target opened a call of its own.
func (c *callContext) deeperBegins(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own.DeeperBegins(now)
}

// deeperEnds notes the end of such a call, and the cursor met below.
func (c *callContext) deeperEnds(now time.Duration, cursor int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own.DeeperEnds(now)
	if cursor >= 0 && (c.pathCursor < 0 || cursor < c.pathCursor) {
		c.pathCursor = cursor
	}
}

// ownTime is the time since started that the target itself took.
func (c *callContext) ownTime(now, started time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.own.Since(started, now)
}

func (c *callContext) lowestCursor() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pathCursor
}

func (c *callContext) hasGoneDeeper() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.own.MadeDeeper()
}

// callTable holds the calls that are at the target, by call id.
type callTable struct {
	mutex   sync.Mutex
	calls   map[string]*callContext
	serving int
}

func newCallTable() *callTable { return &callTable{calls: map[string]*callContext{}} }

func (t *callTable) add(call *callContext) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls[call.callID] = call
}

func (t *callTable) remove(call *callContext) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.calls, call.callID)
}

// find gives the call that a target's X-Request-Id names, or nil. The header is
// the request id, a dot and the call id.
func (t *callTable) find(header string) *callContext {
	_, callID, found := cutLast(header)
	if !found {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.calls[callID]
}

func (t *callTable) enter() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.serving++
}

func (t *callTable) leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.serving--
}

func (t *callTable) inFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.serving
}

func targetRequestID(requestID, callID string) string { return requestID + "." + callID }

func cutLast(header string) (requestID, callID string, found bool) {
	dot := strings.LastIndexByte(header, '.')
	if dot < 0 {
		return "", "", false
	}
	return header[:dot], header[dot+1:], true
}
