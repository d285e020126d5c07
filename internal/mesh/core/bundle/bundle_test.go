package bundle

import (
	"crypto/ed25519"
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

const example = `
mesh: m
version: 3
levels: [critical, bulk]
entries:
  - {name: entry-1, address: "127.0.0.1:1", zone: a}
services:
  - name: s
    shed: {status: 503, header: X-Shed}
    targets:
      - {name: s-1, address: "127.0.0.1:2", zone: a}
      - {name: s-2, address: "127.0.0.1:3", zone: b, state: leaving}
classes:
  - {name: pay, service: s, method: POST, path: /pay, importance: critical, execution: at_most_once, retries: 2, deadline: 2s}
  - {name: rest, service: s, path: /, importance: bulk, execution: repeatable, retries: 1, deadline: 500ms}
`

func parseExample(t *testing.T) *Bundle {
	t.Helper()
	bundle, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func signingKeys() (ed25519.PrivateKey, Keyring) {
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	return private, Keyring{"op": private.Public().(ed25519.PublicKey)}
}

func TestParseSetsDefaultsAndMatches(t *testing.T) {
	g := NewWithT(t)
	bundle := parseExample(t)
	g.Expect(bundle.MaxDepth).To(Equal(DefaultMaxDepth))
	g.Expect(bundle.Match("s", "POST", "/pay").KeyHeader).To(Equal(DefaultKeyHeader))
	g.Expect(bundle.Match("s", "GET", "/pay").Name).To(Equal("rest"))
	g.Expect(bundle.Match("other", "GET", "/")).To(BeNil())
	index := NewIndex(bundle)
	g.Expect(index.Match("s", "POST", "/pay").Name).To(Equal("pay"))
	g.Expect(index.Match("s", "GET", "/pay").Name).To(Equal("rest"))
	g.Expect(index.Match("other", "GET", "/")).To(BeNil())
	g.Expect(index.HasClass("rest")).To(BeTrue())
	node, service := bundle.Node("s-2")
	g.Expect(node.State).To(Equal(Leaving))
	g.Expect(service).To(Equal("s"))
}

func TestParseRejectsInvalidBundlesWithRemedy(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown key":      {"version: 3", "version: 3\nverzion: 4"},
		"no unit":          {"deadline: 2s", "deadline: 2"},
		"double node":      {"name: s-2", "name: s-1"},
		"double address":   {"127.0.0.1:3", "127.0.0.1:2"},
		"address":          {"127.0.0.1:3", "localhost:3"},
		"state":            {"state: leaving", "state: gone"},
		"importance":       {"importance: bulk", "importance: huge"},
		"execution":        {"execution: repeatable", "execution: twice"},
		"retries":          {"retries: 2", "retries: 99"},
		"version":          {"version: 3", "version: 0"},
		"service of class": {"name: rest, service: s", "name: rest, service: t"},
		"level twice":      {"[critical, bulk]", "[critical, bulk, bulk]"},
		"no zone":          {"zone: b,", "zone: \"\","},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(example, change[0], change[1], 1)
			g.Expect(text).NotTo(Equal(example))
			_, err := Parse([]byte(text))
			g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue())
			g.Expect(err.Error()).To(ContainSubstring("remedy"))
		})
	}
}

// TestVerifyRejectsModifiedReleases guards against accepting a release that was modified
// after signing or that an unknown signer signed.
func TestVerifyRejectsModifiedReleases(t *testing.T) {
	g := NewWithT(t)
	private, ring := signingKeys()
	release, err := Sign(parseExample(t), "op", private)
	g.Expect(err).NotTo(HaveOccurred())
	installed, err := Verify(release, ring, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(installed.Bundle).To(Equal(parseExample(t)))

	_, err = Verify(release, Keyring{"other": ring["op"]}, nil)
	g.Expect(failure.Is(err, failure.Untrusted)).To(BeTrue())

	changes := map[string]func(*Release){
		"section":   func(r *Release) { r.Sections[0].Body = append([]byte(" "), r.Sections[0].Body...) },
		"missing":   func(r *Release) { r.Sections = r.Sections[1:] },
		"version":   func(r *Release) { r.Version++ },
		"mesh":      func(r *Release) { r.Mesh = "x" },
		"signature": func(r *Release) { r.Signature = make([]byte, 64) },
		"digest":    func(r *Release) { r.Digest = make([]byte, 32) },
	}
	for name, change := range changes {
		altered := *release
		altered.Sections = append([]Section(nil), release.Sections...)
		change(&altered)
		_, err = Verify(&altered, ring, nil)
		g.Expect(failure.Is(err, failure.Untrusted)).To(BeTrue(), name)
	}
}

func TestDeltaContainsOnlyChangedSections(t *testing.T) {
	g := NewWithT(t)
	private, ring := signingKeys()
	first, _ := Sign(parseExample(t), "op", private)
	base, _ := Verify(first, ring, nil)
	next := parseExample(t)
	next.Version = 4
	next.Services[0].Targets[1].State = Active
	second, _ := Sign(next, "op", private)
	delta := second.Delta(first)
	g.Expect(delta.Sections).To(HaveLen(2)) // the head, which holds the version, and the service
	installed, err := Verify(delta, ring, base)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(installed.Bundle).To(Equal(next))
	g.Expect(installed.Release.Sections).To(Equal(second.Sections))

	_, err = Verify(delta, ring, nil)
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("mesh: [1, 2"))
	f.Fuzz(func(t *testing.T, data []byte) {
		bundle, err := Parse(data)
		if (bundle == nil) == (err == nil) {
			t.Fatalf("Parse returned bundle %v and error %v; want exactly one", bundle, err)
		}
		if err != nil && failure.KindOf(err) != failure.BadInput {
			t.Fatalf("error kind = %v, want %v: %v", failure.KindOf(err), failure.BadInput, err)
		}
	})
}
