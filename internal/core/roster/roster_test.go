package roster

import (
	"fmt"
	"math/rand/v2"
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

// A heartbeat that says draining counts whenever it arrives, since it is acknowledged.
func TestLateDrainingHeartbeatDrains(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(heartbeat("i-1", 5, false))
	g.Expect(r.Heartbeat(heartbeat("i-1", 4, true))).To(Equal(Changed))
	g.Expect(r.Current().Draining).To(BeTrue())
	g.Expect(r.Current().Sequence).To(Equal(int64(5)))
}

// A replacement that was decided on before the instance departed must not bring it back.
func TestDepartedInstanceDoesNotReplaceAnother(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(heartbeat("i-1", 5, false))
	r.Depart("i-2")
	g.Expect(r.Replace(heartbeat("i-2", 1, false))).To(BeFalse())
	g.Expect(r.Current().Instance).To(Equal("i-1"))
}

// The draining state of an instance that is not the current one must not be forgotten.
func TestInstanceThatDrainsBeforeItIsCurrentKeepsDraining(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Heartbeat(heartbeat("i-1", 5, false))
	g.Expect(r.Heartbeat(heartbeat("i-2", 3, true))).To(Equal(Conflict))
	g.Expect(r.Replace(heartbeat("i-2", 2, false))).To(BeTrue())
	g.Expect(r.Current().Draining).To(BeTrue())
}

// Whatever arrives in which order, an instance that has announced that it leaves is never ready.
func TestAnnouncementsAreFinal(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := New()
		leaving := map[string]bool{}
		for step := range 60 {
			report := heartbeat(fmt.Sprint("i-", random.IntN(3)), int64(random.IntN(20)), random.IntN(6) == 0)
			switch random.IntN(8) {
			case 0:
				r.Depart(report.Instance)
				leaving[report.Instance] = true
			case 1:
				r.Replace(report)
			case 2:
				r.MarkLeaving(report.Instance)
				leaving[report.Instance] = true
			default:
				r.Heartbeat(report)
				leaving[report.Instance] = leaving[report.Instance] || report.Draining
			}
			if current := r.Current(); leaving[current.Instance] && !current.Draining {
				t.Fatalf("seed %d, step %d: %s is ready again", seed, step, current.Instance)
			}
		}
	}
}
