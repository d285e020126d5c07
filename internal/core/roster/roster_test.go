package roster

import (
	"testing"

	. "github.com/onsi/gomega"
)

func heartbeat(instance string, sequence int64, draining bool) Report {
	return Report{Instance: instance, Service: "s", Slots: 4, Sequence: sequence, Draining: draining}
}

func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	g := NewWithT(t)
	r := New()
	g.Expect(r.Heartbeat(heartbeat("i-1", 1, false))).To(Equal(Changed))
	g.Expect(r.Heartbeat(heartbeat("i-1", 3, true))).To(Equal(Changed))
	g.Expect(r.Heartbeat(heartbeat("i-1", 2, false))).To(Equal(Stale))
	g.Expect(r.Current().Draining).To(BeTrue())
	g.Expect(r.Heartbeat(heartbeat("i-1", 4, false))).To(Equal(Unchanged))
	g.Expect(r.Current().Draining).To(BeTrue())
}

func TestDepartedInstanceIsNotReadmitted(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(heartbeat("i-1", 1, false))
	g.Expect(r.Depart("i-1")).To(BeTrue())
	g.Expect(r.Heartbeat(heartbeat("i-1", 9, false))).To(Equal(Stale))
	g.Expect(r.Current().Instance).To(BeEmpty())
	g.Expect(r.Heartbeat(heartbeat("i-2", 1, false))).To(Equal(Changed))
}

func TestOtherInstanceIsDoubtfulUntilReplace(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(heartbeat("i-1", 5, false))
	g.Expect(r.Heartbeat(heartbeat("i-2", 1, false))).To(Equal(Conflict))
	r.Replace(heartbeat("i-2", 1, false))
	g.Expect(r.Heartbeat(heartbeat("i-1", 6, false))).To(Equal(Stale))
	g.Expect(r.Current().Instance).To(Equal("i-2"))
}

func TestDepartedInstancesAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for range 3 {
		for number := range maxInstances {
			r.Depart(string(rune('a' + number)))
		}
	}
	g.Expect(len(r.departed.members)).To(BeNumerically("<=", maxInstances))
}
