// Package soak runs deployments of real landingmastd processes on loopback under seeded sequences
// of concurrent faults. It manages the processes, the relays in front of the store and of each
// target, and the seeds of failed runs in testdata. The rest of testbed provides the store,
// targets, clients and judge. Only tests import it.
package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/judge"
)

// Additional ports of a machine.
const (
	portStoreRelay  = "8010" // relay in front of the store
	portTargetRelay = "8011" // relay in front of the target
	portMetrics     = "8012" // metrics of the node
)

// soak runs nodes as landingmastd processes. It signals only processes that it started.
type soak struct {
	daemon string // path of landingmastd
	// previous is the path of landingmastd of an earlier release, which every other machine runs; empty:
	// none does.
	previous string
	folder   string // for settings and logs
	octet    int    // second octet of all addresses, which keeps concurrent soaks apart
	mesh     *testbed.Mesh

	mu              sync.Mutex
	processes       map[string]*process    // by machine
	relays          map[string][2]*relay   // by machine: in front of the store and of the target
	busy            map[string]*sync.Mutex // by machine, locked by the fault that affects it
	unexpectedExits []string               // descriptions of unexpected exits
}

// process is a running node.
type process struct {
	command  *exec.Cmd
	done     chan struct{} // closed after the process has exited
	expected bool          // the exit was requested
}

func newSoak(daemon, previous, folder string) *soak {
	return &soak{
		daemon: daemon, previous: previous, folder: folder, octet: 16 + os.Getpid()%200,
		processes: map[string]*process{}, relays: map[string][2]*relay{}, busy: map[string]*sync.Mutex{},
	}
}

// storeAddress returns the listen address of the store.
func (s *soak) storeAddress() string { return fmt.Sprintf("127.%d.255.1:8000", s.octet) }

// machineIP returns the loopback address of a machine.
func (s *soak) machineIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, number/200, number%200+1)
}

// file returns the path of a machine's file with the given extension.
func (s *soak) file(m *testbed.Machine, ending string) string {
	return filepath.Join(s.folder, m.IP+ending)
}

// reserve reserves a machine for a fault unless another fault holds it. If reserved is true, the
// caller must call release.
func (s *soak) reserve(m *testbed.Machine) (release func(), reserved bool) {
	s.mu.Lock()
	if s.busy[m.IP] == nil {
		s.busy[m.IP] = &sync.Mutex{}
	}
	busy := s.busy[m.IP]
	s.mu.Unlock()
	return busy.Unlock, busy.TryLock()
}

// relaysOf returns the relays of a machine in front of the store and of the target, and creates
// them on the first call.
func (s *soak) relaysOf(m *testbed.Machine) ([2]*relay, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, made := s.relays[m.IP]; made {
		return known, nil
	}
	store, err := newRelay(m.IP+":"+portStoreRelay, s.storeAddress(), m.IP)
	if err != nil {
		return [2]*relay{}, err
	}
	target, err := newRelay(m.IP+":"+portTargetRelay, m.Target.Address, m.IP)
	if err != nil {
		return [2]*relay{}, err
	}
	m.Target.Listening = target.setListening
	s.relays[m.IP] = [2]*relay{store, target}
	return s.relays[m.IP], nil
}

// writeSettings writes the settings file of a node, with the addresses of its relays.
func (s *soak) writeSettings(m *testbed.Machine, chosen *settings.Settings) error {
	text := fmt.Sprintf("node: %q\nzone: %q\nfirst_start: %t\ntarget:\n  service: %q\n  address: %q\n", chosen.Node, chosen.Zone, chosen.FirstStart, chosen.Target.Service, m.IP+":"+portTargetRelay) +
		fmt.Sprintf("listen:\n  outbound: %q\n  inbound: %q\n  ready: %q\n  control: %q\n  metrics: %q\n", chosen.Listen.Outbound, chosen.Listen.Inbound, chosen.Listen.Ready, chosen.Listen.Control, m.IP+":"+portMetrics) +
		fmt.Sprintf("store:\n  address: %q\nretries:\n  allowance: %g\nkeys:\n  fail_closed: true\n", m.IP+":"+portStoreRelay, chosen.Retries.Allowance)
	return os.WriteFile(s.file(m, ".yaml"), []byte(text), 0o600)
}

