package intent

import (
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func sealed(t *testing.T, routes ...*Route) *Intent {
	t.Helper()
	made := &Intent{Version: 1, Services: map[string]Service{"s": {Name: "s"}}, Routes: routes}
	if err := made.Seal(); err != nil {
		t.Fatal(err)
	}
	return made
}

func route(name, host, prefix string) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Kind: Safe, Parts: []Part{{Service: "s", Weight: 1}}}
}

func TestLongestPrefixOfTheHostIsTaken(t *testing.T) {
	g := NewWithT(t)
	made := sealed(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"))
	g.Expect(made.Match("a.example", "/x/z").Name).To(Equal("short"))
	g.Expect(made.Match("A.example:80", "/x/y/z").Name).To(Equal("long"))
	g.Expect(made.Match("b.example", "/x/y/z").Name).To(Equal("other"))
	g.Expect(made.Match("a.example", "/x")).To(BeNil())
	g.Expect(made.Match("c.example", "/x/y")).To(BeNil())
}

func TestBrokenRulesAreRefused(t *testing.T) {
	g := NewWithT(t)
	noSlash := route("r", "a.example", "/x")
	noHost := route("r", "", "/x/")
	unknown := route("r", "a.example", "/x/")
	unknown.Parts = []Part{{Service: "t", Weight: 1}}
	weightless := route("r", "a.example", "/x/")
	weightless.Parts = []Part{{Service: "s"}}
	for _, broken := range []*Route{noSlash, noHost, unknown, weightless} {
		made := &Intent{Services: map[string]Service{"s": {}}, Routes: []*Route{broken}}
		g.Expect(failure.KindOf(made.Seal())).To(Equal(failure.BadInput))
	}
}
