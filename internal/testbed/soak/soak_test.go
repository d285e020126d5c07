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

// Settings of a soak; `make soak` plays longer ones.
var (
	soakFor      = flag.Duration("soak.for", 45*time.Second, "how long the troubles of a soak go on")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of its first run")
	soakRuns     = flag.Int("soak.runs", 1, "runs, each with the next seed")
	soakMachines = flag.Int("soak.machines", 10, "machines")
	soakActors   = flag.Int("soak.actors", 3, "troubles at a time")
	soakFolder   = flag.String("soak.folder", "", "where settings and logs are kept; empty: nowhere unless a run fails")
)

// soakLate is added to the bounds of time: the processes share the machine's processor with each
// other, the stand-ins and whatever else runs.
const soakLate = 3 * time.Second

// Processes of the real program under seeded troubles, which come in series and overlap:
// signals, restarts, changes of settings and configuration, faults of store, targets and
// connections, requests that end their targets. Clients keep using open connections.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "landingmastd")
	if output, err := exec.Command("go", "build", "-o", daemon, "../../../cmd/landingmastd").CombinedOutput(); err != nil {
		t.Fatalf("landingmastd cannot be built: %v\n%s", err, output)
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
			playSoak(t, daemon, folder, seed)
		})
	}
}

// soakPlan returns a deployment with about so many machines, one at least for each service.
func soakPlan(machines int) deployment.Plan {
	plan := deployment.WithSpares()
	for _, name := range []string{"front", "middle", "deep"} {
		service := plan.Services[name]
		service.Targets = max(machines/3, 1)
		plan.Services[name] = service
	}
	return plan
}

// playSoak plays the troubles of a seed and checks what clients and targets saw.
func playSoak(t *testing.T, daemon, folder string, seed uint64) {
	soak := newSoak(daemon, folder)
	mesh, err := testbed.NewIn(soakPlan(*soakMachines), testbed.Environment{Network: loopback{}, StoreAddress: soak.storeAddress(), MachineIP: soak.machineIP, Nodes: soak})
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
	mesh.Judge.Late = soakLate
	time.Sleep(testbed.Settle)
	played := soak.troubled(*soakFor, seed, *soakActors)
	if !soak.calmDown() {
		t.Error("not all machines are ready a while after the last trouble")
	}
	served := soak.servedInCalm()
	mesh.CheckEnd()
	ended, innocent := mesh.Judge.HarmFigures()
	t.Logf("seed %d: %s; answers %v; %.3f served in calm; %d targets ended by harmful requests, %d harmless refused on suspicion, %d cut around planned stops", seed, played, mesh.Tally.Status, served, ended, innocent, mesh.Judge.LostAroundStops())
	closeAll()
	for _, broken := range append(mesh.Judge.Broken(), soak.unasked()...) {
		t.Error(broken)
	}
	if served < soakServed {
		t.Errorf("%.3f of the requests are served in calm after the troubles", served)
	}
	if t.Failed() && *soakFolder == "" {
		keepLogs(t, folder)
	}
}

// soakServed is the share of requests that must be served once all is well again.
const soakServed = 0.97

// keepLogs copies logs and settings to where they outlive the test.
func keepLogs(t *testing.T, folder string) {
	kept, err := os.MkdirTemp("", "landingmast-soak-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(folder))
	}
	t.Logf("logs and settings are kept in %s (%v)", kept, err)
}
