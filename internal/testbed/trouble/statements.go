package trouble

import (
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
)

// statedRates are the rates that targets state, in requests per second.
var statedRates = []float64{0, 0.4, 3.6, 8.9, 1000}

// Statements returns the kinds of faults in which targets state something in their responses. They are
// apart from All, so that a seed keeps the faults that it has drawn from there.
func Statements() []Kind {
	return []Kind{
		{"states a rate", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.15)
			for _, machine := range chosen {
				machine.Target.StateRate(statedRates[random.IntN(len(statedRates))])
			}
			time.Sleep(5 * time.Second)
			for _, machine := range chosen {
				machine.Target.LiftRate()
			}
		}},
		{"states changing rates", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			chosen := mesh.RandomMachines(random, 0.15)
			for range 6 {
				for _, machine := range chosen {
					if random.IntN(4) == 0 {
						machine.Target.LiftRate()
						continue
					}
					machine.Target.StateRate(statedRates[random.IntN(len(statedRates))])
				}
				time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
			}
			for _, machine := range chosen {
				machine.Target.LiftRate()
			}
		}},
		{"states that it leaves", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			target := mesh.RandomMachines(random, 0.05)[0].Target
			target.Leave(testbed.DrainGracePeriod + 2*time.Second)
			_ = target.Start()
		}},
	}
}
