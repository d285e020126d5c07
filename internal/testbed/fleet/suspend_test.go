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

// Symptom: a key that was taken away lets requests in at one node.
//
// Sequence: the machine is suspended, the key is taken away, the machine wakes and a client
// there sends its request at once.
//
// Cause: the age of the node's proof that its configuration is fresh is read on a clock that
// stands still while the machine is suspended, so that proof of before looks young.
//
// What settled it: the request gets 200 after 8 s of suspension, with a bound of 5 s.
func TestKeyTakenAwayDuringASuspension(t *testing.T) {
	for _, span := range []time.Duration{5 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mesh, err := testbed.New(withTenants(2))
				g.Expect(err).NotTo(HaveOccurred())
				defer mesh.Close()
				time.Sleep(testbed.Settle)
				machine := mesh.Machines[0]
				g.Expect(statusOf(mesh, machine, "/front/x", "key-tenant0-a")).To(Equal(http.StatusOK))
				mesh.TakeKey(0, 0)
				mesh.Suspend([]*testbed.Machine{machine}, span)
				g.Expect(statusOf(mesh, machine, "/front/x", "key-tenant0-a")).NotTo(Equal(http.StatusOK))
				time.Sleep(judge.Contact)
				g.Expect(statusOf(mesh, machine, "/front/x", "key-tenant0-a")).To(Equal(http.StatusUnauthorized))
				g.Expect(servedWithin(mesh, machine, "key-tenant0-b", time.Second)).To(BeTrue())
			})
		})
	}
}

// Symptom: two nodes give parts of one tenant's limit.
//
// Sequence: the keeper of the limit is suspended for longer than its lease, another node takes
// over, the first one wakes and is asked.
//
// Cause: the end of the right to give is read on a clock that stands still while the machine
// is suspended.
//
// What settled it: the answer of the woken keeper says that it keeps, 10 s after its lease of
// 6 s was renewed.
func TestSuspendedKeeperGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mesh, err := testbed.New(withTenants(2))
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		go mesh.Load(4 * time.Second)
		time.Sleep(testbed.Settle + 4*time.Second)
		for shard := range 4 {
			var keepers []*testbed.Machine
			for _, machine := range mesh.Machines {
				if keeps(mesh, machine, shard) {
					keepers = append(keepers, machine)
				}
			}
			if len(keepers) == 0 {
				continue // no tenant falls into this group
			}
			g.Expect(keepers).To(HaveLen(1))
			mesh.Suspend(keepers, 10*time.Second)
			g.Expect(keeps(mesh, keepers[0], shard)).To(BeFalse())
			return
		}
		t.Fatal("no group has a keeper")
	})
}

// A woken node serves again, also requests with keys, as soon as it has proof anew.
func TestWokenNodeServesAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := withTenants(2)
		logs := &output{}
		plan.Output = logs
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.Settle)
		machine := mesh.Machines[0]
		mesh.Suspend([]*testbed.Machine{machine}, 8*time.Second)
		woken := time.Now()
		g.Expect(servedWithin(mesh, machine, "key-tenant0-a", time.Second)).To(BeTrue())
		t.Logf("served %s after waking", time.Since(woken))
		time.Sleep(time.Second)
		g.Expect(strings.Count(logs.text(), `"change":"woke"`)).To(Equal(1))
	})
}

// servedWithin sends requests with a key one after the other until one is served. The first one
// of a tenant at a node whose name the keeper of the limit does not have yet may be refused.
func servedWithin(m *testbed.Mesh, machine *testbed.Machine, key string, span time.Duration) bool {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if statusOf(m, machine, "/front/x", key) == http.StatusOK {
			return true
		}
	}
	return false
}

// keeps asks a node whether it hands out parts of the limits of a shard.
func keeps(m *testbed.Mesh, machine *testbed.Machine, shard int) bool {
	data, err := wire.QuotaAskCodec.Encode(&wire.QuotaAsk{Holder: "asks " + machine.IP, Incarnation: "i", Shard: shard, Reports: []wire.QuotaReport{}})
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
	answer, err := wire.QuotaAnswerCodec.Decode(read)
	return err == nil && answer.Keeps
}
