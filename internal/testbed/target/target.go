// Package target simulates an application instance behind a node. It registers with the node
// by heartbeats, executes requests with configurable service times, makes downstream calls
// through the node, and injects faults. Every arrival, execution and response is reported to
// the judge. Dialing and listening are pluggable, so it runs on an in-memory network or real
// sockets. Only tests import it.
package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Call is a downstream call that a target makes Times times in sequence during a request.
type Call struct {
	Host, Path string
	Times      int
}

// Work describes how a target handles requests with a path prefix.
type Work struct {
	Prefix string
	Time   time.Duration // mean service time without downstream calls
	Bytes  int           // response body size
	Calls  []Call        // made sequentially
}

// Faults are the injected faults of a target. Except for Slow, each is the fraction of
// requests affected.
type Faults struct {
	DropResponse      float64 // the connection closes without a response
	TruncateResponse  float64 // the response body is truncated
	DuplicateResponse float64 // the response is sent again later, also one that declines
	MalformedResponse float64 // the response is one of malformedResponses
	Slow              float64 // multiplier of the service time; 0 means 1
	Fail              float64 // the response status is 500
	RejectRequest     float64 // rejected as not executed despite a free slot
}

// Target is a simulated application instance.
type Target struct {
	Service  string
	Address  string // listen address
	Outbound string // outbound address of its node, for downstream calls
	Control  string // control address of its node, for heartbeats
	Zone     string
	Slots    int
	Speed    float64 // multiplier of the service time; 0 means 1
	Works    []Work
	Judge    *judge.Judge
	CrashSet *CrashSet // requests that crash the target; may be nil
	// Listening is called when the target starts or stops listening; may be nil.
	Listening func(listens bool)
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Listen    func(address string) (net.Listener, error)

	mu         sync.Mutex
	instance   string
	faults     Faults
	running    int     // requests being executed
	requests   int     // received by the instance, without health checks
	sequence   int     // last heartbeat sequence number
	limited    bool    // states rateLimit in responses
	rateLimit  float64 // requests per second
	leaving    bool    // stated in responses although heartbeats report ready
	statesPace bool    // states its pace as the fourth figure of its load
	draining   bool
	departed   bool // deregistered, and sends no heartbeats
	stopped    bool // not listening
	conns      map[net.Conn]bool
	listener   net.Listener
	done       chan struct{} // closed when the instance stops
	httpClient *http.Client
	group      sync.WaitGroup
}

const heartbeatInterval = 1500 * time.Millisecond

// Start starts a new instance. It fails if it cannot listen on the address.
func (t *Target) Start() error {
	listener, err := t.Listen(t.Address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.instance = "i-" + strconv.FormatUint(rand.Uint64(), 36)
	t.listener, t.done, t.conns = listener, make(chan struct{}), map[net.Conn]bool{}
	t.running, t.sequence, t.draining, t.departed, t.stopped = 0, 0, false, false, false
	t.limited, t.leaving, t.statesPace, t.requests = false, false, false, 0
	t.httpClient = &http.Client{Transport: &http.Transport{DialContext: t.Dial, MaxIdleConnsPerHost: 64}}
	t.mu.Unlock()
	t.reportListening(true)
	t.group.Go(t.acceptLoop)
	t.group.Go(t.heartbeatLoop)
	return nil
}

func (t *Target) reportListening(listens bool) {
	if t.Listening != nil {
		t.Listening(listens)
	}
}

// Instance returns the current instance ID.
func (t *Target) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// StateRate states a rate limit in all responses from now on, in requests per second.
func (t *Target) StateRate(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Judge.StatesRate(t.instance, rate)
	t.limited, t.rateLimit = true, rate
}

// LiftRate states no rate limit any more.
func (t *Target) LiftRate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Judge.StatesNoRate(t.instance)
	t.limited = false
}

// StatePace states in all responses from now on how long work takes, in percent of the usual, as set
// by Faults.Slow.
func (t *Target) StatePace() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statesPace = true
}

// Requests returns the number of requests that the instance was sent, without health checks.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// Leave states in all responses that the target leaves, while its heartbeats still report that it is
// ready. After the given time it deregisters and stops.
func (t *Target) Leave(serve time.Duration) {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	time.Sleep(serve)
	t.callControl(http.MethodDelete, nil)
	t.Stop()
}

// Stop stops the target immediately without deregistering it from the node.
func (t *Target) Stop() {
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		return
	}
	t.stopped = true
	close(t.done)
	_ = t.listener.Close()
	t.reportListening(false)
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.group.Wait()
	t.httpClient.CloseIdleConnections()
}

// Drain reports the draining state to the node, keeps serving for the given time, then
// deregisters and stops.
func (t *Target) Drain(serve time.Duration) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for !t.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	t.Judge.Draining(t.Instance())
	time.Sleep(serve)
	t.callControl(http.MethodDelete, nil)
	t.Stop()
}

// Depart deregisters from the node without having reported the draining state, keeps serving for the
// given time and stops. Health checks still succeed meanwhile.
func (t *Target) Depart(serve time.Duration) {
	t.mu.Lock()
	t.departed = true
	t.mu.Unlock()
	end := time.Now().Add(departurePatience)
	acknowledged := t.callControl(http.MethodDelete, nil)
	for ; !acknowledged && time.Now().Before(end); acknowledged = t.callControl(http.MethodDelete, nil) {
		time.Sleep(200 * time.Millisecond)
	}
	if acknowledged {
		t.Judge.Draining(t.Instance())
	}
	time.Sleep(serve)
	t.Stop()
}

// departurePatience is how long a target tries to deregister before it ends without acknowledgement.
const departurePatience = 5 * time.Second

// DelayHeartbeat takes a heartbeat that reports the current state, and returns a function that sends it
// as if the network had delayed it.
func (t *Target) DelayHeartbeat() (deliver func()) {
	body := t.nextHeartbeat()
	return func() { t.callControl(http.MethodPut, body) }
}

func (t *Target) hasDeparted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departed
}

func (t *Target) heartbeatLoop() {
	for {
		if !t.hasDeparted() {
			t.heartbeat()
		}
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends a heartbeat and reports whether the node acknowledged it.
func (t *Target) heartbeat() bool {
	return t.callControl(http.MethodPut, t.nextHeartbeat())
}

// nextHeartbeat returns the body of the next heartbeat.
func (t *Target) nextHeartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": t.Address,
		"info":    map[string]any{"service": t.Service, "version": "v1", "zone": t.Zone, "slots": t.Slots},
		"status":  map[string]any{"state": state, "sequence": t.sequence, "cold_remaining": "0ms"},
	})
	return body
}

// callControl calls the control endpoint of the node and reports whether it returned 200.
func (t *Target) callControl(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.Control+"/-/instances/"+t.Instance(), strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	response, err := t.httpClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
