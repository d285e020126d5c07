package intent

import (
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func sealed(t *testing.T, routes ...*Route) *Intent {
	t.Helper()
	configuration := &Intent{Version: 1, Services: map[string]Service{"s": {Name: "s"}}, Routes: routes}
	if err := configuration.Seal(); err != nil {
		t.Fatal(err)
	}
	return configuration
}

func route(name, host, prefix string) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Kind: Safe, Backends: []Backend{{Service: "s", Weight: 1}}}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	configuration := sealed(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"))
	g.Expect(configuration.Match("a.example", "/x/z").Name).To(Equal("short"))
	g.Expect(configuration.Match("A.example:80", "/x/y/z").Name).To(Equal("long"))
	g.Expect(configuration.Match("b.example", "/x/y/z").Name).To(Equal("other"))
	g.Expect(configuration.Match("a.example", "/x")).To(BeNil())
	g.Expect(configuration.Match("c.example", "/x/y")).To(BeNil())
}

func TestSealRejectsInvalidRoutes(t *testing.T) {
	g := NewWithT(t)
	noSlash := route("r", "a.example", "/x")
	noHost := route("r", "", "/x/")
	unknown := route("r", "a.example", "/x/")
	unknown.Backends = []Backend{{Service: "t", Weight: 1}}
	weightless := route("r", "a.example", "/x/")
	weightless.Backends = []Backend{{Service: "s"}}
	for _, invalid := range []*Route{noSlash, noHost, unknown, weightless} {
		configuration := &Intent{Services: map[string]Service{"s": {}}, Routes: []*Route{invalid}}
		g.Expect(failure.KindOf(configuration.Seal())).To(Equal(failure.BadInput))
	}
}
