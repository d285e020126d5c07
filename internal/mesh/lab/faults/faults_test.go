package faults

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/adminapi"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/check"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	. "github.com/onsi/gomega"
)

var programs string

// TestMain builds the programs that the runs start.
func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "landingmast-programs-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", directory, "github.com/landingmast/landingmast/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(output))
		panic(err)
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// Blocks of ports for clusters, below the range from which the system takes the ports of outgoing
// connections.
const (
	firstBlock = 26000
	lastBlock  = 32000
	blockPorts = 150
)

// reserve gives the first port of a block that is this test's until it ends. Its guard is the
// port before. Blocks that were counted from a fixed port on were those of a second run on the
// same machine too, and the processes of one cluster reached the other's: three of four runs that
// began at the same moment failed with "version 1 stands already".
func reserve(t *testing.T) int {
	for guard := firstBlock; guard < lastBlock; guard += blockPorts {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", guard))
		if err != nil {
			continue
		}
		if free(guard+1, guard+blockPorts) {
			t.Cleanup(func() { _ = listener.Close() })
			return guard + 1
		}
		_ = listener.Close()
	}
	t.Fatal("no block of ports is free")
	return 0
}

// free tells whether all ports from first to before end can be listened on.
func free(first, end int) bool {
	for port := first; port < end; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func options(t *testing.T, d *deployment.Deployment) cluster.Options {
	return cluster.Options{
		Deployment: d, Daemon: filepath.Join(programs, "landingmastd"), Lab: filepath.Join(programs, "landingmast-lab"),
		Directory: t.TempDir(), FirstPort: reserve(t),
	}
}

func TestGuaranteesHoldUnderASchedule(t *testing.T) {
	for seed, d := range []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()} {
		result, err := Run(context.Background(), Options{
			Cluster: options(t, d), Seed: uint64(seed + 11), Duration: 6 * time.Second, Rate: 100, Kinds: Kinds, Pause: 400 * time.Millisecond,
		})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		for _, one := range result.Checks {
			if !one.Held {
				t.Errorf("%s: %s: %s", d.Mesh, one.Name, one.Detail)
			}
		}
		if result.Whole == 0 {
			t.Error("nothing was served")
		}
	}
}

// during runs traffic and does something in its midst.
func during(running *cluster.Cluster, span time.Duration, act func()) []load.Answer {
	answers := make(chan []load.Answer, 1)
	go func() {
		answers <- load.Run(context.Background(), load.Options{Deployment: running.Deployment, Entries: running.Entries(), Rate: 120, Duration: span, Users: 50, Seed: 5})
	}()
	time.Sleep(time.Second)
	act()
	return <-answers
}

func executionsOf(g *WithT, running *cluster.Cluster, name string) int {
	executions, err := running.Executions()
	g.Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, execution := range executions {
		if execution.Backend == name {
			count++
		}
	}
	return count
}

// waitDraining waits until the node knows that it is leaving. Before the first
// read of a change nobody knows of it, and the platform may be down only after.
func waitDraining(ctx context.Context, process *cluster.Process) error {
	for range 100 {
		status, err := adminapi.New(process.Admin).Status(ctx)
		if err == nil && status.State == "draining" {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("node %s does not know that it is leaving", process.Name)
}

// TestALeavingTargetGetsNoNewWork has a target leave in each of the three ways,
// with the platform's service down from shortly after that moment on.
func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	ctx := context.Background()
	ways := map[string]func(*cluster.Cluster) error{
		"bundle": func(c *cluster.Cluster) error {
			next := c.Bundle(2)
			next.Services[0].Targets[0].State = bundle.Leaving
			if _, err := c.Roll(ctx, next); err != nil {
				return err
			}
			return waitDraining(ctx, c.Node("logbook-1"))
		},
		"machine list": func(c *cluster.Cluster) error {
			if err := c.SetMachine("logbook-1", "leaving"); err != nil {
				return err
			}
			return waitDraining(ctx, c.Node("logbook-1"))
		},
		"own drain": func(c *cluster.Cluster) error {
			_, err := adminapi.New(c.Node("logbook-1").Admin).Drain(ctx)
			return err
		},
	}
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			g := NewWithT(t)
			running, err := cluster.Start(ctx, options(t, deployment.CoreArchive()))
			g.Expect(err).NotTo(HaveOccurred())
			defer running.Stop()
			after := 0
			answers := during(running, 7*time.Second, func() {
				began := time.Now()
				g.Expect(leave(running)).To(Succeed())
				g.Expect(running.SetFaults(standin.Faults{Down: true})).To(Succeed())
				time.Sleep(3*time.Second - time.Since(began))
				after = executionsOf(g, running, "logbook-1")
			})
			g.Expect(after).To(BeNumerically(">", 0))
			g.Expect(executionsOf(g, running, "logbook-1")).To(Equal(after))
			g.Expect(whole(answers)).To(BeNumerically(">", len(answers)*98/100))
		})
	}
}

