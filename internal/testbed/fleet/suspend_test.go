package fleet

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/judge"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// A key revoked while a machine is suspended must be rejected when it resumes. Guards against
// measuring the age of the configuration with a clock that stops during suspension.
func TestKeyTakenAwayDuringASuspension(t *testing.T) {
	for _, span := range []time.Duration{5 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(withTenants(2))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.StartupTime)
				machine := mesh.Machines[0]
				g.Expect(statusWithKey(mesh, machine, "/front/x", "key-tenant0-a")).To(Equal(http.StatusOK))
				mesh.RevokeKey(0, 0)
				mesh.Suspend([]*testbed.Machine{machine}, span)
				g.Expect(statusWithKey(mesh, machine, "/front/x", "key-tenant0-a")).NotTo(Equal(http.StatusOK))
				time.Sleep(judge.FaultRecovery)
				g.Expect(statusWithKey(mesh, machine, "/front/x", "key-tenant0-a")).To(Equal(http.StatusUnauthorized))
				g.Expect(waitServed(mesh, machine, "key-tenant0-b", time.Second)).To(BeTrue())
			})
		})
	}
}

// A shard owner suspended for longer than its lease must not grant quota when it resumes. Guards
// against measuring the lease with a clock that stops during suspension.
func TestSuspendedKeeperGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mesh, err := testbed.New(withTenants(2))
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		go mesh.Load(4 * time.Second)
		time.Sleep(testbed.StartupTime + 4*time.Second)
		for shard := range 4 {
			var keepers []*testbed.Machine
			for _, machine := range mesh.Machines {
				if ownsShard(mesh, machine, shard) {
					keepers = append(keepers, machine)
				}
			}
			if len(keepers) == 0 {
				continue // no tenant belongs to this shard
			}
			g.Expect(keepers).To(HaveLen(1))
			mesh.Suspend(keepers, 10*time.Second)
			g.Expect(ownsShard(mesh, keepers[0], shard)).To(BeFalse())
			return
		}
		t.Fatal("no shard has an owner")
	})
}

// A resumed node must serve requests with keys again once it has verified its configuration.
func TestResumedNodeServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := withTenants(2)
		logs := &logBuffer{}
		plan.LogOutput = logs
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		machine := mesh.Machines[0]
		mesh.Suspend([]*testbed.Machine{machine}, 8*time.Second)
		resumed := time.Now()
		g.Expect(waitServed(mesh, machine, "key-tenant0-a", time.Second)).To(BeTrue())
		t.Logf("served %s after resuming", time.Since(resumed))
		time.Sleep(time.Second)
		g.Expect(strings.Count(logs.text(), `"change":"woke"`)).To(Equal(1))
	})
}

// waitServed sends requests with a key in sequence until one is served. The first request of a
// tenant may be refused while the shard owner does not know the node yet.
func waitServed(m *testbed.Mesh, machine *testbed.Machine, key string, span time.Duration) bool {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if statusWithKey(m, machine, "/front/x", key) == http.StatusOK {
			return true
		}
	}
	return false
}

// ownsShard reports whether a node grants quota for a shard.
func ownsShard(m *testbed.Mesh, machine *testbed.Machine, shard int) bool {
	data, err := wire.QuotaRequestCodec.Encode(&wire.QuotaRequest{Holder: "asks " + machine.IP, Incarnation: "i", Shard: shard, Reports: []wire.QuotaReport{}})
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DialContext: m.Network.Dialer(machine.IP), DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Post("http://"+machine.Inbound()+"/quota", "", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	answer, err := wire.QuotaResponseCodec.Decode(read)
	return err == nil && answer.Keeps
}
