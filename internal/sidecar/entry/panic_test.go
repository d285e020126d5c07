package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/arrival"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	. "github.com/onsi/gomega"
)

// noArrivals is a node whose target runs no requests.
type noArrivals struct{ Arrivals }

func (noArrivals) IsCall(string) bool             { return false }
func (noArrivals) Parent(string) *arrival.Running { return nil }

// logWriter collects log lines.
type logWriter struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logWriter) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against a request that ends in a panic and about which the log says nothing, since net/http recovers
// the panic.
func TestPanicsAreLoggedWithTheirRequest(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cause  any
		logged bool
	}{
		{"an error", "odd", true},
		{"the end of a response that was logged", http.ErrAbortHandler, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			output := &logWriter{}
			events := eventlog.New("me", output)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); events.Run(ctx) }()
			egress := New(Options{
				Node: "me", Now: func() time.Duration { return 0 }, Headers: headers.Names{RequestID: "X-Id"}, Ingress: noArrivals{},
				Configuration: configuration.New(nil, nil), ConfigFresh: func() bool { panic(tc.cause) },
				Metrics: metrics.New(metrics.Gauges{EachPrice: func(func(string, float64, float64)) {}}), Events: events,
				Begin: func(w http.ResponseWriter, r *http.Request) (*duplex.Writer, *http.Request, func(), bool) {
					writer, request := duplex.Begin(w, r, nil)
					return writer, request, func() {}, false
				},
				CountClient: func() func() { return func() {} },
			})
			incoming := httptest.NewRequest(http.MethodGet, "/", nil)
			incoming.Header.Set("X-Id", "r1")
			g.Expect(func() { egress.ServeHTTP(httptest.NewRecorder(), incoming) }).To(PanicWith(tc.cause))
			cancel()
			<-ended
			if tc.logged {
				g.Expect(output.String()).To(And(ContainSubstring(`"request":"r1"`), ContainSubstring(`"reason":"internal_error"`)))
			} else {
				g.Expect(output.String()).To(BeEmpty())
			}
		})
	}
}
