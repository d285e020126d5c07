package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/duplex"
	"github.com/landingmast/landingmast/internal/sidecar/admission"
	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/metrics"
	"github.com/landingmast/landingmast/internal/sidecar/services"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// countingQuotas counts the tokens that are returned.
type countingQuotas struct {
	Quotas
	returned int
}

func (q *countingQuotas) ReturnToken(*intent.Tenant) { q.returned++ }

// shortEgress returns the options of a node at which a price admits only a share of the route "read".
func shortEgress(quotas Quotas) *Options {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	known := configuration.New(nil, nil)
	control := admission.New(admission.Options{Now: now, Configuration: known})
	for range 60 { // longer than the first limit of the window holds
		time.Sleep(50 * time.Millisecond)
		control.RecordNeeds(&intent.Route{Name: "read"}, []wire.Need{{Service: "deep", Calls: 1, SlotTime: 100 * time.Millisecond, Offered: 2}}, true, false)
	}
	return &Options{
		Now: now, Configuration: known, Quotas: quotas, Admission: control,
		Services: services.New(services.Options{Node: "me", Zone: "a", Now: now, Budget: retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second}}),
		PolicyOn: func(settings.Mechanism) bool { return true }, MaxWaitShare: func() float64 { return settings.DefaultMaxWaitShare },
		Metrics: metrics.New(metrics.Gauges{EachPrice: func(func(string, float64, float64)) {}}), Events: eventlog.New("me", io.Discard),
	}
}

// admitOne runs the step admit for a request whose client disconnects after a time; 0: it does not. It
// reports whether the connection was aborted.
func admitOne(options *Options, timeout, objective, leaves time.Duration) (r *request, admitted, aborted bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaves > 0 {
		time.AfterFunc(leaves, cancel)
	}
	writer, incoming := duplex.Begin(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/read", nil).WithContext(ctx), nil)
	r = &request{
		id: "a", options: options, returns: newReturns(), splitter: &weightedSplitter{credit: map[string][]float64{}}, writer: writer, incoming: incoming, started: options.Now(), timeout: timeout,
		route: &intent.Route{Name: "read", Objective: objective, Backends: []intent.Backend{{Service: "front", Weight: 1}}},
	}
	r.startTimeout()
	defer r.finish()
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			aborted = true
		default:
			panic(cause)
		}
	}()
	admitted = r.admit()
	return r, admitted, false
}

// A request that leaves the queue without being admitted must give its token back, once: it never reaches a
// target, and its tenant would be refused for it later. A client that has gone gets no response.
func TestRequestsThatAreNotAdmittedReturnTheirToken(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leaves time.Duration
	}{
		{"refused", 0},
		{"client left", 20 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				quotas := &countingQuotas{}
				options := shortEgress(quotas)
				waited, missing := 0, 0
				for range 20 {
					r, admitted, aborted := admitOne(options, 2*time.Second, time.Second, tc.leaves)
					if r.decision.StartWait > 0 {
						waited++
					}
					if !admitted || aborted {
						missing++
					}
					g.Expect(aborted).To(Equal(tc.leaves > 0 && r.decision.StartWait > 0))
				}
				g.Expect(waited).To(BeNumerically(">", 3))
				g.Expect(quotas.returned).To(Equal(missing))
			})
		})
	}
}

// A wait counts in the time that a request has: it must be a share of the objective, and no larger share
// of the time that is left when the request arrives late at the decision.
func TestStartLimits(t *testing.T) {
	for _, tc := range []struct {
		name               string
		timeout, objective time.Duration
		elapsed            time.Duration
		off                bool
		want               time.Duration
	}{
		{"objective", 4 * time.Second, time.Second, 0, false, 125 * time.Millisecond},
		{"timeout below the objective", 400 * time.Millisecond, time.Second, 0, false, 50 * time.Millisecond},
		{"no objective", 800 * time.Millisecond, 0, 0, false, 100 * time.Millisecond},
		{"most of the time is gone", time.Second, time.Second, 920 * time.Millisecond, false, 10 * time.Millisecond},
		{"all of the time is gone", time.Second, time.Second, time.Second, false, 0},
		{"off", 4 * time.Second, time.Second, 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			options := &Options{
				Now: func() time.Duration { return tc.elapsed }, MaxWaitShare: func() float64 { return settings.DefaultMaxWaitShare },
				PolicyOn: func(m settings.Mechanism) bool { return !tc.off || m != settings.StartQueue },
			}
			r := &request{options: options, returns: newReturns(), route: &intent.Route{Objective: tc.objective}, timeout: tc.timeout, ctx: context.Background()}
			limits := r.startLimits()
			g.Expect(limits.MaxWait).To(Equal(tc.want))
			g.Expect(limits.Left).To(Equal(tc.timeout - tc.elapsed))
		})
	}
}
