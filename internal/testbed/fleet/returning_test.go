package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	. "github.com/onsi/gomega"
)

// returningNoise is the difference between two runs in the share of returning requests that are
// served: over three standard deviations, 0.023 in 12 pairs of runs.
const returningNoise = 0.08

// Return times in time slots must not lower the share of returning requests that are served.
func TestReturningRequestsFindCapacity(t *testing.T) {
	g := NewWithT(t)
	run := func(off ...settings.Mechanism) (served float64) {
		plan := sharedPlan(1.8)
		plan.PolicyOff = off
		logs := &logBuffer{}
		plan.LogOutput = logs
		mesh := runMesh(t, plan, 12*time.Second, nil)
		g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		served, attempts := mesh.Tally.ReturnedShare("/view/", http.StatusOK)
		t.Logf("off %v: %d returning requests of view, %.3f served; by route and status %v; book %.2f, view %.2f", off, attempts, served, mesh.Tally.Returned, mesh.Tally.Share("/book/"), mesh.Tally.Share("/view/"))
		g.Expect(strings.Contains(logs.text(), `"return_in_ms"`)).To(Equal(len(off) == 0), "time slots in the log")
		g.Expect(attempts).To(BeNumerically(">", 100))
		return served
	}
	on := run()
	off := run(settings.ReturnSlots)
	g.Expect(on).To(BeNumerically(">=", off-returningNoise))
}
