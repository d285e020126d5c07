package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

// Flags of TestSoak; `make soak` sets them.
var (
	soakFor      = flag.Duration("soak.for", 45*time.Second, "duration of the faults in a run")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the first run")
	soakRuns     = flag.Int("soak.runs", 1, "number of runs, with consecutive seeds")
	soakMachines = flag.Int("soak.machines", 10, "approximate number of machines")
	soakActors   = flag.Int("soak.actors", 3, "concurrent faults")
	soakPrevious = flag.String("soak.previous", "", "landingmastd of an earlier release, which every other machine runs; empty: none")
	soakFolder   = flag.String("soak.folder", "", "directory for settings and logs; empty: kept only when a run fails")
)

// Real landingmastd processes must keep the rules under concurrent seeded faults and serve requests
// normally afterwards.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "landingmastd")
	if output, err := exec.Command("go", "build", "-o", daemon, "../../../cmd/landingmastd").CombinedOutput(); err != nil {
		t.Fatalf("building landingmastd: %v\n%s", err, output)
	}
	for run := range *soakRuns {
		seed := *soakSeed + uint64(run)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			folder := t.TempDir()
			if *soakFolder != "" {
				folder = filepath.Join(*soakFolder, fmt.Sprintf("seed-%d", seed))
				if err := os.MkdirAll(folder, 0o755); err != nil {
					t.Fatal(err)
				}
			}
			runSoak(t, daemon, folder, seed)
		})
	}
}

// soakPlan returns a deployment of about the given number of machines, at least one per service.
func soakPlan(machines int) deployment.Plan {
	plan := deployment.ThreeTierWithSpares()
	for _, name := range []string{"front", "middle", "deep"} {
		service := plan.Services[name]
		service.Targets = max(machines/3, 1)
		plan.Services[name] = service
	}
	return plan
}

// runSoak runs the faults of a seed and checks the observations of clients and targets.
func runSoak(t *testing.T, daemon, folder string, seed uint64) {
	soak := newSoak(daemon, *soakPrevious, folder)
	plan := soakPlan(*soakMachines)
	plan.IgnoresState = func(index int, _ string) bool { return soak.runsPrevious(index) }
	mesh, err := testbed.NewInEnvironment(plan, testbed.Environment{Network: loopback{}, StoreAddress: soak.storeAddress(), MachineIP: soak.machineIP, Nodes: soak})
	if err != nil {
		t.Fatal(err)
	}
	closed := false
	closeAll := func() {
		if !closed {
			closed = true
			mesh.Close()
			soak.close()
		}
	}
	defer closeAll()
	soak.mesh = mesh
	for _, machine := range mesh.Machines {
		if soak.runsPrevious(machine.Index) {
			mesh.Judge.ForgetsDepartures(machine.IP)
		}
	}
	mesh.Judge.LateTolerance = lateTolerance
	time.Sleep(testbed.StartupTime)
	injected := soak.runFaults(*soakFor, seed, *soakActors)
	if !soak.waitReady() {
		t.Error("not all machines became ready after the last fault")
	}
	served := soak.servedAfterRecovery()
	mesh.CheckFinal()
	crashes, falsePositives := mesh.Judge.HarmfulStats()
	t.Logf("seed %d: %s; responses %v; %.3f served after recovery; %d crashes by harmful requests, %d harmless requests rejected, %d cut by planned stops", seed, injected, mesh.Tally.Status, served, crashes, falsePositives, mesh.Judge.LostDuringStops())
	closeAll()
	for _, violation := range append(mesh.Judge.Violations(), soak.crashes()...) {
		t.Error(violation)
	}
	if served < minServed {
		t.Errorf("only %.3f of the requests are served after recovery", served)
	}
	if t.Failed() && *soakFolder == "" {
		keepLogs(t, folder)
	}
}

// minServed is the share of requests that must be served after recovery.
const minServed = 0.97

// keepLogs copies logs and settings to a directory that outlives the test.
func keepLogs(t *testing.T, folder string) {
	kept, err := os.MkdirTemp("", "landingmast-soak-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(folder))
	}
	t.Logf("logs and settings are kept in %s (%v)", kept, err)
}
