package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/core/intent"
	. "github.com/onsi/gomega"
)

func TestCheckLimits(t *testing.T) {
	limits := intent.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}
	for _, tc := range []struct {
		name   string
		limits intent.Limits
		body   int
		header int
		status int
	}{
		{"within the limits", limits, 1 << 20, 15 << 10, 0},
		{"body too large", limits, 1<<20 + 1, 0, 413},
		{"header too large", limits, 0, 21 << 10, 431},
		{"no limits configured", intent.Limits{}, 2 << 20, 32 << 10, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", tc.body)))
			r.Header.Set("X-Large", strings.Repeat("h", tc.header))
			status, _ := checkLimits(r, tc.limits)
			g.Expect(status).To(Equal(tc.status))
		})
	}
}
