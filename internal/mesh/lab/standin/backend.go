// Package standin holds the stand-ins for what landingmast meets outside itself:
// back ends and the platform's service.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// Headers between stand-in back ends and callers.
const (
	HeaderDigest = "X-Body-Digest" // xxhash64 of the answer's body, hex
	HeaderEcho   = "X-Echo-Token"  // token of the caller, sent back
	HeaderKey    = "Idempotency-Key"
	HeaderID     = "X-Request-Id"
)

// Execution is one request that a back end really ran: the ground truth.
type Execution struct {
	Backend   string `json:"backend"`
	RequestID string `json:"request_id"` // with the call id
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Token     string `json:"token"`
	Finished  bool   `json:"finished"` // served to the end
}

// Behaviour may be changed while the back end runs.
type Behaviour struct {
	Slowdown float64 `json:"slowdown"`  // factor on service times; 0 is 1
	FailRate float64 `json:"fail_rate"` // share of requests answered with a reset
	LieReady bool    `json:"lie_ready"` // health says ready whatever happens
}

// Backend is a stand-in back end.
type Backend struct {
	name       string
	service    *deployment.Service
	egress     string // IP:port of the node's egress port
	slots      chan struct{}
	maxWaiting int64
	waiting    atomic.Int64
	client     *http.Client
	behaviour  atomic.Pointer[Behaviour]
	started    time.Time
	mutex      sync.Mutex
	executions []*Execution
}

// NewBackend makes a back end of a service. egress is where it sends its calls.
func NewBackend(name string, service *deployment.Service, slots int, egress string) *Backend {
	backend := &Backend{
		name: name, service: service, egress: egress, slots: make(chan struct{}, slots), maxWaiting: int64(service.Connections - slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}, started: time.Now(),
	}
	backend.behaviour.Store(&Behaviour{})
	return backend
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/lab/executions":
		b.serveExecutions(w)
	case "/lab/behaviour":
		b.serveBehaviour(w, r)
	case "/health":
		_, _ = fmt.Fprintln(w, "ok")
	default:
		b.serve(w, r)
	}
}

func (b *Backend) serveExecutions(w http.ResponseWriter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(b.executions)
}

func (b *Backend) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	behaviour := &Behaviour{}
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.behaviour.Store(behaviour)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	route := b.service.Route(r.Method, r.URL.Path)
	if route == nil {
		http.NotFound(w, r)
		return
	}
	if !b.takeSlot(r.Context()) {
		w.Header().Set(deployment.ShedHeader, "not-started")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(HeaderEcho, r.Header.Get(HeaderEcho))
	execution := b.begin(r)
	behaviour := b.behaviour.Load()
	if rand.Float64() < behaviour.FailRate {
		panic(http.ErrAbortHandler)
	}
	if !b.work(r.Context(), route, behaviour) {
		return
	}
	if err := b.callDeeper(r, route); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	b.answer(w, r, route)
	b.mutex.Lock()
	execution.Finished = true
	b.mutex.Unlock()
}

func (b *Backend) takeSlot(ctx context.Context) bool {
	if b.waiting.Add(1) > b.maxWaiting {
		b.waiting.Add(-1)
		return false
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) begin(r *http.Request) *Execution {
	execution := &Execution{
		Backend: b.name, RequestID: r.Header.Get(HeaderID), Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(HeaderKey),
		Token: r.Header.Get(HeaderEcho),
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.executions = append(b.executions, execution)
	return execution
}

// work takes the route's service time with a log-normal tail; false when the
// request was cancelled meanwhile.
func (b *Backend) work(ctx context.Context, route *deployment.Route, behaviour *Behaviour) bool {
	span := ServiceTime(route.Mean, rand.NormFloat64())
	if behaviour.Slowdown > 0 {
		span = time.Duration(float64(span) * behaviour.Slowdown)
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceSigma is the spread of the log-normal service times.
const serviceSigma = 0.5

// ServiceTime gives a service time of that mean out of a standard normal number.
func ServiceTime(mean time.Duration, normal float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(serviceSigma*normal-serviceSigma*serviceSigma/2))
}

func (b *Backend) callDeeper(r *http.Request, route *deployment.Route) error {
	if !route.AtOnce {
		for _, call := range route.Calls {
			if err := b.call(r, call); err != nil {
				return err
			}
		}
		return nil
	}
	failures := make(chan error, len(route.Calls))
	for _, call := range route.Calls {
		go func() { failures <- b.call(r, call) }()
	}
	var first error
	for range route.Calls {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// call makes one deeper call. Only the request id is passed on, and a key where
// the call needs one of its own.
func (b *Backend) call(r *http.Request, call deployment.DeepCall) error {
	request, err := http.NewRequestWithContext(r.Context(), call.Method, "http://"+b.egress+call.Path, nil)
	if err != nil {
		return err
	}
	request.Host = call.Service
	request.Header.Set(HeaderID, r.Header.Get(HeaderID))
	request.Header.Set(HeaderEcho, r.Header.Get(HeaderEcho))
	if call.Keyed {
		request.Header.Set(HeaderKey, r.Header.Get(HeaderKey)+"/"+call.Service+call.Path)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := CheckBody(response); err != nil {
		return fmt.Errorf("%s %s: %w", call.Service, call.Path, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s answered %d", call.Service, call.Path, response.StatusCode)
	}
	return nil
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, route *deployment.Route) {
	body := Body(r.Header.Get(HeaderEcho), route.Bytes)
	w.Header().Set(HeaderDigest, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Body makes an answer's body of that length out of the caller's token.
func Body(token string, length int) []byte {
	body := make([]byte, length)
	state := xxhash.Sum64String(token)
	for index := range body {
		if index%8 == 0 {
			state = state*6364136223846793005 + 1442695040888963407
		}
		body[index] = byte(state >> (8 * (index % 8)))
	}
	return body
}

// CheckBody reads an answer whole and checks it against its digest.
func CheckBody(response *http.Response) error {
	digest := xxhash.New()
	if _, err := io.Copy(digest, response.Body); err != nil {
		return err
	}
	wanted := response.Header.Get(HeaderDigest)
	if wanted != "" && wanted != strconv.FormatUint(digest.Sum64(), 16) {
		return fmt.Errorf("body does not match its digest")
	}
	return nil
}