// runsPrevious reports whether a machine, by its index, runs the earlier release.
func (s *soak) runsPrevious(index int) bool { return s.previous != "" && index%2 == 1 }

// program returns the path of landingmastd that a machine runs.
func (s *soak) program(m *testbed.Machine) string {
	if s.runsPrevious(m.Index) {
		return s.previous
	}
	return s.daemon
}

// Start implements testbed.Nodes.
func (s *soak) Start(m *testbed.Machine, chosen *settings.Settings) error {
	if _, err := s.relaysOf(m); err != nil {
		return err
	}
	if err := s.writeSettings(m, chosen); err != nil {
		return err
	}
	log, err := os.OpenFile(s.file(m, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(s.program(m), "--settings", s.file(m, ".yaml"), "sidecar")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{command: command, done: make(chan struct{})}
	s.mu.Lock()
	s.processes[m.IP] = started
	s.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		s.mu.Lock()
		if !started.expected {
			s.unexpectedExits = append(s.unexpectedExits, fmt.Sprintf("the node of %s exited unexpectedly: %v", m.IP, err))
		}
		s.mu.Unlock()
		close(started.done)
	}()
	return nil
}

// signal sends a signal to the process of a node; ends tells that the signal is meant to end it.
// It returns nil if the node was never started.
func (s *soak) signal(m *testbed.Machine, number syscall.Signal, ends bool) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.processes[m.IP]
	if running == nil {
		return nil
	}
	running.expected = running.expected || ends
	select {
	case <-running.done:
	default:
		_ = running.command.Process.Signal(number) // fails only if the process has just exited
	}
	return running
}

// Kill implements testbed.Nodes.
func (s *soak) Kill(m *testbed.Machine) {
	if killed := s.signal(m, syscall.SIGKILL, true); killed != nil {
		<-killed.done
	}
}

// Stop implements testbed.Nodes. It sends SIGTERM, then SIGKILL after the grace period.
func (s *soak) Stop(m *testbed.Machine) {
	m.Target.Judge.Stopping(m.IP)
	asked := s.signal(m, syscall.SIGTERM, true)
	if asked == nil {
		return
	}
	select {
	case <-asked.done:
	case <-time.After(judge.StopGrace + judge.StopAfter):
		s.mu.Lock()
		s.unexpectedExits = append(s.unexpectedExits, "the node of "+m.IP+" was still running at the end of its grace period")
		s.mu.Unlock()
		s.Kill(m)
	}
}

// terminate sends SIGTERM without waiting for the exit.
func (s *soak) terminate(m *testbed.Machine) { s.signal(m, syscall.SIGTERM, true) }

// pause suspends a process for a span.
func (s *soak) pause(m *testbed.Machine, span time.Duration) {
	s.signal(m, syscall.SIGSTOP, false)
	time.Sleep(span)
	s.signal(m, syscall.SIGCONT, false)
}

// Reload implements testbed.Nodes.
func (s *soak) Reload(m *testbed.Machine, changed *settings.Settings) {
	if s.writeSettings(m, changed) == nil {
		s.signal(m, syscall.SIGHUP, false)
	}
}

// Version implements testbed.Nodes. It reads the applied configuration version from the metrics.
func (s *soak) Version(m *testbed.Machine) uint64 {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.IP + ":" + portMetrics + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(page), "\n") {
		if value, is := strings.CutPrefix(line, "landingmast_sidecar_configuration_version "); is {
			version, _ := strconv.ParseFloat(value, 64) // 0 means no version
			return uint64(version)
		}
	}
	return 0
}

// crashes returns a line for each unexpected exit of a process.
func (s *soak) crashes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.unexpectedExits...)
}

// close closes all relays.
func (s *soak) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.relays {
		for _, relay := range pair {
			relay.close()
		}
	}
}
