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

// A judge that finds nothing proves nothing: each rule over a whole day is broken
// here on purpose.
func TestJudgeFindsWhatIsBroken(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rule  string // empty: none is broken
		spoil func(mesh *testbed.Mesh)
	}{
		{"nothing", "", func(*testbed.Mesh) {}},
		{"repeats within the allowance", "", func(mesh *testbed.Mesh) { arrive(mesh.Judge, 10, 4) }},
		{"repeats beyond it", "BUDGET", func(mesh *testbed.Mesh) { arrive(mesh.Judge, 10, 8) }},
		{"proper requests denied", "DENIED", func(mesh *testbed.Mesh) {
			for range judge.DeniedAtMost + 1 {
				mesh.Judge.Expect("r", "10.1.0.1", "/x", "deep", "front", false, 1)
				mesh.Judge.Received("r", 404, "", nil)
			}
		}},
		{"a harmful request that three targets ended with, sent three times more", "", func(mesh *testbed.Mesh) { endAndSend(mesh.Judge, 3) }},
		{"sent four times more", "BUDGET", func(mesh *testbed.Mesh) { endAndSend(mesh.Judge, 4) }},
		{"three requests cut around planned stops", "", func(mesh *testbed.Mesh) { cutAround(mesh.Judge, 3) }},
		{"four requests cut around planned stops", "LOST", func(mesh *testbed.Mesh) { cutAround(mesh.Judge, 4) }},
		{"four requests cut where the node was killed", "", func(mesh *testbed.Mesh) {
			mesh.Judge.Harmed("10.1.0.1")
			cutAround(mesh.Judge, 4)
		}},
		{"a configuration that no watch hears of", "CONFIG", func(mesh *testbed.Mesh) {
			mesh.Store.Deafen()
			mesh.Configure(nil)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(deployment.ThreeDeep())
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.Settle)
				tc.spoil(mesh)
				mesh.CheckEnd()
				broken := mesh.Judge.Broken()
				if tc.rule == "" {
					g.Expect(broken).To(BeEmpty())
					return
				}
				g.Expect(broken).NotTo(BeEmpty())
				for _, one := range broken {
					g.Expect(strings.HasPrefix(one, tc.rule)).To(BeTrue(), one)
				}
			})
		})
	}
}

// endAndSend has a harmful request end three targets and be sent so many times more, later
// than contact after that.
func endAndSend(j *judge.Judge, more int) {
	j.ExpectHarmful("/deep/harmful", "")
	for send := range judge.HarmKnownAfter + more {
		if send == judge.HarmKnownAfter {
			time.Sleep(judge.Contact + time.Millisecond)
		}
		id := "harmful-" + strconv.Itoa(send)
		j.Expect(id, "10.1.0.2", "/deep/harmful", "deep", "front", false, 1)
		j.Crashed(j.Ran(judge.Place{Service: "deep", IP: "10.1.0.1"}, requestFor("/deep/harmful", id), nil))
	}
}

// requestFor is a request as it arrives at a target.
func requestFor(path, id string) *http.Request {
	request, _ := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Caller-Service: front\r\n\r\n")))
	return request
}

// cutAround has requests that a target had begun be cut while their node stops as planned.
func cutAround(j *judge.Judge, requests int) {
	j.Stopping("10.1.0.1")
	for number := range requests {
		id := "cut-" + strconv.Itoa(number)
		j.Expect(id, "10.1.0.1", "/deep/x", "deep", "front", false, 1)
		j.Ran(judge.Place{Service: "deep", IP: "10.1.0.2"}, requestFor("/deep/x", id), nil)
		j.Cut(id, time.Now().Add(time.Second))
	}
}

// arrive has requests reach a target several times each.
func arrive(j *judge.Judge, requests, times int) {
	for i := range requests {
		id := string(rune('a' + i))
		j.Expect(id, "10.1.0.1", "/x", "deep", "front", false, times)
		for range times {
			j.Ran(judge.Place{Service: "deep", IP: "10.1.0.1"}, requestFor("/x", id), nil)
		}
	}
}
