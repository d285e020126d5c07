// Package client is a stand-in of the clients on the machines of a deployment: it sends
// requests at the rates of the routes, repeats what may be repeated, leaves early when a test
// wants that, and counts how requests end. It owns the connections of the clients and the
// tally; it relies on being given a machine for each request, and reports every request and
// answer to the judge. Only tests import it.
package client

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Origin is the machine where clients send a request.
type Origin struct {
	IP       string
	Outbound string // address of its node for requests
	Service  string // of its target
}

// Clients send requests to the nodes of a deployment.
type Clients struct {
	Judge *judge.Judge
	Tally *Tally
	// Dialer returns the function with which a host opens connections.
	Dialer func(from string) func(ctx context.Context, network, to string) (net.Conn, error)
	// Any returns a machine whose clients get work.
	Any func() Origin
	// Caller picks the tenant of a request and its key; empty where clients have none.
	Caller func() (tenant, key string)

	burst  atomic.Int64 // factor on the rates; 0: 1
	giveUp atomic.Int64 // nanoseconds after which some clients leave; 0: none does
}

// SetBurst multiplies the rates of the routes; 0 and 1 leave them as they are.
func (c *Clients) SetBurst(factor int64) { c.burst.Store(factor) }

// SetGiveUp makes one client in giveUpOneIn leave after a time; 0: none does.
func (c *Clients) SetGiveUp(after time.Duration) { c.giveUp.Store(int64(after)) }

// KeyScheme is the prefix of the header that carries a key.
const KeyScheme = "Bearer "

// Load sends requests at the rates of the routes for a span and returns when all have ended.
func (c *Clients) Load(ctx context.Context, routes []deployment.Route, span time.Duration) {
	var requests sync.WaitGroup
	var senders sync.WaitGroup
	for _, route := range routes {
		if route.PerSecond <= 0 {
			continue
		}
		senders.Go(func() {
			end := time.Now().Add(span)
			for time.Now().Before(end) && ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / route.PerSecond / float64(max(c.burst.Load(), 1)) * float64(time.Second)))
				origin := c.Any()
				requests.Go(func() { c.request(ctx, origin, route) })
			}
		})
	}
	senders.Wait()
	requests.Wait()
}

// request sends a request and repeats it once, unless it is unsafe and may have run.
func (c *Clients) request(ctx context.Context, origin Origin, route deployment.Route) {
	began := time.Now()
	deadline := began.Add(route.Deadline)
	c.Tally.count(c.Tally.Asked, route.Prefix)
	tenant, key := c.Caller()
	uri := route.Prefix + path()
	for try := range 2 {
		status, retryAfter := c.Attempt(ctx, origin, route, uri, tenant, key, deadline)
		if status == http.StatusOK {
			c.Tally.count(c.Tally.Served, route.Prefix)
			if time.Since(began) <= route.Objective {
				c.Tally.count(c.Tally.InTime, route.Prefix)
			}
			return
		}
		notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if try > 0 || (route.Kind == deployment.Unsafe && !notRun) {
			return
		}
		if status == 0 {
			origin = c.Any()
		}
		left := time.Until(deadline)
		if wait := min(retryAfter, left/3); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// path returns the last part of a request's path: the same one for half of the requests, a
// random one for each of the others.
func path() string {
	if rand.IntN(2) == 0 {
		return "x"
	}
	return strconv.FormatUint(rand.Uint64(), 16)
}

// giveUpOneIn is the number of clients of which one leaves early.
const giveUpOneIn = 3

// Attempt sends a request once. The status is 0 when no whole answer came; retryAfter is 0 when
// the answer has none.
func (c *Clients) Attempt(ctx context.Context, origin Origin, route deployment.Route, uri, tenant, key string, deadline time.Time) (status int, retryAfter time.Duration) {
	id := newID()
	c.Judge.Expect(id, origin.IP, uri, route.Service, origin.Service, route.Kind == deployment.Unsafe, route.MaxAttempts)
	leaves := deadline
	if after := time.Duration(c.giveUp.Load()); after > 0 && rand.IntN(giveUpOneIn) == 0 {
		leaves = time.Now().Add(after)
	}
	ctx, cancel := context.WithDeadline(ctx, leaves)
	defer cancel()
	c.Judge.Signed(id, tenant, key)
	status, header, content, err := c.roundTrip(ctx, origin, route, id, uri, key, deadline)
	if err != nil {
		if ctx.Err() == nil {
			c.Judge.Cut(id, deadline)
		}
		c.Judge.Left(id)
		status = 0
	} else {
		c.Judge.Received(id, status, header.Get("X-Response-Signature"), content)
	}
	c.Tally.countStatus(status)
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return status, retryAfter
}

// roundTrip sends a request on a connection of its own and reads the whole answer.
func (c *Clients) roundTrip(ctx context.Context, origin Origin, route deployment.Route, id, uri, key string, deadline time.Time) (int, http.Header, []byte, error) {
	request, err := requestOf(ctx, origin, route, id, uri, deadline)
	if err != nil {
		return 0, nil, nil, err
	}
	sign(request, key)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: c.Dialer(origin.IP)}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// BodyOf returns the body of clients' requests on a route.
func BodyOf(route deployment.Route) string {
	if route.Kind == deployment.Unsafe {
		return strings.Repeat("b", max(route.Body, 1))
	}
	return ""
}

// requestOf makes a client's request.
func requestOf(ctx context.Context, origin Origin, route deployment.Route, id, uri string, deadline time.Time) (*http.Request, error) {
	method := http.MethodGet
	if route.Kind == deployment.Unsafe {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+origin.Outbound+uri, strings.NewReader(BodyOf(route)))
	if err != nil {
		return nil, err
	}
	request.Host = deployment.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	return request, nil
}

// sign adds the key, and headers that claim a tenant, which nodes have to take out.
func sign(request *http.Request, key string) {
	if key == "" {
		return
	}
	request.Header.Set("Authorization", KeyScheme+key)
	request.Header.Set("X-Tenant", "claimed")
	request.Header["x_tenant"] = []string{"claimed"}
}

// SendHarmful sends a harmful request and repeats it once at another machine.
func (c *Clients) SendHarmful(ctx context.Context, origin Origin, route deployment.Route, path string) {
	deadline := time.Now().Add(route.Deadline)
	for range 2 {
		tenant, key := c.Caller()
		status, retryAfter := c.Attempt(ctx, origin, route, path, tenant, key, deadline)
		if status == http.StatusOK || route.Kind == deployment.Unsafe && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		origin = c.Any()
	}
}
