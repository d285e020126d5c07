package slots

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Figures for operators must add up to all requests at the target, however many routes and tenants
// there are, and must not name requests that have ended.
func TestHoldersAddUp(t *testing.T) {
	g := NewWithT(t)
	gate := New(11) // 10 usable
	submit := func(id uint64, class, tenant string) {
		gate.Submit(0, Request{ID: id, Class: class, Tenant: tenant, Deadline: time.Hour})
	}
	for id := range uint64(10) {
		submit(id, "read", "large")
	}
	for id := uint64(10); id < 16; id++ {
		submit(id, "write", fmt.Sprintf("small-%d", id))
	}
	submit(16, "read", "")
	gate.Finish(0, 0, true) // request 10 gets its slot
	classes, tenants := gate.Holders(3)
	g.Expect(classes).To(Equal([]Holder{{Name: "read", Running: 9, Waiting: 1}, {Name: "write", Running: 1, Waiting: 5}}))
	g.Expect(tenants).To(Equal([]Holder{{Name: "large", Running: 9}, {Name: "", Waiting: 1}, {Name: "small-10", Running: 1}, {Running: 0, Waiting: 5, Rest: 5}}))
}

// A deployment without tenants must not list requests without one as a tenant.
func TestHoldersWithoutTenants(t *testing.T) {
	g := NewWithT(t)
	gate := New(11)
	classes, tenants := gate.Holders(8)
	g.Expect(classes).To(BeEmpty())
	g.Expect(tenants).To(BeNil())
	gate.Submit(0, Request{ID: 1, Class: "read", Deadline: time.Hour})
	classes, tenants = gate.Holders(8)
	g.Expect(classes).To(Equal([]Holder{{Name: "read", Running: 1}}))
	g.Expect(tenants).To(BeNil())
}
