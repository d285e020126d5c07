// Package target is a stand-in of an application target beside a node: it listens, sends
// heartbeats, runs requests for as long as its work takes, makes calls through the node, and
// does wrong what a test sets. It owns its connections and its incarnation, and reports each
// arrival, run and answer to the judge. It relies on functions that dial and listen, so that it
// runs over a network in memory as well as over sockets. Only tests import it.
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

// Call is a call that a target makes, Times times in a row, while it runs a request.
type Call struct {
	Host, Path string
	Times      int
}

// Work is what a target does for requests of a path prefix.
type Work struct {
	Prefix string
	Time   time.Duration // mean; the calls come on top
	Bytes  int           // of the answer
	Calls  []Call        // one after the other
}

// Faults are what a target does wrong. Shares are parts of the requests that arrive.
type Faults struct {
	LoseAnswer float64 // the connection closes instead of the answer
	CutShort   float64 // the answer breaks off
	Surplus    float64 // a second answer follows, late
	Garbage    float64 // bytes that are no HTTP answer
	Slow       float64 // factor on the time of work; 0: 1
	Fail       float64 // status 500
	Decline    float64 // refused as not run, though a slot is free
}

// Target is a stand-in of an application target.
type Target struct {
	Service  string
	Address  string // where it listens
	Outbound string // address of the node beside it, for its calls
	Control  string // address of the node beside it, for its heartbeats
	Zone     string
	Slots    int
	Speed    float64 // factor on the time of work; 0: 1
	Works    []Work
	Judge    *judge.Judge
	Harmful  *Harmful // requests that end it; nil: none
	// Listening is called when the target begins and ceases to listen; may be nil.
	Listening func(listens bool)
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Listen    func(address string) (net.Listener, error)

	mu       sync.Mutex
	instance string
	faults   Faults
	running  int // requests
	sequence int // of heartbeats
	draining bool
	gone     bool // it does not listen
	conns    map[net.Conn]bool
	listener net.Listener
	ended    chan struct{} // closed by the end of the incarnation
	calls    *http.Client
	group    sync.WaitGroup
}

// heartbeatEvery is the time between heartbeats.
const heartbeatEvery = 1500 * time.Millisecond

// Start begins a new incarnation. It fails if the address cannot be listened on.
func (t *Target) Start() error {
	listener, err := t.Listen(t.Address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.instance = "i-" + strconv.FormatUint(rand.Uint64(), 36)
	t.listener, t.ended, t.conns = listener, make(chan struct{}), map[net.Conn]bool{}
	t.running, t.sequence, t.draining, t.gone = 0, 0, false, false
	t.calls = &http.Client{Transport: &http.Transport{DialContext: t.Dial, MaxIdleConnsPerHost: 64}}
	t.mu.Unlock()
	t.reportListening(true)
	t.group.Go(t.accept)
	t.group.Go(t.beat)
	return nil
}

func (t *Target) reportListening(listens bool) {
	if t.Listening != nil {
		t.Listening(listens)
	}
}

// Instance returns the id of the incarnation.
func (t *Target) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

// SetFaults changes what the target does wrong.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Stop ends the target at once, without telling its node.
func (t *Target) Stop() {
	t.mu.Lock()
	if t.gone {
		t.mu.Unlock()
		return
	}
	t.gone = true
	close(t.ended)
	_ = t.listener.Close()
	t.reportListening(false)
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.group.Wait()
	t.calls.CloseIdleConnections()
}

// Drain reports to the node that the target leaves, goes on serving for a span and ends.
func (t *Target) Drain(serve time.Duration) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for !t.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	t.Judge.Draining(t.Instance())
	time.Sleep(serve)
	t.send(http.MethodDelete, nil)
	t.Stop()
}

func (t *Target) beat() {
	for {
		t.heartbeat()
		select {
		case <-t.ended:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// heartbeat sends a heartbeat and reports whether it was acknowledged.
func (t *Target) heartbeat() bool {
	t.mu.Lock()
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
	t.mu.Unlock()
	return t.send(http.MethodPut, body)
}

// send calls the node beside the target and reports whether it answered 200.
func (t *Target) send(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.Control+"/-/instances/"+t.Instance(), strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	response, err := t.calls.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