func whole(answers []load.Answer) int {
	count := 0
	for _, answer := range answers {
		if answer.Whole {
			count++
		}
	}
	return count
}

// TestAPlannedStopCutsNothing restarts three nodes beside targets by SIGTERM
// under traffic; no caller may see a broken or an unknown answer.
//
// It failed at times beside load with "approve: unknown reset". Load makes targets refuse, and a
// refused call with a body cost its connection: see TestAPlannedStopAmidLongCallsCutsNothing,
// which makes it come in each run. Where the machine has no processor left at all (four clusters
// at once) claim lists are cancelled for more important calls or run out of time at nodes that do
// not stop, and it fails by that: docs/FINDINGS.md.
func TestAPlannedStopCutsNothing(t *testing.T) {
	g := NewWithT(t)
	running, err := cluster.Start(context.Background(), options(t, deployment.ExpenseClaims()))
	g.Expect(err).NotTo(HaveOccurred())
	defer running.Stop()
	answers := during(running, 9*time.Second, func() {
		for _, name := range []string{"claims-portal-2", "policy-svc-1", "receipt-store-3"} {
			process := running.Node(name)
			g.Expect(running.Signal(process, syscall.SIGTERM)).To(Succeed())
			g.Expect(running.Wait(process)).To(Succeed())
			g.Expect(running.StartNode(process)).To(Succeed())
		}
	})
	for _, answer := range answers {
		if answer.Outcome == load.Broken || answer.Outcome == load.Unknown {
			t.Errorf("%s: %s %s", answer.Class, answer.Outcome, answer.Reason)
			tell(t, running, answer)
		}
	}
	g.Expect(whole(answers)).To(BeNumerically(">", len(answers)*98/100))
}

// TestAPlannedStopAmidLongCallsCutsNothing restarts three nodes by SIGTERM while calls that may
// run at most once are in flight, so long ones that targets fill up and refuse; no caller may see
// a broken or an unknown answer.
//
// It failed in four runs of four with "approve: unknown reset", before any node had stopped. A
// node that refused a call before it had read the body closed the connection behind its answer
// without a word, and the next call on it was lost. Shown by the record `lose` of the lost call
// (rested_connection, rested_ms 1.4) and the line of the node at the other end, "http: panic
// serving: invalid concurrent Body.Read call". docs/incidents/refused-with-unread-body.md.
//
// Beside load it failed once more after that was mended: the lost call was the first on a new
// connection (new_connection, lost 129 ms after it was written) to a node that was closing its
// connections and did not wait for first requests. docs/incidents/first-request-at-the-end-of-a-stop.md.
func TestAPlannedStopAmidLongCallsCutsNothing(t *testing.T) {
	g := NewWithT(t)
	running, err := cluster.Start(context.Background(), options(t, deployment.ExpenseClaims()))
	g.Expect(err).NotTo(HaveOccurred())
	defer running.Stop()
	for _, process := range running.Nodes {
		if process.Service == "claims-portal" {
			g.Expect(running.SetBehaviour(process, standin.Behaviour{Slowdown: 60})).To(Succeed())
		}
	}
	approvals := *running.Deployment
	approvals.Mix = approvals.Mix[1:2]
	g.Expect(approvals.Mix[0].Keyed).To(BeTrue())
	answers := make(chan []load.Answer, 1)
	go func() {
		answers <- load.Run(context.Background(), load.Options{Deployment: &approvals, Entries: running.Entries(), Rate: 40, Duration: 12 * time.Second, Users: 50, Seed: 5})
	}()
	time.Sleep(2 * time.Second)
	for _, name := range []string{"claims-portal-2", "claims-portal-4", "claims-portal-5"} {
		process := running.Node(name)
		g.Expect(running.Signal(process, syscall.SIGTERM)).To(Succeed())
		g.Expect(running.Wait(process)).To(Succeed())
		g.Expect(running.StartNode(process)).To(Succeed())
	}
	for _, answer := range <-answers {
		if answer.Outcome == load.Broken || answer.Outcome == load.Unknown {
			t.Errorf("%s: %s %s", answer.Class, answer.Outcome, answer.Reason)
			tell(t, running, answer)
		}
	}
}

