package config

import (
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

const example = `
node: s-1
mesh: m
zone: a
target: {address: "127.0.0.1:9000"}
listen: {egress: "127.0.0.1:9001", peers: "127.0.0.1:9002", admin: "127.0.0.1:9003"}
platform: {address: "127.0.0.1:8500", timeout: 500ms}
peers: ["127.0.0.1:9102"]
tls: {certificate: c, key: k, authorities: a}
signers:
  - {name: op, public_key: "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="}
`

func TestParseAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	settings, err := Parse([]byte(example))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Target.Connections).To(Equal(DefaultConnections))
	g.Expect(settings.Log.Level).To(Equal("info"))
	keyring, err := settings.Keyring()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(keyring).To(HaveKey("op"))
}

func TestParseErrorsNameKeyAndRemedy(t *testing.T) {
	for name, tc := range map[string]struct{ from, to, key string }{
		"unknown key":   {"zone: a", "zone: a\nzonne: b", "zonne"},
		"wrong unit":    {"timeout: 500ms", "timeout: 500", "500"},
		"address":       {"127.0.0.1:9003", "127.0.0.1", "listen.admin"},
		"same address":  {"127.0.0.1:9003", "127.0.0.1:9002", "listen.admin"},
		"no target":     {`target: {address: "127.0.0.1:9000"}`, "", "listen.callers"},
		"no egress":     {`egress: "127.0.0.1:9001", `, "", "listen.egress"},
		"name":          {"node: s-1", "node: a b", "node"},
		"double signer": {"signers:\n", "signers:\n  - {name: op, public_key: \"O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=\"}\n", "signers"},
		"bad key":       {"O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=", "AAAA", "signers"},
		"no tls":        {"certificate: c, ", "", "tls.certificate"},
		"timeout":       {"timeout: 500ms", "timeout: 2h", "platform.timeout"},
		"peer":          {"127.0.0.1:9102", "host:9102", "peers"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(example, tc.from, tc.to, 1)
			g.Expect(text).NotTo(Equal(example))
			_, err := Parse([]byte(text))
			g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue())
			g.Expect(err.Error()).To(ContainSubstring(tc.key))
			g.Expect(err.Error()).To(ContainSubstring("remedy"))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse(data); err != nil && failure.KindOf(err) != failure.BadInput {
			t.Fatalf("error kind %v, want %v: %v", failure.KindOf(err), failure.BadInput, err)
		}
	})
}
