package headers

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

var identityHeaders = Names{Tenant: "X-Tenant", Key: "Authorization", KeyScheme: "Bearer"}

func TestClientKey(t *testing.T) {
	for _, tc := range []struct{ name, value, want string }{
		{"valid key", "Bearer k1", "k1"},
		{"scheme in lower case", "bearer k1", "k1"},
		{"surrounding blanks", "Bearer  k1 ", "k1"},
		{"another scheme", "Basic k1", ""},
		{"no scheme", "k1", ""},
		{"no header", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			if tc.value != "" {
				header.Set("Authorization", tc.value)
			}
			g.Expect(identityHeaders.ClientKey(header)).To(Equal(tc.want))
		})
	}
}

// Guards against a client forging its tenant, or leaking its key to a target.
func TestRemoveIdentity(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{
		"X-Tenant": {"a"}, "x-tenant": {"a"}, "X_Tenant": {"a"}, "x_TENANT": {"a"}, "Authorization": {"Bearer k"}, "authorization": {"Bearer k"},
		"X-Tenants": {"kept"}, "X-Request-Id": {"kept"},
	}
	identityHeaders.RemoveIdentity(header)
	g.Expect(header).To(Equal(http.Header{"X-Tenants": {"kept"}, "X-Request-Id": {"kept"}}))
}

func BenchmarkRemoveIdentity(b *testing.B) {
	header := http.Header{"X-Request-Id": {"1"}, "X-Deadline-Ms": {"1"}, "User-Agent": {"1"}, "Accept": {"1"}, "Content-Type": {"1"}, "X-Caller-Service": {"1"}}
	for b.Loop() {
		identityHeaders.RemoveIdentity(header)
	}
}
