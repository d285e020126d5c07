package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/operator"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/platform"
	. "github.com/onsi/gomega"
)

// sendRequest sends a request through the node of a machine and returns the response.
func sendRequest(m *testbed.Mesh, machine *testbed.Machine, method, uri, body string) (status int, header http.Header, text string) {
	request, err := http.NewRequest(method, "http://"+machine.Outbound()+uri, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	request.Host = deployment.Host
	request.Header.Set("X-Request-Id", "asked-"+strings.ReplaceAll(time.Now().String(), " ", ""))
	request.Header.Set("X-Deadline-Ms", "2000")
	m.Judge.Expect(request.Header.Get("X-Request-Id"), machine.IP, uri, "", machine.Target.Service, method != http.MethodGet, 3)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.Network.Dialer(machine.IP)}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	var content bytes.Buffer
	_, _ = content.ReadFrom(response.Body)
	return response.StatusCode, response.Header, content.String()
}

// runCommand runs an operator command against the store of the mesh.
func runCommand(m *testbed.Mesh, g *WithT, input string, arguments ...string) (string, error) {
	var output bytes.Buffer
	application := kingpin.New("landingmast", "")
	commands := operator.Register(application, &output, operator.Stores{
		Open: func(address string) store.Store {
			return platform.NewStore(address, m.Network.Dialer("10.0.0.2"))
		},
		CrashKey: platform.CrashesKey, Input: strings.NewReader(input),
	})
	chosen, err := application.Parse(arguments)
	g.Expect(err).NotTo(HaveOccurred())
	err = commands[chosen](context.Background())
	return output.String(), err
}

// A held request must be rejected without Retry-After at every node while similar requests are
// served, and an operator must be able to list it and lift the hold.
func TestHeldRequestCanBeListedAndLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := deployment.ThreeTierWithSpares()
		for index := range plan.Routes {
			plan.Routes[index].RequestsPerSecond = 0
		}
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		mesh.CrashSet.Add("/order/harmful", "bad")
		for range 5 {
			sendRequest(mesh, mesh.Machines[0], http.MethodPost, "/order/harmful", "bad")
			time.Sleep(4 * time.Second)
		}
		for _, machine := range mesh.Machines {
			status, header, text := sendRequest(mesh, machine, http.MethodPost, "/order/harmful", "bad")
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(header.Get("Retry-After")).To(BeEmpty())
			g.Expect(text).To(Equal(judge.HeldBackReason))
			for _, other := range []struct{ method, uri, body string }{
				{http.MethodPost, "/order/harmful", "good"},
				{http.MethodPost, "/order/other", "bad"},
				{http.MethodGet, "/order/harmful", ""},
			} {
				status, _, _ = sendRequest(mesh, machine, other.method, other.uri, other.body)
				g.Expect(status).To(Equal(http.StatusOK), "%v", other)
			}
		}

		var held []struct {
			Digest, Service, Route string
			Targets                []string
		}
		shown, err := runCommand(mesh, g, "", "--output", "json", "held", "list", "--store", testbed.StoreAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Unmarshal([]byte(shown), &held)).To(Succeed())
		g.Expect(held).To(HaveLen(1))
		g.Expect(held[0].Targets).To(HaveLen(3))
		g.Expect(held[0].Service).To(Equal("middle"))
		g.Expect(held[0].Route).To(Equal("r/order/"))

		_, err = runCommand(mesh, g, "no\n", "held", "lift", held[0].Digest, "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("nothing was lifted")))
		_, err = runCommand(mesh, g, "", "held", "lift", "--yes", strings.Repeat("0", 32), "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("remedy")))
		_, err = runCommand(mesh, g, "", "held", "lift", "--yes", "0a", "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("no digest")))

		mesh.CrashSet.Remove("/order/harmful", "bad")
		_, err = runCommand(mesh, g, "yes\n", "held", "lift", held[0].Digest, "--store", testbed.StoreAddress)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		for _, machine := range mesh.Machines {
			status, _, _ := sendRequest(mesh, machine, http.MethodPost, "/order/harmful", "bad")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	})
}

// A request that is sent again as soon as its sender hears of a crash must be rejected after three
// crashes, whether its client or the node of its client sends it. Guards against telling the sender of
// a crash before the other nodes know of it.
func TestCrashIsKnownWhenItsSenderHearsOfIt(t *testing.T) {
	for _, tc := range []struct{ name, method, path string }{
		{"sent again by the client", http.MethodPost, "/order/harmful"},
		{"sent again by the node", http.MethodGet, "/front/harmful"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				plan := deployment.ThreeTierWithSpares()
				for index := range plan.Routes {
					plan.Routes[index].RequestsPerSecond = 0
				}
				mesh, err := testbed.New(plan)
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				mesh.Judge.ExpectHarmful(tc.path, "")
				mesh.CrashSet.Add(tc.path, "")
				for _, machine := range mesh.Machines {
					if machine.Target.Service == mesh.Machines[0].Target.Service { // one node may try it for another caller
						sendRequest(mesh, machine, tc.method, tc.path, "")
					}
				}
				crashes, _ := mesh.Judge.HarmfulStats()
				g.Expect(crashes).To(Equal(judge.HarmfulThreshold))
			})
		})
	}
}

// costNodes adds a mesh size that is slow under the race detector.
var costNodes = flag.Int("cost.nodes", 0, "nodes of an additional large mesh in TestCostOfAnEnd; 0: none")

// Store writes per crash must grow with the number of zones, not nodes, and all nodes must learn
// of the crashes within judge.Contact.
func TestCostOfAnEnd(t *testing.T) {
	for _, tc := range []struct{ nodes, most int }{{15, 10}, {100, 16}, {*costNodes, 16}} {
		if tc.nodes == 0 {
			continue
		}
		t.Run(strconv.Itoa(tc.nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(largePlan(tc.nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				path := mesh.Plan.Routes[0].Prefix + "harmful"
				mesh.CrashSet.Add(path, "")
				before := mesh.Store.Writes()
				for range 3 { // in a large mesh a node's retry budget does not cover a retry
					sendRequest(mesh, mesh.Machines[0], http.MethodGet, path, "")
				}
				time.Sleep(judge.FaultRecovery)
				t.Logf("%d nodes: %d store writes for three crashes", tc.nodes, mesh.Store.Writes()-before)
				g.Expect(mesh.Store.Writes() - before).To(BeNumerically("<=", tc.most))
				sent := 0
				for _, machine := range mesh.Machines {
					if _, _, text := sendRequest(mesh, machine, http.MethodGet, path, ""); text != judge.HeldBackReason {
						sent++
					}
				}
				g.Expect(sent).To(BeNumerically("<=", 1)) // one node may try where other callers start
			})
		})
	}
}
