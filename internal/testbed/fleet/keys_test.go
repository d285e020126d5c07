package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/testbed/store"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
	. "github.com/onsi/gomega"
)

// withTenants returns the small mesh with tenants that stay far below their limits.
func withTenants(count int) deployment.Plan {
	plan := deployment.ThreeTier()
	plan.Tenants = deployment.Tenants(count, 200, 100)
	return plan
}

// Requests with keys must be served and attributed to their tenant, and keys must reach neither
// targets nor logs.
func TestRequestsBelongToTheHolderOfTheirKey(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := withTenants(6)
	logs := &logBuffer{}
	plan.LogOutput = logs
	mesh := runMesh(t, plan, 8*time.Second, nil)
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	for _, prefix := range []string{"/front/", "/order/", "/deep/"} {
		g.Expect(mesh.Tally.Share(prefix)).To(BeNumerically(">", 0.99), "%s: %v", prefix, mesh.Tally.Status)
	}
	g.Expect(logs.String()).NotTo(ContainSubstring("key-tenant"))
	g.Expect(strings.Count(logs.String(), `"tenant":"tenant`)).To(BeNumerically(">", 20))
}

func TestRequestWithoutValidKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := withTenants(2)
		plan.Routes = append(plan.Routes, deployment.Route{Prefix: "/open/", Public: true, Kind: deployment.Safe, Service: "deep", MaxAttempts: 1, Timeout: time.Second})
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		machine := mesh.Machines[0]
		for _, tc := range []struct {
			name, uri, key string
			want           int
		}{
			{"a tenant's key", "/deep/x", "key-tenant0-a", http.StatusOK},
			{"its other key", "/deep/x", "key-tenant0-b", http.StatusOK},
			{"an unknown key", "/deep/x", "key-nobody", http.StatusUnauthorized},
			{"no key", "/deep/x", "", http.StatusUnauthorized},
			{"no key on a public route", "/open/x", "", http.StatusOK},
			{"an unknown key on a public route", "/open/x", "key-nobody", http.StatusOK},
		} {
			g.Expect(statusWithKey(mesh, machine, tc.uri, tc.key)).To(Equal(tc.want), tc.name)
		}
		mesh.RevokeKey(0, 0)
		time.Sleep(judge.RevokeBound)
		g.Expect(statusWithKey(mesh, machine, "/deep/x", "key-tenant0-a")).To(Equal(http.StatusUnauthorized))
		g.Expect(statusWithKey(mesh, machine, "/deep/x", "key-tenant0-b")).To(Equal(http.StatusOK))
		g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	})
}

// A revoked key must stay revoked at every node, also at nodes that reach neither the store nor
// their peers.
func TestKeysTakenAwayStayTaken(t *testing.T) {
	cutFromStore := func(mesh *testbed.Mesh, machines []*testbed.Machine, cut bool) {
		for _, machine := range machines {
			mesh.Network.SetBlocked(machine.IP, testbed.StoreHost, cut)
			mesh.Network.SetBlocked(testbed.StoreHost, machine.IP, cut)
		}
	}
	for _, tc := range []struct {
		name  string
		least float64 // minimum served share
		begin func(mesh *testbed.Mesh, chosen []*testbed.Machine)
		end   func(mesh *testbed.Mesh, chosen []*testbed.Machine)
	}{
		{"the store refuses some nodes", 0.7, func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) {
				for _, machine := range chosen {
					s.RateLimitedIPs[machine.IP] = true
				}
			})
		}, func(mesh *testbed.Mesh, _ []*testbed.Machine) {
			mesh.Store.Set(func(s *store.Store) { clear(s.RateLimitedIPs) })
		}},
		{
			"some nodes are cut from the store", 0.7, func(mesh *testbed.Mesh, chosen []*testbed.Machine) { cutFromStore(mesh, chosen, true) },
			func(mesh *testbed.Mesh, chosen []*testbed.Machine) { cutFromStore(mesh, chosen, false) },
		},
		{"some nodes are cut from the store and their peers", 0, func(mesh *testbed.Mesh, chosen []*testbed.Machine) {
			cutFromStore(mesh, chosen, true)
			trouble.Partition(mesh, chosen, 9*time.Second)
		}, func(mesh *testbed.Mesh, chosen []*testbed.Machine) { cutFromStore(mesh, chosen, false) }},
		{
			"the store's watches deliver nothing", 0.7, func(mesh *testbed.Mesh, _ []*testbed.Machine) { mesh.Store.HideEvents() },
			func(mesh *testbed.Mesh, _ []*testbed.Machine) { mesh.Store.Compact() },
		},
		{
			"the store is down", 0, func(mesh *testbed.Mesh, _ []*testbed.Machine) { mesh.Store.Set(func(s *store.Store) { s.Down = true }) },
			func(mesh *testbed.Mesh, _ []*testbed.Machine) {
				mesh.Store.Set(func(s *store.Store) { s.Down = false })
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			mesh := runMesh(t, withTenants(4), 14*time.Second, func(mesh *testbed.Mesh) {
				chosen := mesh.RandomMachines(rand.New(rand.NewPCG(5, 6)), 0.35)
				time.Sleep(time.Second)
				done := make(chan struct{})
				go func() {
					defer close(done)
					tc.begin(mesh, chosen)
				}()
				time.Sleep(100 * time.Millisecond)
				mesh.RevokeKey(0, 0)
				mesh.RevokeKey(1, 1)
				time.Sleep(9 * time.Second)
				<-done
				tc.end(mesh, chosen)
			})
			g.Expect(mesh.Judge.Violations()).To(BeEmpty())
			g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">=", tc.least), fmt.Sprint(mesh.Tally.Status))
		})
	}
}

// A store outage shorter than the revocation bound must not fail requests with keys.
func TestShortStoreOutageCostsNoRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	mesh := runMesh(t, withTenants(4), 8*time.Second, func(mesh *testbed.Mesh) {
		time.Sleep(2 * time.Second)
		mesh.Store.Set(func(s *store.Store) { s.Down = true })
		time.Sleep(3 * time.Second)
		mesh.Store.Set(func(s *store.Store) { s.Down = false })
	})
	g.Expect(mesh.Judge.Violations()).To(BeEmpty())
	g.Expect(mesh.Tally.Share("/front/")).To(BeNumerically(">", 0.99), "%v", mesh.Tally.Status)
}

// statusWithKey sends a request with a key and returns the status, or 0 without a response.
func statusWithKey(m *testbed.Mesh, machine *testbed.Machine, uri, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+machine.Outbound()+uri, nil)
	if err != nil {
		return 0
	}
	id := strconv.FormatUint(rand.Uint64(), 16)
	request.Host = deployment.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1000")
	if key != "" {
		request.Header.Set("Authorization", client.KeyScheme+key)
	}
	m.Judge.ExpectCall(id, machine.IP, machine.Target.Service)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.Network.Dialer(machine.IP)}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
