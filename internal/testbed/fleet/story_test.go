package fleet

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/logquery"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/target"
	. "github.com/onsi/gomega"
)

// logBuffer collects the logs of all nodes. It is safe for concurrent writes.
type logBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(data)
}

// text returns the logs so far. It is safe to call during writes.
func (b *logBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.String()
}

// collectLogs runs a mesh and returns the log lines of its nodes.
func collectLogs(t *testing.T, plan deployment.Plan, disturb func(mesh *testbed.Mesh)) []logquery.Line {
	t.Helper()
	logs := &logBuffer{}
	plan.LogOutput = logs
	runMesh(t, plan, 8*time.Second, disturb)
	file := filepath.Join(t.TempDir(), "nodes.log")
	if err := os.WriteFile(file, logs.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	lines, unread, err := logquery.Read([]string{file})
	if err != nil || unread > 0 {
		t.Fatalf("%d lines unread, %v", unread, err)
	}
	return lines
}

// firstRequest returns the id of the first client request whose log fields match.
func firstRequest(t *testing.T, lines []logquery.Line, wanted func(fields map[string]any) bool) string {
	t.Helper()
	for _, line := range lines {
		if line.Kind == "request" && line.Fields["parent"] == nil && wanted(line.Fields) {
			return line.Fields["request"].(string)
		}
	}
	t.Fatal("no matching request was logged")
	return ""
}

func requestStory(t *testing.T, lines []logquery.Line, id string) string {
	t.Helper()
	var text strings.Builder
	if err := logquery.WriteTrace(&text, lines, id); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// overloadedPlan returns a mesh whose last service can serve half of its load.
func overloadedPlan() deployment.Plan {
	plan := deployment.ThreeTier()
	deep := plan.Services["deep"]
	deep.Slots = 3
	plan.Services["deep"] = deep
	plan.Routes[0].RequestsPerSecond = 300
	return plan
}

// The story of a refused request must name the overloaded service and the admitted share.
func TestStoryOfARefusalNamesTheScarceService(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := overloadedPlan()
	lines := collectLogs(t, plan, nil)
	// Refusals by price have other numbers, see TestStoryOfARefusalByPrice of logquery.
	refused := func(fields map[string]any) bool { return fields["reason"] == "overload" && fields["price"] == nil }
	// Early refusals may come from a full initial window, before any service is known to be
	// overloaded.
	const full = "[0-9]+ of the route were in flight here and [0-9.]+ fit, told to come back after"
	g.Expect(requestStory(t, lines, firstRequest(t, lines, refused))).To(MatchRegexp(full))
	named := firstRequest(t, lines, func(fields map[string]any) bool { return refused(fields) && fields["decisive"] != nil })
	g.Expect(requestStory(t, lines, named)).To(MatchRegexp("of the route let in because [a-z]+ is at [0-9.]+ of its slots, " + full))
}

// The story of a request with an unknown outcome must show the lost connection.
func TestStoryOfUnknownOutcomeShowsLostConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := collectLogs(t, deployment.ThreeTier(), func(mesh *testbed.Mesh) {
		for range 6 {
			time.Sleep(time.Second)
			testbed.KillAndRestart([]*testbed.Machine{mesh.Machines[len(mesh.Machines)-1], mesh.Machines[len(mesh.Machines)-2]}) // nodes of the middle service
		}
	})
	id := firstRequest(t, lines, func(fields map[string]any) bool { return fields["status"] == 502.0 })
	g.Expect(requestStory(t, lines, id)).To(ContainSubstring("unknown/lost"))
}

// The story of a slow response must name the slow target.
func TestStoryOfSlowResponseNamesTheTarget(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var slow string
	lines := collectLogs(t, deployment.ThreeTier(), func(mesh *testbed.Mesh) {
		faulty := mesh.Machines[0].Target
		slow = faulty.Instance()
		faulty.SetFaults(target.Faults{Slow: 200})
		time.Sleep(3 * time.Second)
		faulty.SetFaults(target.Faults{})
	})
	id := ""
	for _, line := range lines {
		if line.Kind == "run" && line.Fields["instance"] == slow && line.Fields["outcome"] == "unknown" {
			id, _, _ = strings.Cut(line.Fields["request"].(string), ".")
		}
	}
	g.Expect(id).NotTo(BeEmpty())
	g.Expect(requestStory(t, lines, id)).To(MatchRegexp("run at " + slow + " .*unknown/(timeout|cancelled)"))
}

// The story and the loss summary of a rate-limited request must name the tenant.
func TestStoryOfALimitNamesTheTenant(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := collectLogs(t, withOverLimitTenant(), nil)
	id := firstRequest(t, lines, func(fields map[string]any) bool { return fields["status"] == 429.0 })
	g.Expect(requestStory(t, lines, id)).To(MatchRegexp("status 429, reason over_quota, .*of tenant tenant0, told to come back after"))
	byTenant := 0
	for _, loss := range logquery.Lost(lines) {
		if loss.Kind == "refused" && loss.Service == "tenant tenant0" && loss.Reason == "over_quota" {
			byTenant++
		}
	}
	g.Expect(byTenant).To(BeNumerically(">", 100))
}

// The story of a request with a revoked key must name the configuration version.
func TestStoryOfAKeyTakenAwayNamesTheVersion(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := collectLogs(t, withTenants(3), func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		mesh.RevokeKey(0, 0)
	})
	id := firstRequest(t, lines, func(fields map[string]any) bool { return fields["status"] == 401.0 })
	text := requestStory(t, lines, id)
	g.Expect(text).To(MatchRegexp("by version 4: status 401, reason unknown_key"))
	g.Expect(text).NotTo(ContainSubstring("key-tenant"))
}

// The mesh must recover from a restart of all nodes under overload. Guards against learning the
// cost of chains only from requests that succeed.
func TestRestartUnderShortageDoesNotStayCollapsed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := overloadedPlan()
	mesh := runMesh(t, plan, 16*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		testbed.KillAndRestart(mesh.RandomMachines(rand.New(rand.NewPCG(3, 4)), 1))
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">", 0.9))
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">", 0.2))
}
