package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	platformserver "github.com/landingmast/landingmast/gen/http/platform/server"
	api "github.com/landingmast/landingmast/gen/platform"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// Faults configures the faults that the fake platform injects. They may be changed at
// run time with PUT /lab/faults.
type Faults struct {
	Down          bool          `json:"down"`         // abort every request
	Delay         time.Duration `json:"delay"`        // added to every response, ns
	DropResponses bool          `json:"lose_answers"` // apply writes, but abort their responses
	RateLimit     float64       `json:"rate_limit"`   // requests per second; 0 means unlimited
	CatalogLag    time.Duration `json:"machine_lag"`  // staleness of the machine list, ns
}

type keyValue struct {
	value  []byte
	modify uint64
	create uint64
}

type machineEvent struct {
	at    time.Time
	node  string
	state string
	index uint64
}

// Platform is an in-memory fake of the platform's key-value service and machine
// list.
type Platform struct {
	mutex    sync.Mutex
	index    uint64
	keys     map[string]*keyValue
	events   []machineEvent
	faults   Faults
	tokens   float64
	refilled time.Time
	reads    uint64
	writes   uint64
}

var _ api.Service = (*Platform)(nil)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{keys: map[string]*keyValue{}, refilled: time.Now()}
}

// Handler serves the key-value protocol and the control endpoints under /lab/.
func (p *Platform) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	server := platformserver.New(api.NewEndpoints(p), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	platformserver.Mount(mux, server)
	root := http.NewServeMux()
	root.HandleFunc("PUT /lab/faults", p.serveFaults)
	root.HandleFunc("PUT /lab/machines/{node}/{state}", p.serveMachine)
	root.HandleFunc("GET /lab/counts", p.serveCounts)
	root.Handle("/", p.injectFaults(mux))
	return root
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	p.tokens = faults.RateLimit
}

func (p *Platform) serveMachine(_ http.ResponseWriter, r *http.Request) {
	p.SetMachine(r.PathValue("node"), r.PathValue("state"))
}

// SetMachine sets the state of a machine to live, leaving or gone.
func (p *Platform) SetMachine(node, state string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.index++
	p.events = append(p.events, machineEvent{at: time.Now(), node: node, state: state, index: p.index})
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]uint64{"reads": p.reads, "writes": p.writes})
}

// injectFaults wraps a handler with the configured faults.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, limited := p.admit(r.Method)
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.Delay > 0 {
			select {
			case <-time.After(faults.Delay):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		if limited {
			http.Error(w, `{"name":"limited","id":"1","message":"rate limit","temporary":true,"timeout":false,"fault":false}`, http.StatusTooManyRequests)
			return
		}
		if faults.DropResponses && r.Method == http.MethodPut {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// admit counts a request and applies the rate limit.
func (p *Platform) admit(method string) (faults Faults, limited bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if method == http.MethodPut {
		p.writes++
	} else {
		p.reads++
	}
	if p.faults.RateLimit == 0 {
		return p.faults, false
	}
	now := time.Now()
	p.tokens = min(p.tokens+now.Sub(p.refilled).Seconds()*p.faults.RateLimit, p.faults.RateLimit)
	p.refilled = now
	if p.tokens < 1 {
		return p.faults, true
	}
	p.tokens--
	return p.faults, false
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Get implements api.Service. It ignores index and wait: nodes poll and do not use
// blocking queries.
func (p *Platform) Get(_ context.Context, payload *api.GetPayload) (*api.GetResult, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.keys[payload.Key]
	if entry == nil {
		return nil, api.MakeMissing(goa.PermanentError("missing", "no such key"))
	}
	pair := &api.KeyValuePair{Key: payload.Key, Value: bytes.Clone(entry.value), ModifyIndex: entry.modify, CreateIndex: entry.create}
	return &api.GetResult{Pairs: []*api.KeyValuePair{pair}, Index: strconv.FormatUint(p.index, 10)}, nil
}

// Put implements api.Service.
func (p *Platform) Put(_ context.Context, payload *api.PutPayload, body io.ReadCloser) (bool, error) {
	value, err := io.ReadAll(io.LimitReader(body, 1<<20))
	if err != nil {
		return false, api.MakeMalformed(err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.keys[payload.Key]
	if payload.Cas != nil {
		if (entry == nil && *payload.Cas != 0) || (entry != nil && entry.modify != *payload.Cas) {
			return false, nil
		}
	}
	p.index++
	if entry == nil {
		entry = &keyValue{create: p.index}
		p.keys[payload.Key] = entry
	}
	entry.value, entry.modify = value, p.index
	return true, nil
}

// errSessionsUnsupported returns the error of the session methods, which nodes do not
// use.
func errSessionsUnsupported() error {
	return api.MakeMalformed(goa.PermanentError("malformed", "sessions are not supported"))
}

// CreateSession implements api.Service.
func (p *Platform) CreateSession(context.Context, *api.SessionRequest) (*api.SessionEntry, error) {
	return nil, errSessionsUnsupported()
}

// RenewSession implements api.Service.
func (p *Platform) RenewSession(context.Context, *api.RenewSessionPayload) ([]*api.SessionEntry, error) {
	return nil, errSessionsUnsupported()
}

// DestroySession implements api.Service.
func (p *Platform) DestroySession(context.Context, *api.DestroySessionPayload) (bool, error) {
	return false, errSessionsUnsupported()
}

// CatalogNodes implements api.Service. It returns the machine list as it was CatalogLag ago.
func (p *Platform) CatalogNodes(context.Context) (*api.CatalogNodesResult, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	horizon := time.Now().Add(-p.faults.CatalogLag)
	states := map[string]string{}
	result := &api.CatalogNodesResult{Nodes: []*api.CatalogNode{}}
	index := uint64(1)
	for _, event := range p.events {
		if !event.at.After(horizon) {
			states[event.node] = event.state
			index = event.index
		}
	}
	result.Index = strconv.FormatUint(index, 10)
	for node, state := range states {
		if state != "gone" {
			result.Nodes = append(result.Nodes, &api.CatalogNode{Node: node, Address: "127.0.0.1", Meta: map[string]string{"state": state}})
		}
	}
	return result, nil
}
