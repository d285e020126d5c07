// Package standin implements fakes of the services that landingmast depends on:
// backends and the platform's key-value service.
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

// Headers used by fake backends and their callers.
const (
	HeaderDigest = "X-Body-Digest" // xxHash64 of the response body, hexadecimal
	HeaderEcho   = "X-Echo-Token"  // token of the caller, echoed in the response
	HeaderKey    = "Idempotency-Key"
	HeaderID     = "X-Request-Id"
)

// Execution records a request that a backend started to execute.
type Execution struct {
	Backend   string `json:"backend"`
	RequestID string `json:"request_id"` // including the call id
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Token     string `json:"token"`
	Finished  bool   `json:"finished"` // completed successfully
}

// Behaviour configures the faults of a backend. It may be changed at run time.
type Behaviour struct {
	Slowdown    float64 `json:"slowdown"`  // factor applied to service times; 0 means 1
	FailRate    float64 `json:"fail_rate"` // fraction of requests whose connection is reset
	AlwaysReady bool    `json:"lie_ready"` // report ready regardless of state
}

// Backend is a fake backend with a limited number of slots.
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

// NewBackend returns a backend of a service that sends its own calls to egress.
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
	if !b.acquireSlot(r.Context()) {
		w.Header().Set(deployment.ShedHeader, "not-started")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(HeaderEcho, r.Header.Get(HeaderEcho))
	execution := b.recordExecution(r)
	behaviour := b.behaviour.Load()
	if rand.Float64() < behaviour.FailRate {
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(r.Context(), route, behaviour) {
		return
	}
	if err := b.callDownstream(r, route); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	b.writeResponse(w, r, route)
	b.mutex.Lock()
	execution.Finished = true
	b.mutex.Unlock()
}

// acquireSlot waits for a slot; false if too many requests are waiting or ctx is
// cancelled.
func (b *Backend) acquireSlot(ctx context.Context) bool {
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

// recordExecution adds a request to the executions of the backend.
func (b *Backend) recordExecution(r *http.Request) *Execution {
	execution := &Execution{
		Backend: b.name, RequestID: r.Header.Get(HeaderID), Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(HeaderKey),
		Token: r.Header.Get(HeaderEcho),
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.executions = append(b.executions, execution)
	return execution
}

// simulateWork waits for a log-normally distributed service time; false if the
// request is cancelled before it ends.
func (b *Backend) simulateWork(ctx context.Context, route *deployment.Route, behaviour *Behaviour) bool {
	duration := ServiceTime(route.Mean, rand.NormFloat64())
	if behaviour.Slowdown > 0 {
		duration = time.Duration(float64(duration) * behaviour.Slowdown)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceSigma is the sigma of the log-normal distribution of service times.
const serviceSigma = 0.5

// ServiceTime returns a log-normally distributed service time with the given mean
// from a standard normal variate.
func ServiceTime(mean time.Duration, normal float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(serviceSigma*normal-serviceSigma*serviceSigma/2))
}

// callDownstream makes the downstream calls of a route and returns the first error.
func (b *Backend) callDownstream(r *http.Request, route *deployment.Route) error {
	if !route.Concurrent {
		for _, call := range route.Calls {
			if err := b.call(r, call); err != nil {
				return err
			}
		}
		return nil
	}
	errs := make(chan error, len(route.Calls))
	for _, call := range route.Calls {
		go func() { errs <- b.call(r, call) }()
	}
	var first error
	for range route.Calls {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// call makes one downstream call. It propagates the request id and the echo token, and
// derives an idempotency key if the call needs one.
func (b *Backend) call(r *http.Request, call deployment.DownstreamCall) error {
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

// writeResponse writes the response body of a route and its digest.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, route *deployment.Route) {
	body := responseBody(r.Header.Get(HeaderEcho), route.Bytes)
	w.Header().Set(HeaderDigest, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// responseBody returns a pseudo-random body that depends only on the token of the caller.
func responseBody(token string, length int) []byte {
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

// CheckBody reads the body of a response and verifies its digest, if it has one.
func CheckBody(response *http.Response) error {
	digest := xxhash.New()
	if _, err := io.Copy(digest, response.Body); err != nil {
		return err
	}
	expected := response.Header.Get(HeaderDigest)
	if expected != "" && expected != strconv.FormatUint(digest.Sum64(), 16) {
		return fmt.Errorf("response body does not match its digest")
	}
	return nil
}
