package fleet

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	. "github.com/onsi/gomega"
)

// The judge must report deliberate violations of the rules that it checks at the end of a run, and
// only those.
func TestJudgeReportsViolations(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rule   string // empty: no violation
		inject func(mesh *testbed.Mesh)
	}{
		{"nothing", "", func(*testbed.Mesh) {}},
		{"retries within the allowance", "", func(mesh *testbed.Mesh) { reportArrivals(mesh.Judge, 10, 4) }},
		{"retries beyond the allowance", "BUDGET", func(mesh *testbed.Mesh) { reportArrivals(mesh.Judge, 10, 8) }},
		{"well-formed requests denied", "DENIED", func(mesh *testbed.Mesh) {
			for range judge.MaxDenied + 1 {
				mesh.Judge.Expect("r", "10.1.0.1", "/x", "deep", "front", false, 1)
				mesh.Judge.Received("r", 404, "", nil)
			}
		}},
		{"a harmful request sent three more times after three crashes", "", func(mesh *testbed.Mesh) { sendAfterCrashes(mesh.Judge, 3) }},
		{"a harmful request sent four more times after three crashes", "BUDGET", func(mesh *testbed.Mesh) { sendAfterCrashes(mesh.Judge, 4) }},
		{"three requests cut by a planned stop", "", func(mesh *testbed.Mesh) { cutDuringStop(mesh.Judge, 3) }},
		{"four requests cut by a planned stop", "LOST", func(mesh *testbed.Mesh) { cutDuringStop(mesh.Judge, 4) }},
		{"four waiting requests cut by a planned stop", "LOST", func(mesh *testbed.Mesh) { cutWhileWaiting(mesh.Judge, 4, 300*time.Millisecond) }},
		{"four requests that may be unread cut by a planned stop", "", func(mesh *testbed.Mesh) { cutWhileWaiting(mesh.Judge, 4, 100*time.Millisecond) }},
		{"four requests cut where the node was killed", "", func(mesh *testbed.Mesh) {
			mesh.Judge.MarkDisturbed("10.1.0.1")
			cutDuringStop(mesh.Judge, 4)
		}},
		{"as many requests as a stated rate allows", "", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Limited: true, RateLimit: 2}, judge.FaultRecovery, 17)
		}},
		{"more requests than a stated rate allows", "LIMIT", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Limited: true, RateLimit: 2}, judge.FaultRecovery, 18)
		}},
		{"more requests than a stated rate allows, at once", "", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Limited: true, RateLimit: 2}, time.Second, 18)
		}},
		{"more requests than a rate allowed that was lifted", "", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Limited: true, RateLimit: 2}, judge.FaultRecovery, 0)
			mesh.Judge.StatesNoRate(stating)
			sendToStating(mesh.Judge, judge.Statement{}, 0, 30)
		}},
		{"a request soon after its target stated that it leaves", "", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Leaving: true}, time.Second, 1)
		}},
		{"a request after its target stated that it leaves", "DRAIN", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Leaving: true}, testbed.DrainGracePeriod+time.Millisecond, 1)
		}},
		{"a request after its target stated that it leaves, from a node that was restarted", "", func(mesh *testbed.Mesh) {
			sendToStating(mesh.Judge, judge.Statement{Leaving: true}, testbed.DrainGracePeriod+time.Millisecond, 0)
			mesh.Judge.Restarted("10.1.0.1")
			sendToStating(mesh.Judge, judge.Statement{}, 0, 1)
		}},
		{"a request soon after the drain of its target was acknowledged", "", func(mesh *testbed.Mesh) {
			reachDraining(mesh.Judge, testbed.DrainGracePeriod, false)
		}},
		{"a request after the drain of its target was acknowledged", "DRAIN", func(mesh *testbed.Mesh) {
			reachDraining(mesh.Judge, testbed.DrainGracePeriod+time.Millisecond, false)
		}},
		{"the same, after its node was restarted", "DRAIN", func(mesh *testbed.Mesh) {
			reachDraining(mesh.Judge, testbed.DrainGracePeriod+time.Millisecond, true)
		}},
		{"the same, where the node is of an earlier release", "", func(mesh *testbed.Mesh) {
			mesh.Judge.ForgetsDepartures("10.1.0.2")
			reachDraining(mesh.Judge, testbed.DrainGracePeriod+time.Millisecond, true)
		}},
		{"a node of an earlier release that was not restarted", "DRAIN", func(mesh *testbed.Mesh) {
			mesh.Judge.ForgetsDepartures("10.1.0.2")
			reachDraining(mesh.Judge, testbed.DrainGracePeriod+time.Millisecond, false)
		}},
		{"a configuration that no watch delivers", "CONFIG", func(mesh *testbed.Mesh) {
			mesh.Store.HideEvents()
			mesh.Configure(nil)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(deployment.ThreeTier())
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				tc.inject(mesh)
				mesh.CheckFinal()
				violations := mesh.Judge.Violations()
				if tc.rule == "" {
					g.Expect(violations).To(BeEmpty())
					return
				}
				g.Expect(violations).NotTo(BeEmpty())
				for _, violation := range violations {
					g.Expect(strings.HasPrefix(violation, tc.rule)).To(BeTrue(), violation)
				}
			})
		})
	}
}

