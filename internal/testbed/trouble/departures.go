package trouble

import (
	"math/rand/v2"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
)

// Departures returns the kinds of faults in which a target leaves while its node is disturbed. They are
// apart from All, so that a seed keeps the faults that it has drawn from there. restart restarts the
// node of a machine; targets serve on for at least minServe.
func Departures(restart func(machine *testbed.Machine, random *rand.Rand), minServe time.Duration) []Kind {
	leave := func(announce func(machine *testbed.Machine, serve time.Duration)) func(*testbed.Mesh, *rand.Rand) {
		return func(mesh *testbed.Mesh, random *rand.Rand) {
			machine := mesh.RandomMachines(random, 0.05)[0]
			serve := minServe + time.Duration(random.IntN(6000))*time.Millisecond
			deliver := machine.Target.DelayHeartbeat()
			left := make(chan struct{})
			go func() {
				defer close(left)
				announce(machine, serve)
			}()
			for range 1 + random.IntN(3) {
				time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
				restart(machine, random)
				if random.IntN(2) == 0 {
					deliver()
				}
			}
			<-left
			_ = machine.Target.Start()
		}
	}
	return []Kind{
		{"drains while its node restarts", 0.9, leave(func(machine *testbed.Machine, serve time.Duration) { machine.Target.Drain(serve) })},
		{"departs while its node restarts", 0.9, leave(func(machine *testbed.Machine, serve time.Duration) { machine.Target.Depart(serve) })},
		{"departs slowly to connect", 0.9, func(mesh *testbed.Mesh, random *rand.Rand) {
			machine := mesh.RandomMachines(random, 0.05)[0]
			if mesh.Network != nil {
				mesh.Network.DelayAccepts(machine.Target.Address, 3*time.Second)
				mesh.Network.ResetTo(machine.Target.Address)
				defer mesh.Network.DelayAccepts(machine.Target.Address, 0)
			}
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			machine.Target.Depart(minServe)
			_ = machine.Target.Start()
		}},
	}
}

// MinServe is how long a leaving target serves on at least in virtual time.
const MinServe = testbed.DrainGracePeriod + time.Second

// KillOrStop restarts the node of a machine in virtual time, after a kill or a planned stop.
func KillOrStop(machine *testbed.Machine, random *rand.Rand) {
	if random.IntN(3) > 0 {
		testbed.KillAndRestart([]*testbed.Machine{machine})
		return
	}
	machine.Stop()
	time.Sleep(testbed.RestartAfter)
	_ = machine.Start()
}
