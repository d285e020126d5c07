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

var programsDirectory string

// TestMain builds the programs under test.
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
	programsDirectory = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// Port blocks for clusters, below the ephemeral port range.
const (
	firstBlock = 26000
	lastBlock  = 32000
	blockPorts = 150
)

// reservePorts returns the first port of a free block. A listener on the port before it reserves
// the block until the test ends, so that concurrent runs on one machine do not share ports.
func reservePorts(t *testing.T) int {
	for guard := firstBlock; guard < lastBlock; guard += blockPorts {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", guard))
		if err != nil {
			continue
		}
		if portsFree(guard+1, guard+blockPorts) {
			t.Cleanup(func() { _ = listener.Close() })
			return guard + 1
		}
		_ = listener.Close()
	}
	t.Fatal("no block of ports is free")
	return 0
}

// portsFree reports whether all ports in [first, end) are available.
func portsFree(first, end int) bool {
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
		Deployment: d, Daemon: filepath.Join(programsDirectory, "landingmastd"), Lab: filepath.Join(programsDirectory, "landingmast-lab"),
		Directory: t.TempDir(), FirstPort: reservePorts(t),
	}
}

func TestGuaranteesHoldUnderASchedule(t *testing.T) {
	for seed, d := range []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()} {
		result, err := Run(context.Background(), Options{
			Cluster: options(t, d), Seed: uint64(seed + 11), Duration: 6 * time.Second, Rate: 100, Kinds: Kinds, Pause: 400 * time.Millisecond,
		})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		for _, one := range result.Checks {
			if !one.Passed {
				t.Errorf("%s: %s: %s", d.Mesh, one.Name, one.Detail)
			}
		}
		if result.Complete == 0 {
			t.Error("nothing was served")
		}
	}
}

// runTrafficDuring runs traffic for a span and calls act one second after its start.
func runTrafficDuring(running *cluster.Cluster, span time.Duration, act func()) []load.Answer {
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

// waitDraining waits until a node reports that it is draining. The platform must
// stay up until then, as nodes learn of the change from it.
func waitDraining(ctx context.Context, process *cluster.Process) error {
	for range 100 {
		status, err := adminapi.New(process.Admin).Status(ctx)
		if err == nil && status.State == "draining" {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("node %s did not start draining", process.Name)
}

// TestALeavingTargetGetsNoNewWork guards against requests to a draining target
// when the platform fails right after the drain begins.
func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	ctx := context.Background()
	methods := map[string]func(*cluster.Cluster) error{
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
	for method, leave := range methods {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			running, err := cluster.Start(ctx, options(t, deployment.CoreArchive()))
			g.Expect(err).NotTo(HaveOccurred())
			defer running.Stop()
			after := 0
			answers := runTrafficDuring(running, 7*time.Second, func() {
				began := time.Now()
				g.Expect(leave(running)).To(Succeed())
				g.Expect(running.SetFaults(standin.Faults{Down: true})).To(Succeed())
				time.Sleep(3*time.Second - time.Since(began))
				after = executionsOf(g, running, "logbook-1")
			})
			g.Expect(after).To(BeNumerically(">", 0))
			g.Expect(executionsOf(g, running, "logbook-1")).To(Equal(after))
			g.Expect(countComplete(answers)).To(BeNumerically(">", len(answers)*98/100))
		})
	}
}

func countComplete(answers []load.Answer) int {
	count := 0
	for _, answer := range answers {
		if answer.Complete {
			count++
		}
	}
	return count
}

// TestAPlannedStopCutsNothing guards against requests lost during graceful restarts of nodes
// under traffic. It can fail on a machine without spare CPU time; see docs/FINDINGS.md.
func TestAPlannedStopCutsNothing(t *testing.T) {
	g := NewWithT(t)
	running, err := cluster.Start(context.Background(), options(t, deployment.ExpenseClaims()))
	g.Expect(err).NotTo(HaveOccurred())
	defer running.Stop()
	answers := runTrafficDuring(running, 9*time.Second, func() {
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
			logDecisions(t, running, answer)
		}
	}
	g.Expect(countComplete(answers)).To(BeNumerically(">", len(answers)*98/100))
}

// TestAPlannedStopAmidLongCallsCutsNothing guards against at-most-once requests lost during
// graceful restarts while overloaded targets reject calls. See
// docs/incidents/refused-with-unread-body.md and
// docs/incidents/first-request-at-the-end-of-a-stop.md.
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
			logDecisions(t, running, answer)
		}
	}
}

// logDecisions logs the recorded decisions for a request and the shutdown log lines of all nodes.
func logDecisions(t *testing.T, running *cluster.Cluster, answer load.Answer) {
	t.Helper()
	t.Logf("request %s, sent %s, took %s", answer.RequestID, answer.Sent.Format(time.StampMilli), answer.Latency)
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

func newAnswer(key, token, outcome, run string, from, took int) load.Answer {
	return load.Answer{Key: key, Token: token, Outcome: outcome, ExecutedToken: run, Sent: time.Unix(int64(from), 0), Latency: time.Duration(took) * time.Second}
}

func TestTheHistoryCheckTellsGoodFromBad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(History([]load.Answer{
		newAnswer("k", "1", load.Unknown, "", 0, 1), newAnswer("k", "2", load.Answered, "1", 2, 1), newAnswer("k", "3", load.NotRun, "", 4, 1),
	}).Passed).To(BeTrue())
	g.Expect(History([]load.Answer{
		newAnswer("k", "1", load.Answered, "1", 0, 1), newAnswer("k", "2", load.Answered, "2", 2, 1),
	}).Passed).To(BeFalse())
	g.Expect(History([]load.Answer{
		newAnswer("k", "1", load.NotRun, "", 0, 1), newAnswer("k", "2", load.Answered, "1", 2, 1),
	}).Passed).To(BeFalse())
}

func TestTheChecksCanFail(t *testing.T) {
	g := NewWithT(t)
	d := deployment.CoreArchive()
	twice := []standin.Execution{{Key: "k", Path: "/reservations", Token: "a"}, {Key: "k", Path: "/reservations", Token: "b"}}
	g.Expect(check.AtMostOnce(twice).Passed).To(BeFalse())
	g.Expect(check.AtMostOnce(twice[:1]).Passed).To(BeTrue())
	g.Expect(check.NotRunNeverExecuted([]load.Answer{{Outcome: load.NotRun, Token: "a"}}, twice).Passed).To(BeFalse())
	g.Expect(check.NoMisdeliveredResponses([]load.Answer{{Misdelivered: true}}).Passed).To(BeFalse())
	var many []standin.Execution
	for range 6 {
		many = append(many, standin.Execution{RequestID: "r.c", Method: "GET", Path: "/logs/1"})
	}
	g.Expect(check.RetriesBounded(d, many).Passed).To(BeFalse())
	g.Expect(check.RetriesBounded(d, many[:4]).Passed).To(BeTrue())
}
