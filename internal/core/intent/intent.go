// Package intent holds the operators' versioned configuration as the sidecar nodes use it: routes by
// host and path prefix, services, tenants and limits. It is independent of any platform; an
// adapter converts the operators' format. An Intent is immutable after Seal and may then be
// shared between goroutines.
package intent

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
)

// Kind determines how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each client attempt.
	Unsafe
	// Download requests have large responses and may run more than once.
	Download
	// Upload requests have large bodies and run at most once for each client attempt.
	Upload
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == Download }

// Backend is a service of a route and its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Route defines where the requests for a host and path prefix are sent.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum time to hold a request; 0: no limit for this route
	Objective   time.Duration // response time up to which a response has its full value
	Priority    int           // 0 is the highest priority
	MaxAttempts int           // maximum number of targets to try per request
	Public      bool          // no API key required
	Backends    []Backend     // at least one
}

// Service is the configuration of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one target accepts; 0: unspecified
}

// Limits bounds what a client may send.
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
	Tenants  []*Tenant // if empty, no API keys are required
	Source   []byte    // original document, for distribution to other nodes

	byHost         map[string][]*Route // longest prefix first
	tenants        tenantIndex
	lowestPriority int
}

// Seal validates the configuration and builds its index. The error is of kind BadInput and names
// the first violation.
func (i *Intent) Seal() error {
	i.byHost = make(map[string][]*Route)
	for _, route := range i.Routes {
		if err := i.validateRoute(route); err != nil {
			return err
		}
		i.lowestPriority = max(i.lowestPriority, route.Priority)
		host := normalizeHost(route.Host)
		i.byHost[host] = append(i.byHost[host], route)
	}
	for _, routes := range i.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	return i.tenants.build(i.Tenants)
}

func (i *Intent) validateRoute(route *Route) error {
	bad := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "route "+route.Name+": "+format, arguments...)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return bad("begin and end the prefix with a slash", "prefix %q does not begin and end with a slash", route.Prefix)
	}
	if route.Host == "" {
		return bad("name the host", "host is missing")
	}
	if len(route.Backends) == 0 {
		return bad("name a service", "no service is named")
	}
	total := 0
	for _, part := range route.Backends {
		if _, known := i.Services[part.Service]; !known {
			return bad("add the service or correct the name", "service %q is unknown", part.Service)
		}
		if part.Weight < 0 {
			return bad("use a weight of 0 or more", "weight %d is negative", part.Weight)
		}
		total += part.Weight
	}
	if total <= 0 {
		return bad("give at least one service a positive weight", "all weights are 0")
	}
	return nil
}

// LowestPriority returns the highest priority number of any route, the least important one.
func (i *Intent) LowestPriority() int { return i.lowestPriority }

// Match returns the route of a request, or nil if there is none.
func (i *Intent) Match(host, path string) *Route {
	for _, route := range i.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port and a trailing dot and lower-cases the host.
func normalizeHost(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
