package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	. "github.com/onsi/gomega"
)

// Guards against the admission window growing while requests time out: a timeout reports no waits
// and must count as missing capacity.
func TestTimedOutRequestShrinksWindow(t *testing.T) {
	for _, tc := range []struct {
		name       string
		status     int
		noCapacity bool
		shrinks    bool
	}{
		{"answered", http.StatusOK, false, false},
		{"timed out", http.StatusGatewayTimeout, false, true},
		{"no capacity", http.StatusServiceUnavailable, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Duration { return 0 }
			control := admission.New(admission.Options{Now: now, Configuration: configuration.New(nil, nil)})
			route := &intent.Route{Name: "read", Objective: time.Second}
			r := &request{options: &Options{Now: now, Admission: control}, route: route, incoming: httptest.NewRequest(http.MethodGet, "/", nil), timeout: time.Second, status: tc.status, noCapacity: tc.noCapacity}
			admitted, _ := control.Admit(route, "", time.Second)
			g.Expect(admitted).To(BeTrue())
			_, before := control.Window(route)
			r.releaseWindow()
			_, after := control.Window(route)
			g.Expect(after < before).To(Equal(tc.shrinks), "window size %g before, %g after", before, after)
		})
	}
}
