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

// The number of drawn days and the first seed: `make days` plays 200.
var (
	days      = flag.Int("days", 5, "random days to play")
	firstSeed = flag.Uint64("seed", 1, "seed of the first day")
)

// Days of random troubles in random deployments break no rule.
func TestRandomDays(t *testing.T) {
	for number := range *days {
		day := trouble.Draw(*firstSeed + uint64(number))
		t.Run(fmt.Sprintf("seed-%d", day.Seed), func(t *testing.T) {
			t.Parallel()
			mesh := playDay(t, day)
			asked, served := 0, 0
			for _, count := range mesh.Tally.Asked {
				asked += count
			}
			for _, count := range mesh.Tally.Served {
				served += count
			}
			ended, innocent := mesh.Judge.HarmFigures()
			t.Logf("asked %d, served %.3f, %d targets ended, %d harmless refused on suspicion; %s", asked, float64(served)/float64(max(asked, 1)), ended, innocent, day.Describe())
			for _, broken := range mesh.Judge.Broken() {
				t.Error(broken)
			}
		})
	}
}

// playDay plays a day in virtual time and returns the mesh as it ended.
func playDay(t *testing.T, day trouble.Day) *testbed.Mesh {
	t.Helper()
	var played *testbed.Mesh
	synctest.Test(t, func(t *testing.T) {
		mesh, err := testbed.New(day.Plan)
		if err != nil {
			t.Fatal(err)
		}
		defer mesh.Close()
		time.Sleep(testbed.Settle)
		day.Play(mesh)
		mesh.CheckEnd()
		played = mesh
	})
	return played
}
