package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/logquery"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/client"
	. "github.com/onsi/gomega"
)

// startWaits returns the logged client requests that waited at the start of their chains.
func startWaits(lines []logquery.Line) (waited []logquery.Line) {
	for _, line := range lines {
		if wait, _ := line.Fields["start_wait_ms"].(float64); line.Kind == "request" && wait > 0 {
			waited = append(waited, line)
		}
	}
	return waited
}

// During a shortage requests wait for their turn, none longer than an eighth of its objective, and those
// that are admitted after a wait are served. The switch must end the waits.
func TestRequestsWaitAtTheStartOfChains(t *testing.T) {
	for _, tc := range []struct {
		name  string
		off   []settings.Mechanism
		waits bool
	}{
		{"on", nil, true},
		{"off", []settings.Mechanism{settings.StartQueue}, false},
		{"no prices", []settings.Mechanism{settings.Prices}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := sharedPlan(1.6)
			plan.PolicyOff = tc.off
			lines := collectLogs(t, plan, nil)
			served, refused := 0, 0
			for _, line := range startWaits(lines) {
				const slack = 1.0 // ms
				wait, objective := line.Fields["start_wait_ms"].(float64), line.Fields["objective_ms"].(float64)
				g.Expect(wait).To(BeNumerically("<=", objective*settings.DefaultMaxWaitShare+slack))
				switch line.Fields["status"] {
				case 200.0:
					served++
				case 503.0:
					refused++
				}
			}
			t.Logf("served after a wait %d, refused after a wait %d", served, refused)
			g.Expect(served > 5).To(Equal(tc.waits))
			g.Expect(served+refused > 0).To(Equal(tc.waits))
			if tc.waits {
				id := firstRequest(t, lines, func(fields map[string]any) bool { return fields["start_wait_ms"] != nil })
				g.Expect(requestStory(t, lines, id)).To(ContainSubstring("for its turn at the start of the chain"))
			}
		})
	}
}

// A request whose client disconnects while it waits must reach no target: nobody would read the response.
func TestClientsThatLeaveTheStartQueue(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var judged *testbed.Mesh
	lines := collectLogs(t, sharedPlan(1.8), func(mesh *testbed.Mesh) {
		judged = mesh
		mesh.Clients.SetAbandonAfter(120 * time.Millisecond)
	})
	g.Expect(judged.Judge.Violations()).To(BeEmpty())
	left := map[any]bool{}
	for _, line := range startWaits(lines) {
		if line.Fields["status"] == 0.0 && line.Fields["sends"] == nil {
			left[line.Fields["request"]] = true
		}
	}
	t.Logf("%d clients left while their requests waited", len(left))
	g.Expect(len(left)).To(BeNumerically(">", 3))
	for _, line := range lines {
		g.Expect(line.Kind == "run" && left[line.Fields["request"]]).To(BeFalse(), "request %v reached a target", line.Fields["request"])
	}
}

// A planned stop must answer the requests that wait when it begins and while it goes on. Guards against a
// wait that is cut with the process.
func TestPlannedStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const acceptFor = 2400 * time.Millisecond // a stopping node refuses new requests after 2.5 s
	const timeout = 2 * time.Second           // ends before the grace period does
	plan := sharedPlan(1)
	plan.Routes[1].Timeout, plan.Routes[1].Objective, plan.Routes[1].Deadline = timeout, timeout, timeout+time.Second
	var judged *testbed.Mesh
	var mutex sync.Mutex
	var longest time.Duration
	var answered, cut atomic.Int64
	stopping := map[string]time.Time{} // by node
	lines := collectLogs(t, plan, func(mesh *testbed.Mesh) {
		judged = mesh
		view := mesh.Plan.Routes[1]
		var stops sync.WaitGroup
		for _, machine := range mesh.Machines[4:8] { // beside targets of "front"
			stops.Go(func() {
				origin := client.Origin{IP: machine.IP, Outbound: machine.Outbound(), Service: machine.Target.Service}
				began := time.Now().Add(3 * time.Second) // there is a price until then
				stops.Go(func() {
					for time.Since(began) < acceptFor {
						time.Sleep(80 * time.Millisecond)
						stops.Go(func() {
							status, _ := mesh.Clients.Attempt(context.Background(), origin, view, view.Prefix+"x", "", "", time.Now().Add(view.Deadline))
							if status == 0 {
								cut.Add(1)
								return
							}
							answered.Add(1)
						})
					}
				})
				time.Sleep(time.Until(began))
				mesh.Judge.Stopping(machine.IP)
				machine.Stop()
				mutex.Lock()
				defer mutex.Unlock()
				stopping["node-"+machine.IP] = began
				longest = max(longest, time.Since(began))
			})
		}
		stops.Wait()
	})
	waited := 0
	for _, line := range startWaits(lines) {
		if began, stops := stopping[line.Node]; stops && line.Time.After(began) {
			waited++
			g.Expect(line.Fields["status"] == 0.0 && line.Fields["sends"] == nil).To(BeFalse(), "request %v was not answered", line.Fields["request"])
		}
	}
	t.Logf("stops took %s, %d answered, %d cut, %d waited", longest, answered.Load(), cut.Load(), waited)
	g.Expect(judged.Judge.Violations()).To(BeEmpty())
	g.Expect(judged.Judge.LostDuringStops()).To(BeZero())
	g.Expect(cut.Load()).To(BeZero())
	g.Expect(answered.Load()).To(BeNumerically(">", 100))
	g.Expect(waited).To(BeNumerically(">", 5))
	g.Expect(longest).To(BeNumerically("<", 5500*time.Millisecond))
}
