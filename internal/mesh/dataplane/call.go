package dataplane

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/admission"
	"github.com/landingmast/landingmast/internal/mesh/core/limiter"
)

// callContext is the state of a call in progress. The target echoes only the request ID;
// downstream calls look up everything else here.
type callContext struct {
	requestID string
	callID    string
	class     string
	levelName string
	level     int
	rank      admission.Rank
	depth     int
	deadline  time.Duration // relative to Plane.started
	ledger    *credits
	ctx       context.Context // done when the caller no longer waits for the response

	mutex      sync.Mutex
	own        limiter.SelfTime
	pathCursor int // lowest admission cursor reported downstream; -1 if none
}

// downstreamStarted records the start of a call made by the target.
func (c *callContext) downstreamStarted(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own.DownstreamStarted(now)
}

// downstreamEnded records the end of a call made by the target and the admission cursor
// reported for it; a negative cursor means none.
func (c *callContext) downstreamEnded(now time.Duration, cursor int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own.DownstreamEnded(now)
	if cursor >= 0 && (c.pathCursor < 0 || cursor < c.pathCursor) {
		c.pathCursor = cursor
	}
}

// ownTime returns the time since started, excluding downstream calls.
func (c *callContext) ownTime(now, started time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.own.Elapsed(started, now)
}

func (c *callContext) lowestCursor() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pathCursor
}

func (c *callContext) madeDownstreamCall() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.own.HasDownstream()
}

// callTable indexes the calls being served by the target by call ID and counts the calls
// in flight.
type callTable struct {
	mutex  sync.Mutex
	calls  map[string]*callContext
	active int
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

// find returns the call identified by the X-Request-Id header of a request from the target,
// or nil. The header has the form "<request ID>.<call ID>".
func (t *callTable) find(header string) *callContext {
	_, callID, ok := splitTargetRequestID(header)
	if !ok {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.calls[callID]
}

func (t *callTable) incInFlight() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active++
}

func (t *callTable) decInFlight() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active--
}

func (t *callTable) inFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.active
}

func targetRequestID(requestID, callID string) string { return requestID + "." + callID }

func splitTargetRequestID(header string) (requestID, callID string, ok bool) {
	dot := strings.LastIndexByte(header, '.')
	if dot < 0 {
		return "", "", false
	}
	return header[:dot], header[dot+1:], true
}
