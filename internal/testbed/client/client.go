// Package client simulates the clients of a deployment. It sends requests at the configured
// route rates, retries where that is safe, optionally abandons requests early, and counts the
// outcomes. Every request and response is reported to the judge. Only tests import it.
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

// Origin is the machine from which clients send a request.
type Origin struct {
	IP       string
	Outbound string // outbound address of its node
	Service  string // service of its target
}

// Clients generates load on the nodes of a deployment.
type Clients struct {
	Judge *judge.Judge
	Tally *Stats
	// Dialer returns the dial function of a host.
	Dialer func(from string) func(ctx context.Context, network, to string) (net.Conn, error)
	// PickOrigin returns a machine that is in rotation.
	PickOrigin func() Origin
	// PickCredentials returns the tenant and API key of a request; both are empty without tenants.
	PickCredentials func() (tenant, key string)

	rateFactor   atomic.Int64 // multiplier of the route rates; 0 means 1
	abandonAfter atomic.Int64 // nanoseconds after which some clients disconnect; 0 disables this
}

// SetRateFactor multiplies the route rates by factor; 0 and 1 leave them unchanged.
func (c *Clients) SetRateFactor(factor int64) { c.rateFactor.Store(factor) }

// SetAbandonAfter makes one in abandonOneIn clients disconnect after the given time; 0 disables
// this.
func (c *Clients) SetAbandonAfter(after time.Duration) { c.abandonAfter.Store(int64(after)) }

// KeyScheme is the Authorization scheme of API keys.
const KeyScheme = "Bearer "

// Load sends requests at the route rates for the given time and returns when all have
// completed.
func (c *Clients) Load(ctx context.Context, routes []deployment.Route, span time.Duration) {
	var requests sync.WaitGroup
	var senders sync.WaitGroup
	for _, route := range routes {
		if route.RequestsPerSecond <= 0 {
			continue
		}
		senders.Go(func() {
			end := time.Now().Add(span)
			for time.Now().Before(end) && ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / route.RequestsPerSecond / float64(max(c.rateFactor.Load(), 1)) * float64(time.Second)))
				origin := c.PickOrigin()
				requests.Go(func() { c.request(ctx, origin, route) })
			}
		})
	}
	senders.Wait()
	requests.Wait()
}

// request sends a request and retries it once, unless it is unsafe and may have been executed.
func (c *Clients) request(ctx context.Context, origin Origin, route deployment.Route) {
	began := time.Now()
	deadline := began.Add(route.Deadline)
	c.Tally.count(c.Tally.Sent, route.Prefix)
	tenant, key := c.PickCredentials()
	uri := route.Prefix + randomPathSuffix()
	refused := false
	for attempt := range 2 {
		status, retryAfter := c.Attempt(ctx, origin, route, uri, tenant, key, deadline)
		if refused {
			c.Tally.countReturned(route.Prefix, status)
		}
		refused = status == http.StatusServiceUnavailable
		if status == http.StatusOK {
			c.Tally.count(c.Tally.Served, route.Prefix)
			if time.Since(began) <= route.Objective {
				c.Tally.count(c.Tally.InTime, route.Prefix)
			}
			return
		}
		notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if attempt > 0 || (route.AtMostOnce() && !notRun) {
			return
		}
		if status == 0 {
			origin = c.PickOrigin()
		}
		remaining := time.Until(deadline)
		if wait := min(retryAfter, remaining/3); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// randomPathSuffix returns a fixed suffix for half of the requests and a random one for the
// others.
func randomPathSuffix() string {
	if rand.IntN(2) == 0 {
		return "x"
	}
	return strconv.FormatUint(rand.Uint64(), 16)
}

// abandonOneIn is the inverse of the share of clients that disconnect early.
const abandonOneIn = 3

// Attempt sends a request once. The status is 0 when no complete response arrived; retryAfter
// is 0 when the response has no Retry-After header.
func (c *Clients) Attempt(ctx context.Context, origin Origin, route deployment.Route, uri, tenant, key string, deadline time.Time) (status int, retryAfter time.Duration) {
	id := newRequestID()
	c.Judge.Expect(id, origin.IP, uri, route.Service, origin.Service, route.AtMostOnce(), route.MaxAttempts)
	clientDeadline := deadline
	if after := time.Duration(c.abandonAfter.Load()); after > 0 && rand.IntN(abandonOneIn) == 0 {
		clientDeadline = time.Now().Add(after)
	}
	ctx, cancel := context.WithDeadline(ctx, clientDeadline)
	defer cancel()
	c.Judge.Authenticated(id, tenant, key)
	status, header, content, err := c.roundTrip(ctx, origin, route, id, uri, key, deadline)
	if err != nil {
		if ctx.Err() == nil {
			c.Judge.ConnectionLost(id, deadline)
		}
		c.Judge.ClientDisconnected(id)
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

// roundTrip sends a request on a new connection and reads the complete response.
func (c *Clients) roundTrip(ctx context.Context, origin Origin, route deployment.Route, id, uri, key string, deadline time.Time) (int, http.Header, []byte, error) {
	request, err := newRequest(ctx, origin, route, id, uri, deadline)
	if err != nil {
		return 0, nil, nil, err
	}
	setAuthHeaders(request, key)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: c.Dialer(origin.IP)}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

func newRequestID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// RequestBody returns the request body that clients send on a route.
func RequestBody(route deployment.Route) string {
	if route.AtMostOnce() {
		return strings.Repeat("b", max(route.Body, 1))
	}
	return ""
}

func newRequest(ctx context.Context, origin Origin, route deployment.Route, id, uri string, deadline time.Time) (*http.Request, error) {
	method := http.MethodGet
	if route.AtMostOnce() {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+origin.Outbound+uri, strings.NewReader(RequestBody(route)))
	if err != nil {
		return nil, err
	}
	request.Host = deployment.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	return request, nil
}

// setAuthHeaders sets the API key and forged tenant headers, which nodes must strip.
func setAuthHeaders(request *http.Request, key string) {
	if key == "" {
		return
	}
	request.Header.Set("Authorization", KeyScheme+key)
	request.Header.Set("X-Tenant", "claimed")
	request.Header["x_tenant"] = []string{"claimed"}
}

// SendCrashing sends a request that crashes its target and retries it once on another machine.
func (c *Clients) SendCrashing(ctx context.Context, origin Origin, route deployment.Route, path string) {
	deadline := time.Now().Add(route.Deadline)
	for range 2 {
		tenant, key := c.PickCredentials()
		status, retryAfter := c.Attempt(ctx, origin, route, path, tenant, key, deadline)
		if status == http.StatusOK || route.AtMostOnce() && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		origin = c.PickOrigin()
	}
}