// sendAfterCrashes reports a harmful request that crashes three targets, then more runs of it after
// judge.Contact.
func sendAfterCrashes(j *judge.Judge, more int) {
	j.ExpectHarmful("/deep/harmful", "")
	for send := range judge.HarmfulThreshold + more {
		if send == judge.HarmfulThreshold {
			time.Sleep(judge.FaultRecovery + time.Millisecond)
		}
		id := "harmful-" + strconv.Itoa(send)
		j.Expect(id, "10.1.0.2", "/deep/harmful", "deep", "front", false, 1)
		j.Crashed(j.RunStarted(judge.Endpoint{Service: "deep", IP: "10.1.0.1"}, newRequest("/deep/harmful", id), nil))
	}
}

// stating is the instance of the target of sendToStating.
const stating = "i-stating"

// sendToStating reports a request that a target answers with a statement and, after a while, more
// requests from the same machine.
func sendToStating(j *judge.Judge, statement judge.Statement, wait time.Duration, more int) {
	if statement.Limited {
		j.StatesRate(stating, statement.RateLimit)
	}
	send := func(id string, statement judge.Statement) {
		j.Expect(id, "10.1.0.1", "/deep/x", "deep", "front", false, 1)
		run := j.RunStarted(judge.Endpoint{Service: "deep", IP: "10.1.0.2", Instance: stating}, newRequest("/deep/x", id), nil)
		signature := judge.Signature(id, http.StatusOK, nil)
		j.Answered(run, http.StatusOK, signature, statement)
		j.Received(id, http.StatusOK, signature, nil)
	}
	if statement != (judge.Statement{}) {
		send("first", statement)
	}
	time.Sleep(wait)
	for number := range more {
		send("later-"+strconv.Itoa(number), statement)
	}
}

// reachDraining reports a request that reaches a target a while after its drain was acknowledged.
func reachDraining(j *judge.Judge, wait time.Duration, restarted bool) {
	at := judge.Endpoint{Service: "deep", IP: "10.1.0.2", Instance: "i-draining"}
	j.Draining(at.Instance)
	time.Sleep(wait)
	if restarted {
		j.Restarted(at.IP)
	}
	j.Expect("late", "10.1.0.1", "/deep/x", "deep", "front", false, 1)
	j.RunStarted(at, newRequest("/deep/x", "late"), nil)
}

// newRequest returns a request as a target receives it.
func newRequest(path, id string) *http.Request {
	request, _ := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Caller-Service: front\r\n\r\n")))
	return request
}

// cutDuringStop reports running requests that are cut by a planned stop of their node.
func cutDuringStop(j *judge.Judge, requests int) {
	j.Stopping("10.1.0.1")
	for number := range requests {
		id := "cut-" + strconv.Itoa(number)
		j.Expect(id, "10.1.0.1", "/deep/x", "deep", "front", false, 1)
		j.RunStarted(judge.Endpoint{Service: "deep", IP: "10.1.0.2"}, newRequest("/deep/x", id), nil)
		j.ConnectionLost(id, time.Now().Add(time.Second))
	}
}

// cutWhileWaiting reports requests that have reached no target and are cut by a planned stop some time
// after they were sent.
func cutWhileWaiting(j *judge.Judge, requests int, after time.Duration) {
	j.Stopping("10.1.0.1")
	for number := range requests {
		j.Expect("cut-"+strconv.Itoa(number), "10.1.0.1", "/deep/x", "deep", "front", false, 1)
	}
	time.Sleep(after)
	for number := range requests {
		j.ConnectionLost("cut-"+strconv.Itoa(number), time.Now().Add(time.Second))
	}
}

// reportArrivals reports requests that each reach a target several times.
func reportArrivals(j *judge.Judge, requests, times int) {
	for i := range requests {
		id := string(rune('a' + i))
		j.Expect(id, "10.1.0.1", "/x", "deep", "front", false, times)
		for range times {
			j.RunStarted(judge.Endpoint{Service: "deep", IP: "10.1.0.1"}, newRequest("/x", id), nil)
		}
	}
}
