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

// A request whose time ran out has told nothing of its waits: its route's window shrinks
// for it, as for one that found no room. Found on masr-claims-grown scale-1, where the
// window grew with each of 8,500 claims that were let in and failed.
func TestTimeThatRanOutShrinksTheWindow(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		lacked  bool
		shrinks bool
	}{
		{"answered", http.StatusOK, false, false},
		{"its time ran out", http.StatusGatewayTimeout, false, true},
		{"no room in time", http.StatusServiceUnavailable, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Duration { return 0 }
			control := admission.New(now, configuration.New(nil, nil), false)
			route := &intent.Route{Name: "read", Objective: time.Second}
			x := &request{options: &Options{Now: now, Overload: control}, route: route, request: httptest.NewRequest(http.MethodGet, "/", nil), holdFor: time.Second, status: tc.status, lacked: tc.lacked}
			admitted, _ := control.Admit(route)
			g.Expect(admitted).To(BeTrue())
			_, before := control.Window(route)
			x.leaveWindow()
			_, after := control.Window(route)
			g.Expect(after < before).To(Equal(tc.shrinks), "%g, then %g", before, after)
		})
	}
}
