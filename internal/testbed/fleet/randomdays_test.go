package fleet

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/trouble"
)

// Flags of TestRandomDays; `make days` sets them.
var (
	days      = flag.Int("days", 5, "random scenarios to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first scenario")
)

// Random faults in random deployments must not break any rule.
func TestRandomDays(t *testing.T) {
	for number := range *days {
		day := trouble.GenerateScenario(*firstSeed + uint64(number))
		t.Run(fmt.Sprintf("seed-%d", day.Seed), func(t *testing.T) {
			t.Parallel()
			mesh := runDay(t, day)
			asked, served := 0, 0
			for _, count := range mesh.Tally.Sent {
				asked += count
			}
			for _, count := range mesh.Tally.Served {
				served += count
			}
			ended, falsePositives := mesh.Judge.HarmfulStats()
			t.Logf("%d requests, served %.3f, %d crashes by harmful requests, %d harmless requests rejected; %s", asked, float64(served)/float64(max(asked, 1)), ended, falsePositives, day.Describe())
			for _, violation := range mesh.Judge.Violations() {
				t.Error(violation)
			}
		})
	}
}

// runDay runs a scenario in virtual time and returns its final mesh.
func runDay(t *testing.T, day trouble.Scenario) *testbed.Mesh {
	t.Helper()
	var result *testbed.Mesh
	synctest.Test(t, func(t *testing.T) {
		mesh, err := testbed.New(day.Plan)
		if err != nil {
			t.Fatal(err)
		}
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		day.Run(mesh)
		mesh.CheckFinal()
		result = mesh
	})
	return result
}
