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

// output collects the logs of all nodes.
type output struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.Buffer.Write(data)
}

// text returns what was written so far, also while nodes write.
func (o *output) text() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.Buffer.String()
}

// logsOf plays a day and returns the lines that its nodes wrote.
func logsOf(t *testing.T, plan deployment.Plan, disturb func(mesh *testbed.Mesh)) []logquery.Line {
	t.Helper()
	logs := &output{}
	plan.Output = logs
	play(t, plan, 8*time.Second, disturb)
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

// first returns the id of the first request that ended with a reason at the node
// where it began.
func first(t *testing.T, lines []logquery.Line, wanted func(fields map[string]any) bool) string {
	t.Helper()
	for _, line := range lines {
		if line.Kind == "request" && line.Fields["parent"] == nil && wanted(line.Fields) {
			return line.Fields["request"].(string)
		}
	}
	t.Fatal("no such request was logged")
	return ""
}

func story(t *testing.T, lines []logquery.Line, id string) string {
	t.Helper()
	var told strings.Builder
	if err := logquery.Story(&told, lines, id); err != nil {
		t.Fatal(err)
	}
	return told.String()
}

// scarce is a mesh whose deepest service can serve half of what is asked.
func scarce() deployment.Plan {
	plan := deployment.ThreeDeep()
	deep := plan.Services["deep"]
	deep.Slots = 3
	plan.Services["deep"] = deep
	plan.Routes[0].PerSecond = 300
	return plan
}

// A refusal: the lines name the service down the chain that is full, and the share.
func TestStoryOfARefusalNamesTheScarceService(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := scarce()
	lines := logsOf(t, plan, nil)
	refused := func(fields map[string]any) bool { return fields["reason"] == "overload" }
	// The very first ones may come before any request has ended: nothing waits yet that
	// could be named, the window of a start is full.
	const full = "[0-9]+ of the route were in flight here and [0-9.]+ fit, told to come back after"
	g.Expect(story(t, lines, first(t, lines, refused))).To(MatchRegexp(full))
	named := first(t, lines, func(fields map[string]any) bool { return refused(fields) && fields["decisive"] != nil })
	g.Expect(story(t, lines, named)).To(MatchRegexp("of the route let in because [a-z]+ is at [0-9.]+ of its slots, " + full))
}

// An unknown outcome: the lines name the node whose connection broke.
func TestStoryOfAnUnknownOutcomeNamesTheNodeThatDied(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := logsOf(t, deployment.ThreeDeep(), func(mesh *testbed.Mesh) {
		for range 6 {
			time.Sleep(time.Second)
			testbed.KillAndRestart([]*testbed.Machine{mesh.Machines[len(mesh.Machines)-1], mesh.Machines[len(mesh.Machines)-2]}) // beside middle
		}
	})
	id := first(t, lines, func(fields map[string]any) bool { return fields["status"] == 502.0 })
	g.Expect(story(t, lines, id)).To(ContainSubstring("unknown/lost"))
}

// An answer held too long: the lines show the time at the slow target.
func TestStoryOfASlowAnswerNamesTheTarget(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var slow string
	lines := logsOf(t, deployment.ThreeDeep(), func(mesh *testbed.Mesh) {
		late := mesh.Machines[0].Target
		slow = late.Instance()
		late.SetFaults(target.Faults{Slow: 200})
		time.Sleep(3 * time.Second)
		late.SetFaults(target.Faults{})
	})
	id := ""
	for _, line := range lines {
		if line.Kind == "run" && line.Fields["instance"] == slow && line.Fields["outcome"] == "unknown" {
			id, _, _ = strings.Cut(line.Fields["request"].(string), ".")
		}
	}
	g.Expect(id).NotTo(BeEmpty())
	g.Expect(story(t, lines, id)).To(MatchRegexp("run at " + slow + " .*unknown/(timeout|cancelled)"))
}

// A tenant beyond its limit: the lines name it, and the summary of losses does.
func TestStoryOfALimitNamesTheTenant(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := logsOf(t, hotTenant(), nil)
	id := first(t, lines, func(fields map[string]any) bool { return fields["status"] == 429.0 })
	g.Expect(story(t, lines, id)).To(MatchRegexp("status 429, reason over_quota, .*of tenant tenant0, told to come back after"))
	byTenant := 0
	for _, loss := range logquery.Lost(lines) {
		if loss.Ended == "refused" && loss.Service == "tenant tenant0" && loss.Reason == "over_quota" {
			byTenant++
		}
	}
	g.Expect(byTenant).To(BeNumerically(">", 100))
}

// A key that was taken away: the lines tell the version that no longer has it.
func TestStoryOfAKeyTakenAwayNamesTheVersion(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	lines := logsOf(t, withTenants(3), func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		mesh.TakeKey(0, 0)
	})
	id := first(t, lines, func(fields map[string]any) bool { return fields["status"] == 401.0 })
	told := story(t, lines, id)
	g.Expect(told).To(MatchRegexp("by version 4: status 401, reason unknown_key"))
	g.Expect(told).NotTo(ContainSubstring("key-tenant"))
}

// Under a shortage that begins with a restart of all, the mesh finds its way back:
// what chains need is learned although nothing is served yet.
func TestRestartUnderShortageDoesNotStayCollapsed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := scarce()
	mesh := play(t, plan, 16*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		testbed.KillAndRestart(mesh.Some(rand.New(rand.NewPCG(3, 4)), 1))
	})
	g.Expect(mesh.Judge.Broken()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/order/")).To(BeNumerically(">", 0.9))
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">", 0.2))
}
