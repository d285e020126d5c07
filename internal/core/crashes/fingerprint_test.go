package crashes

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestFingerprintOfDistinguishesRequests(t *testing.T) {
	base := Request{Method: "GET", Host: "h", Path: "/a/1", Query: "p=1", Body: []byte("b"), Length: 1, Caller: "c", Tenant: "t"}
	for _, tc := range []struct {
		name                     string
		change                   func(r *Request)
		sameContent, sameVariant bool // expected equality of content and variant
	}{
		{"unchanged", func(*Request) {}, true, true},
		{"another method", func(r *Request) { r.Method = "PUT" }, false, false},
		{"another host", func(r *Request) { r.Host = "i" }, false, false},
		{"another path", func(r *Request) { r.Path = "/a/2" }, false, false},
		{"the same text split differently", func(r *Request) { r.Host, r.Path = "h/a", "/1" }, false, false},
		{"another body", func(r *Request) { r.Body = []byte("c") }, false, false},
		{"a longer body with the same beginning", func(r *Request) { r.Length = 2 }, false, false},
		{"another query", func(r *Request) { r.Query = "p=2" }, true, false},
		{"another caller", func(r *Request) { r.Caller = "d" }, true, false},
		{"another tenant", func(r *Request) { r.Tenant = "u" }, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			other := base
			tc.change(&other)
			a, b := FingerprintOf(base), FingerprintOf(other)
			g.Expect(a.Content == b.Content).To(Equal(tc.sameContent))
			g.Expect(a.Variant == b.Variant).To(Equal(tc.sameVariant))
		})
	}
}

// Cost of a fingerprint, which is computed for each request while any request is suspected.
func BenchmarkPrint(b *testing.B) {
	r := Request{Method: "GET", Host: "mesh.example", Path: "/claims/1f2e3d", Query: "page=4&sort=new", Caller: "portal", Tenant: "t"}
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf(r)
	}
}

func TestContentRoundTrip(t *testing.T) {
	g := NewWithT(t)
	content := FingerprintOf(Request{Path: "/a"}).Content
	g.Expect(ParseContent(content.String())).To(Equal(content))
	for _, text := range []string{"", "0a", content.String() + "00", "zz" + content.String()[2:]} {
		_, err := ParseContent(text)
		g.Expect(err).To(MatchError(ContainSubstring("no digest")), text)
	}
}
