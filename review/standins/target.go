package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Work is what a target does for the requests below a path prefix.
type Work struct {
	Prefix string
	Time   time.Duration
}

// Target stands in for an application target, by the page PROTOCOL.md. It is one of those that work on when
// the connection of a request closes ("most drop it").
type Target struct {
	ID, Service, Zone          string
	Address, Control, Outbound string
	Slots                      int
	Works                      []Work
	// CopyShare of the answers are sent a second time, after 10 to 40 ms ("garble", how "extra late").
	CopyShare func() float64

	record *Record

	mu       sync.Mutex
	running  int
	sequence int64
	state    string
	slow     float64 // factor on the time of work; 0: none
	silent   bool    // sends no heartbeats of its own
	acked    bool
	left     time.Time // when DELETE or draining was acknowledged; zero: not yet
	runs     []Run
	conns    map[net.Conn]bool
	listener net.Listener
	stopped  chan struct{}
}

// Run is a request that the target has started to work on.
type Run struct {
	ID, Method, Path, Caller string
	At                       time.Time
	Ended                    bool // with an answer
}

const beatInterval = 1500 * time.Millisecond

// declineTime is how long a full target takes to decline a request.
const declineTime = 4 * time.Millisecond

func (t *Target) Start() error {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	t.listener, t.stopped, t.state, t.conns = listener, make(chan struct{}), "ready", map[net.Conn]bool{}
	go t.accept()
	go t.beats()
	return nil
}

// Stop ends the target: it no longer listens and its connections close.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return
	}
	close(t.stopped)
	_ = t.listener.Close()
	t.listener = nil
	for conn := range t.conns {
		_ = conn.Close()
	}
}

func (t *Target) accept() {
	listener := t.listener
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(&targetConn{Conn: conn})
	}
}

// targetConn serializes the answers on a connection.
type targetConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *targetConn) send(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(data)
	return err
}

func (t *Target) serve(conn *targetConn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn.Conn)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if conn.send(t.answer(conn, request)) != nil {
			return
		}
	}
}

// answer returns the answer to a request, after its work.
func (t *Target) answer(conn *targetConn, r *http.Request) []byte {
	id := r.Header.Get("X-Request-Id")
	t.mu.Lock()
	state, running := t.state, t.running
	t.mu.Unlock()
	load := fmt.Sprintf("X-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\n", t.ID, running, t.Slots)
	if r.URL.Path == "/health" {
		status := http.StatusOK
		if state == "draining" {
			status = http.StatusServiceUnavailable
		}
		return message(status, id, load, nil)
	}
	if id == "" {
		return message(http.StatusBadRequest, id, "X-Not-Executed: 1\r\n", nil)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.ID {
		t.record.Add("target %s turns %s away: it expects %s", t.ID, id, expected)
		return message(http.StatusMisdirectedRequest, id, "X-Instance-Id: "+t.ID+"\r\n", nil)
	}
	number, begun := t.begin(r, id)
	if !begun {
		time.Sleep(declineTime)
		t.record.Add("target %s is full, %s not executed", t.ID, id)
		declined := message(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", nil)
		t.copyLate(conn, id, declined)
		return declined
	}
	t.record.Add("target %s runs %s %s %s caller %s", t.ID, id, r.Method, r.URL.Path, r.Header.Get("X-Caller-Service"))
	status := t.work(r)
	t.end(number)
	content := []byte("content of " + id + " at " + t.ID + "\n")
	if status != http.StatusOK {
		content = nil
	}
	t.record.Add("target %s answers %s with %d", t.ID, id, status)
	done := message(status, id, load+"X-Response-Signature: "+signature(id, status, content)+"\r\n", content)
	t.copyLate(conn, id, done)
	return done
}

func signature(id string, status int, content []byte) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %d %s", id, status, content)
	return strconv.FormatUint(hash.Sum64(), 16)
}

func message(status int, id, header string, content []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n", status, http.StatusText(status), id, header, len(content))
	text.Write(content)
	return text.Bytes()
}

// copyLate sends an answer a second time, some time after the first.
func (t *Target) copyLate(conn *targetConn, id string, data []byte) {
	if t.CopyShare == nil || rand.Float64() >= t.CopyShare() {
		return
	}
	time.AfterFunc(10*time.Millisecond+time.Duration(rand.IntN(30))*time.Millisecond, func() {
		t.record.Add("target %s sends its answer to %s a second time: %s", t.ID, id, data[:12])
		_ = conn.send(data)
	})
}

func (t *Target) begin(r *http.Request, id string) (number int, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.Slots {
		return 0, false
	}
	t.running++
	t.runs = append(t.runs, Run{ID: id, Method: r.Method, Path: r.URL.Path, Caller: r.Header.Get("X-Caller-Service"), At: time.Now()})
	return len(t.runs) - 1, true
}

func (t *Target) end(number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.runs[number].Ended = true
}

// work works until the request is done or the time that it was given is over.
func (t *Target) work(r *http.Request) (status int) {
	given := 10 * time.Second
	if milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		given = time.Duration(milliseconds) * time.Millisecond
	}
	deadline := time.Now().Add(given)
	work := Work{Time: 20 * time.Millisecond}
	for _, known := range t.Works {
		if strings.HasPrefix(r.URL.Path, known.Prefix) {
			work = known
		}
	}
	sleep := func(d time.Duration) bool {
		left := time.Until(deadline)
		time.Sleep(min(d, left))
		return d < left
	}
	t.mu.Lock()
	if t.slow > 0 {
		work.Time = time.Duration(t.slow * float64(work.Time))
	}
	t.mu.Unlock()
	if !sleep(work.Time) {
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// SetSlow makes the target work so many times as long.
func (t *Target) SetSlow(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = factor
}

// Runs returns the runs so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Acknowledged reports whether a heartbeat was acknowledged.
func (t *Target) Acknowledged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked
}

func (t *Target) beats() {
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if !silent {
			t.Deliver(t.NextBeat())
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// Beat is a heartbeat.
type Beat struct {
	Sequence             int64
	Service, State, Zone string
	Slots                int
}

// NextBeat returns the next heartbeat of the target.
func (t *Target) NextBeat() Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return Beat{Sequence: t.sequence, Service: t.Service, State: t.state, Zone: t.Zone, Slots: t.Slots}
}

// Deliver sends a heartbeat to the node beside the target and reports whether it was acknowledged.
func (t *Target) Deliver(beat Beat) bool {
	body, _ := json.Marshal(map[string]any{
		"address": t.Address,
		"info":    map[string]any{"service": beat.Service, "version": "v1", "zone": beat.Zone, "slots": beat.Slots},
		"status":  map[string]any{"state": beat.State, "sequence": beat.Sequence, "cold_remaining": "0ms"},
	})
	acked := t.control(http.MethodPut, body)
	if acked {
		t.mu.Lock()
		t.acked = true
		t.mu.Unlock()
	}
	return acked
}

// Leave sends DELETE, as a target does that never says draining, until it is acknowledged. The target
// serves on and sends no further heartbeats.
func (t *Target) Leave() bool {
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	for range 10 {
		if t.control(http.MethodDelete, nil) {
			t.mu.Lock()
			t.left = time.Now()
			t.mu.Unlock()
			t.record.Add("target %s: its DELETE is acknowledged", t.ID)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// LeftAt returns when the leaving was acknowledged.
func (t *Target) LeftAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left
}

func (t *Target) control(method string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+t.Control+"/-/instances/"+t.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}
