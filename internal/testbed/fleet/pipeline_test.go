package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// pipelinedPlan is a deployment without clients of its own.
func pipelinedPlan() deployment.Plan {
	return deployment.Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]deployment.Service{
			"songs": {Targets: 3, Slots: 60, Works: []target.Work{{Prefix: "/song/", Time: 20 * time.Millisecond, Bytes: 3000}, {Prefix: "/order/", Time: 10 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []deployment.Route{
			{Prefix: "/song/", Kind: deployment.Safe, Service: "songs", Priority: 1, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Deadline: 3 * time.Second},
			{Prefix: "/order/", Kind: deployment.Unsafe, Service: "songs", Priority: 0, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Deadline: 3 * time.Second, Body: 300},
		},
	}
}

// runPipelining runs clients that send bursts of requests for a span.
func runPipelining(t *testing.T, span, leaveAfter time.Duration, disturb func(mesh *testbed.Mesh)) *testbed.Mesh {
	t.Helper()
	plan := pipelinedPlan()
	songs := plan.Routes[:1]
	mixed := append(append([]deployment.Route{}, songs[0], songs[0], songs[0], songs[0], songs[0]), plan.Routes...)
	return runMesh(t, plan, 0, func(mesh *testbed.Mesh) {
		ctx, cancel := context.WithTimeout(context.Background(), span)
		defer cancel()
		var clients sync.WaitGroup
		for range 3 {
			clients.Go(func() { mesh.Clients.SendPipelined(ctx, songs, leaveAfter) })
			clients.Go(func() { mesh.Clients.SendPipelined(ctx, mixed, leaveAfter) })
		}
		if disturb != nil {
			disturb(mesh)
		}
		clients.Wait()
	})
}

// Guards against requests behind another one that are not handled at once, and against a switch
// without effect.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	const burst = 6 // fewer than the window of a route admits at first
	for _, tc := range []struct {
		name           string
		off            []settings.Mechanism
		minimum, limit time.Duration
	}{
		{"on", nil, 0, 60 * time.Millisecond},
		{"off", []settings.Mechanism{settings.Pipelining}, 70 * time.Millisecond, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			plan := pipelinedPlan()
			plan.PolicyOff = tc.off
			var took time.Duration
			mesh := runMesh(t, plan, 0, func(mesh *testbed.Mesh) {
				machine := mesh.Machines[0]
				conn, err := mesh.Clients.Dialer(machine.IP)(context.Background(), "tcp", machine.Outbound())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				began := time.Now()
				for i := range burst {
					id := fmt.Sprintf("burst-%d", i)
					mesh.Judge.Expect(id, machine.IP, "/song/x", "songs", "", false, 2)
					_, err := fmt.Fprintf(conn, "GET /song/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", deployment.Host, id)
					g.Expect(err).NotTo(HaveOccurred())
				}
				reader := bufio.NewReader(conn)
				for i := range burst {
					response, err := http.ReadResponse(reader, nil)
					g.Expect(err).NotTo(HaveOccurred())
					content, err := io.ReadAll(response.Body)
					g.Expect(err).NotTo(HaveOccurred())
					mesh.Judge.Received(fmt.Sprintf("burst-%d", i), response.StatusCode, response.Header.Get("X-Response-Signature"), content)
					g.Expect(response.StatusCode).To(Equal(http.StatusOK))
				}
				took = time.Since(began)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			t.Logf("%d requests of 20 ms took %s", burst, took)
			g.Expect(took).To(And(BeNumerically(">=", tc.minimum), BeNumerically("<", tc.limit)))
		})
	}
}

// Guards against responses that reach the wrong request, and requests that run twice or are lost,
// with clients that do not wait for responses.
func TestPipeliningClients(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runPipelining(t, 8*time.Second, 0, nil)
	served, sent := mesh.Tally.Totals()
	t.Logf("served %d of %d, answers %v", served, sent, mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(sent).To(BeNumerically(">", 1000))
	g.Expect(float64(served)).To(BeNumerically(">=", 0.99*float64(sent)))
}

// Guards against requests that reach a target after their client has left while they waited behind
// others on its connection.
func TestPipeliningClientsThatLeave(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runPipelining(t, 8*time.Second, 60*time.Millisecond, nil)
	served, sent := mesh.Tally.Totals()
	t.Logf("served %d of %d, answers %v", served, sent, mesh.Tally.Status)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(sent).To(BeNumerically(">", 500))
}

// Guards against a planned stop that cuts requests which were read ahead, or that does not end while
// clients go on.
func TestPlannedStopWithPipeliningClients(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var took time.Duration
	mesh := runPipelining(t, 14*time.Second, 0, func(mesh *testbed.Mesh) {
		for _, machine := range mesh.Machines[:2] {
			time.Sleep(time.Second)
			mesh.Judge.Stopping(machine.IP)
			began := time.Now()
			machine.Stop()
			took = max(took, time.Since(began))
			_ = machine.Start()
		}
	})
	served, sent := mesh.Tally.Totals()
	t.Logf("served %d of %d, answers %v, stop took %s", served, sent, mesh.Tally.Status, took)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Judge.LostDuringStops()).To(BeZero())
	g.Expect(took).To(BeNumerically("<", 4*time.Second))
	g.Expect(mesh.Tally.Status[http.StatusOK]).To(BeNumerically(">", 1000))
}
