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

// statusWith sends a request with a body through the node of a machine and returns the answer.
func statusWith(m *testbed.Mesh, machine *testbed.Machine, method, uri, body string) (status int, header http.Header, text string) {
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

// command runs a command of the operators against the mesh's store.
func command(m *testbed.Mesh, g *WithT, input string, arguments ...string) (string, error) {
	var output bytes.Buffer
	application := kingpin.New("landingmast", "")
	commands := operator.Register(application, &output, operator.Stores{
		Open: func(address string) store.Store {
			return platform.NewStore(address, m.Network.Dialer("10.0.0.2"))
		},
		CrashKey: platform.CrashKey, Input: strings.NewReader(input),
	})
	chosen, err := application.Parse(arguments)
	g.Expect(err).NotTo(HaveOccurred())
	err = commands[chosen](context.Background())
	return output.String(), err
}

// A request that is held back is refused for good, without being invited back; those that
// differ from it are served; an operator sees it and lifts it, at all nodes.
func TestHeldRequestIsSeenAndLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := deployment.WithSpares()
		for index := range plan.Routes {
			plan.Routes[index].PerSecond = 0
		}
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.Settle)
		mesh.Harmful.Add("/order/harmful", "bad")
		for range 5 {
			statusWith(mesh, mesh.Machines[0], http.MethodPost, "/order/harmful", "bad")
			time.Sleep(4 * time.Second)
		}
		for _, machine := range mesh.Machines {
			status, header, text := statusWith(mesh, machine, http.MethodPost, "/order/harmful", "bad")
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(header.Get("Retry-After")).To(BeEmpty())
			g.Expect(text).To(Equal(judge.HeldBackText))
			for _, other := range []struct{ method, uri, body string }{
				{http.MethodPost, "/order/harmful", "good"},
				{http.MethodPost, "/order/other", "bad"},
				{http.MethodGet, "/order/harmful", ""},
			} {
				status, _, _ = statusWith(mesh, machine, other.method, other.uri, other.body)
				g.Expect(status).To(Equal(http.StatusOK), "%v", other)
			}
		}

		var held []struct {
			Digest, Service, Route string
			Targets                []string
		}
		shown, err := command(mesh, g, "", "--output", "json", "held", "list", "--store", testbed.StoreAddress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Unmarshal([]byte(shown), &held)).To(Succeed())
		g.Expect(held).To(HaveLen(1))
		g.Expect(held[0].Targets).To(HaveLen(3))
		g.Expect(held[0].Service).To(Equal("middle"))
		g.Expect(held[0].Route).To(Equal("r/order/"))

		_, err = command(mesh, g, "no\n", "held", "lift", held[0].Digest, "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("nothing was lifted")))
		_, err = command(mesh, g, "", "held", "lift", "--yes", strings.Repeat("0", 32), "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("remedy")))
		_, err = command(mesh, g, "", "held", "lift", "--yes", "0a", "--store", testbed.StoreAddress)
		g.Expect(err).To(MatchError(ContainSubstring("no digest")))

		mesh.Harmful.Remove("/order/harmful", "bad")
		_, err = command(mesh, g, "yes\n", "held", "lift", held[0].Digest, "--store", testbed.StoreAddress)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		for _, machine := range mesh.Machines {
			status, _, _ := statusWith(mesh, machine, http.MethodPost, "/order/harmful", "bad")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(mesh.Judge.Broken()).To(BeEmpty())
	})
}

// costNodes is a third size, which takes long with the race detector.
var costNodes = flag.Int("cost.nodes", 0, "size of a large mesh for the cost of an end; 0: none")

// What an end costs the store grows with the zones, not with the nodes, and all nodes know of
// it within contact.
func TestCostOfAnEnd(t *testing.T) {
	for _, tc := range []struct{ nodes, most int }{{15, 10}, {100, 16}, {*costNodes, 16}} {
		if tc.nodes == 0 {
			continue
		}
		t.Run(strconv.Itoa(tc.nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(wide(tc.nodes))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.Settle)
				path := mesh.Plan.Routes[0].Prefix + "harmful"
				mesh.Harmful.Add(path, "")
				before := mesh.Store.Writes()
				for range 3 { // with many nodes, one has no repeat of its own to spend
					statusWith(mesh, mesh.Machines[0], http.MethodGet, path, "")
				}
				time.Sleep(judge.Contact)
				t.Logf("%d nodes: %d writes of the store for three ends", tc.nodes, mesh.Store.Writes()-before)
				g.Expect(mesh.Store.Writes() - before).To(BeNumerically("<=", tc.most))
				sent := 0
				for _, machine := range mesh.Machines {
					if _, _, text := statusWith(mesh, machine, http.MethodGet, path, ""); text != judge.HeldBackText {
						sent++
					}
				}
				g.Expect(sent).To(BeNumerically("<=", 1)) // where other callers began, one node tries
			})
		})
	}
}
