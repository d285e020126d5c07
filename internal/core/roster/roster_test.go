package roster

import (
	"testing"

	. "github.com/onsi/gomega"
)

func beat(instance string, sequence int64, draining bool) Report {
	return Report{Instance: instance, Service: "s", Slots: 4, Sequence: sequence, Draining: draining}
}

func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	g := NewWithT(t)
	r := New()
	g.Expect(r.Heartbeat(beat("i-1", 1, false))).To(Equal(Changed))
	g.Expect(r.Heartbeat(beat("i-1", 3, true))).To(Equal(Changed))
	g.Expect(r.Heartbeat(beat("i-1", 2, false))).To(Equal(Stale))
	g.Expect(r.Current().Draining).To(BeTrue())
	g.Expect(r.Heartbeat(beat("i-1", 4, false))).To(Equal(Known))
	g.Expect(r.Current().Draining).To(BeTrue())
}

func TestInstanceThatLeftNeverComesBack(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(beat("i-1", 1, false))
	g.Expect(r.Left("i-1")).To(BeTrue())
	g.Expect(r.Heartbeat(beat("i-1", 9, false))).To(Equal(Stale))
	g.Expect(r.Current().Instance).To(BeEmpty())
	g.Expect(r.Heartbeat(beat("i-2", 1, false))).To(Equal(Changed))
}

func TestOtherInstanceIsDoubtfulUntilItReplacedTheFirst(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(beat("i-1", 5, false))
	g.Expect(r.Heartbeat(beat("i-2", 1, false))).To(Equal(Doubtful))
	r.Replace(beat("i-2", 1, false))
	g.Expect(r.Heartbeat(beat("i-1", 6, false))).To(Equal(Stale))
	g.Expect(r.Current().Instance).To(Equal("i-2"))
}

func TestMemoryOfGoneInstancesIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for range 3 {
		for number := range maxGone {
			r.Left(string(rune('a' + number)))
		}
	}
	g.Expect(len(r.gone)).To(BeNumerically("<=", maxGone))
}