// tell logs what the nodes recorded of an answer's request, and the lines of nodes that stopped.
func tell(t *testing.T, running *cluster.Cluster, answer load.Answer) {
	t.Helper()
	t.Logf("request %s, sent %s, took %s", answer.RequestID, answer.Sent.Format(time.StampMilli), answer.Took)
	decisions, err := adminapi.New(running.Nodes[0].Admin).Explain(context.Background(), answer.RequestID)
	if err != nil {
		t.Log(err)
	}
	for _, decision := range decisions {
		t.Logf("%+v", *decision)
	}
	lines, err := os.ReadFile(filepath.Join(running.Directory, "processes.log"))
	if err != nil {
		t.Log(err)
	}
	for line := range strings.Lines(string(lines)) {
		if strings.Contains(line, "draining") || strings.Contains(line, "closing connections") || strings.Contains(line, "stopped") {
			t.Log(line)
		}
	}
}

func sent(key, token, outcome, run string, from, took int) load.Answer {
	return load.Answer{Key: key, Token: token, Outcome: outcome, Run: run, Sent: time.Unix(int64(from), 0), Took: time.Duration(took) * time.Second}
}

func TestTheHistoryCheckTellsGoodFromBad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(History([]load.Answer{
		sent("k", "1", load.Unknown, "", 0, 1), sent("k", "2", load.Answered, "1", 2, 1), sent("k", "3", load.NotRun, "", 4, 1),
	}).Held).To(BeTrue())
	g.Expect(History([]load.Answer{
		sent("k", "1", load.Answered, "1", 0, 1), sent("k", "2", load.Answered, "2", 2, 1),
	}).Held).To(BeFalse())
	g.Expect(History([]load.Answer{
		sent("k", "1", load.NotRun, "", 0, 1), sent("k", "2", load.Answered, "1", 2, 1),
	}).Held).To(BeFalse())
}

func TestTheChecksCanFail(t *testing.T) {
	g := NewWithT(t)
	d := deployment.CoreArchive()
	twice := []standin.Execution{{Key: "k", Path: "/reservations", Token: "a"}, {Key: "k", Path: "/reservations", Token: "b"}}
	g.Expect(check.AtMostOnce(twice).Held).To(BeFalse())
	g.Expect(check.AtMostOnce(twice[:1]).Held).To(BeTrue())
	g.Expect(check.NotRunMeansNowhere([]load.Answer{{Outcome: load.NotRun, Token: "a"}}, twice).Held).To(BeFalse())
	g.Expect(check.OwnAnswers([]load.Answer{{Foreign: true}}).Held).To(BeFalse())
	var many []standin.Execution
	for range 6 {
		many = append(many, standin.Execution{RequestID: "r.c", Method: "GET", Path: "/logs/1"})
	}
	g.Expect(check.RetriesBounded(d, many).Held).To(BeFalse())
	g.Expect(check.RetriesBounded(d, many[:4]).Held).To(BeTrue())
}
