// Package intent is the operators' versioned configuration as the sidecar
// nodes use it: routes by host and path prefix, services, tenants and limits. It holds no
// names of any platform; an adapter reads the operators' form into it. An Intent
// is immutable once Seal was called and may then be shared between goroutines.
package intent

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
)

// Kind says how often a request of a route may run.
type Kind int

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each client attempt.
	Unsafe
	// Download requests have large answers and may run more than once.
	Download
)

// Repeatable tells whether a request of the kind may run a second time.
func (k Kind) Repeatable() bool { return k != Unsafe }

// Part is one service of a route and its share of the route's requests.
type Part struct {
	Service string
	Weight  int
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time a request is held; 0: no bound of the route's own
	Objective   time.Duration // time inside which an answer is worth its full value
	Priority    int           // 0 is the most important
	MaxAttempts int           // most targets that one request may reach
	Public      bool          // its requests need no key
	Parts       []Part        // at least one
}

// Service is what the operators say of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one target accepts; 0: not said
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Intent is one version of the configuration.
type Intent struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	Tenants  []*Tenant // none: requests need no key
	Source   []byte    // what it was read from, for other nodes

	byHost        map[string][]*Route // longest prefix first
	tenants       tenantIndex
	leastPriority int
}

// Seal checks the intent and builds its index. It gives a failure of kind
// BadInput that names the first broken rule.
func (i *Intent) Seal() error {
	i.byHost = make(map[string][]*Route)
	for _, route := range i.Routes {
		if err := i.check(route); err != nil {
			return err
		}
		i.leastPriority = max(i.leastPriority, route.Priority)
		host := normalHost(route.Host)
		i.byHost[host] = append(i.byHost[host], route)
	}
	for _, routes := range i.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	return i.tenants.build(i.Tenants)
}

func (i *Intent) check(route *Route) error {
	bad := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "route "+route.Name+": "+format, arguments...)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return bad("begin and end the prefix with a slash", "prefix %q is not usable", route.Prefix)
	}
	if route.Host == "" {
		return bad("name the host", "host is missing")
	}
	if len(route.Parts) == 0 {
		return bad("name a service", "no service is named")
	}
	total := 0
	for _, part := range route.Parts {
		if _, known := i.Services[part.Service]; !known {
			return bad("add the service or correct the name", "service %q is unknown", part.Service)
		}
		if part.Weight < 0 {
			return bad("use weights of 0 or more", "weight %d is negative", part.Weight)
		}
		total += part.Weight
	}
	if total <= 0 {
		return bad("give at least one part a weight", "no part has a weight")
	}
	return nil
}

// LeastPriority gives the highest number that a route has as its priority.
func (i *Intent) LeastPriority() int { return i.leastPriority }

// Match gives the route of a request, or nil when none fits.
func (i *Intent) Match(host, path string) *Route {
	for _, route := range i.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
