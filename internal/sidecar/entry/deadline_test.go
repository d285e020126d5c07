package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/headers"
	. "github.com/onsi/gomega"
)

// A deadline that cannot be read must not count as one of 10 s: requests with a shorter one would be
// taken for requests that return after a refusal.
func TestStatedTimeout(t *testing.T) {
	const header = "X-Left"
	for _, tc := range []struct {
		text          string
		valid         bool
		stated, total time.Duration
	}{
		{"", false, 0, defaultTimeout},
		{"soon", false, 0, defaultTimeout},
		{"-5", false, 0, defaultTimeout},
		{"NaN", false, 0, defaultTimeout},
		{"0", true, 0, 0},
		{"1500", true, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"0.5", true, 500 * time.Microsecond, 500 * time.Microsecond},
	} {
		t.Run(tc.text, func(t *testing.T) {
			g := NewWithT(t)
			r := &request{options: &Options{Headers: headers.Names{Deadline: header}}, incoming: httptest.NewRequest(http.MethodGet, "/", nil)}
			r.incoming.Header.Set(header, tc.text)
			stated, valid := r.statedTimeout()
			g.Expect(valid).To(Equal(tc.valid))
			g.Expect(stated).To(Equal(tc.stated))
			g.Expect(r.clientTimeout()).To(Equal(tc.total))
		})
	}
}
