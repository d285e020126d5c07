// Package soak runs deployments of real processes, on loopback, under seeded troubles that come in
// series and overlap. It owns the processes, the relays before the store and each target, and
// the seeds that are kept in testdata. It relies on a built landingmastd and on the rest of
// testbed for store, targets, clients and judge. Only tests import it.
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

// Ports of a machine besides those of every deployment.
const (
	portStoreRelay  = "8010" // of the relay before the store
	portTargetRelay = "8011" // of the relay before the target
	portMetrics     = "8012" // of the node
)

// soak runs nodes as processes of the real program. It ends only processes that it started.
type soak struct {
	daemon string // path of landingmastd
	folder string // of settings and logs
	octet  int    // second part of all addresses, so that soaks beside each other do not meet
	mesh   *testbed.Mesh

	mu        sync.Mutex
	processes map[string]*process    // by machine
	relays    map[string][2]*relay   // by machine: before the store and before the target
	busy      map[string]*sync.Mutex // by machine, held by the trouble that it is in
	ended     []string               // ends that nobody asked for
}

// process is the process of a node.
type process struct {
	command *exec.Cmd
	done    chan struct{} // closed when it has ended
	asked   bool          // its end was asked for
}

func newSoak(daemon, folder string) *soak {
	return &soak{
		daemon: daemon, folder: folder, octet: 16 + os.Getpid()%200,
		processes: map[string]*process{}, relays: map[string][2]*relay{}, busy: map[string]*sync.Mutex{},
	}
}

// storeAddress returns where the store listens.
func (s *soak) storeAddress() string { return fmt.Sprintf("127.%d.255.1:8000", s.octet) }

// machineIP returns the address of a machine on loopback.
func (s *soak) machineIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, number/200, number%200+1)
}

// file returns the path of a machine's file with an ending.
func (s *soak) file(m *testbed.Machine, ending string) string {
	return filepath.Join(s.folder, m.IP+ending)
}

// take reserves a machine for a trouble unless another one holds it. If it is taken, release must
// be called.
func (s *soak) take(m *testbed.Machine) (release func(), taken bool) {
	s.mu.Lock()
	if s.busy[m.IP] == nil {
		s.busy[m.IP] = &sync.Mutex{}
	}
	busy := s.busy[m.IP]
	s.mu.Unlock()
	return busy.Unlock, busy.TryLock()
}

// relaysOf returns the relays of a machine, before the store and before the target; the first
// call makes them.
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
	m.Target.Listening = target.listening
	s.relays[m.IP] = [2]*relay{store, target}
	return s.relays[m.IP], nil
}

// write writes the settings file of a node, with the relays in place of store and target.
func (s *soak) write(m *testbed.Machine, chosen *settings.Settings) error {
	text := fmt.Sprintf("node: %q\nzone: %q\nfirst_start: %t\ntarget:\n  service: %q\n  address: %q\n", chosen.Node, chosen.Zone, chosen.FirstStart, chosen.Target.Service, m.IP+":"+portTargetRelay) +
		fmt.Sprintf("listen:\n  outbound: %q\n  inbound: %q\n  ready: %q\n  control: %q\n  metrics: %q\n", chosen.Listen.Outbound, chosen.Listen.Inbound, chosen.Listen.Ready, chosen.Listen.Control, m.IP+":"+portMetrics) +
		fmt.Sprintf("store:\n  address: %q\nretries:\n  allowance: %g\nkeys:\n  fail_closed: true\n", m.IP+":"+portStoreRelay, chosen.Retries.Allowance)
	return os.WriteFile(s.file(m, ".yaml"), []byte(text), 0o600)
}

// Start implements testbed.Nodes.
func (s *soak) Start(m *testbed.Machine, chosen *settings.Settings) error {
	if _, err := s.relaysOf(m); err != nil {
		return err
	}
	if err := s.write(m, chosen); err != nil {
		return err
	}
	log, err := os.OpenFile(s.file(m, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(s.daemon, "--settings", s.file(m, ".yaml"), "sidecar")
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
		if !started.asked {
			s.ended = append(s.ended, fmt.Sprintf("the node of %s ended by itself: %v", m.IP, err))
		}
		s.mu.Unlock()
		close(started.done)
	}()
	return nil
}

// signal sends a signal to the process of a node; ends says that it is meant to end. It returns
// nil if the node was never started.
func (s *soak) signal(m *testbed.Machine, number syscall.Signal, ends bool) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.processes[m.IP]
	if running == nil {
		return nil
	}
	running.asked = running.asked || ends
	select {
	case <-running.done:
	default:
		_ = running.command.Process.Signal(number) // fails only if it has just ended
	}
	return running
}

// Kill implements testbed.Nodes.
func (s *soak) Kill(m *testbed.Machine) {
	if killed := s.signal(m, syscall.SIGKILL, true); killed != nil {
		<-killed.done
	}
}

// Stop implements testbed.Nodes. It sends SIGTERM, and SIGKILL when the grace is over.
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
		s.ended = append(s.ended, "the node of "+m.IP+" was still there at the end of its grace")
		s.mu.Unlock()
		s.Kill(m)
	}
}

// stopping sends SIGTERM and does not wait for the end.
func (s *soak) stopping(m *testbed.Machine) { s.signal(m, syscall.SIGTERM, true) }

// pause suspends the process for a span.
func (s *soak) pause(m *testbed.Machine, span time.Duration) {
	s.signal(m, syscall.SIGSTOP, false)
	time.Sleep(span)
	s.signal(m, syscall.SIGCONT, false)
}

// Reload implements testbed.Nodes.
func (s *soak) Reload(m *testbed.Machine, changed *settings.Settings) {
	if s.write(m, changed) == nil {
		s.signal(m, syscall.SIGHUP, false)
	}
}

// Version implements testbed.Nodes. It reads the configuration in force from the node's metrics.
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
			version, _ := strconv.ParseFloat(value, 64) // 0 is no version
			return uint64(version)
		}
	}
	return 0
}

// unasked returns a line for each end of a process that nobody asked for.
func (s *soak) unasked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ended...)
}

// close ends the relays.
func (s *soak) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.relays {
		for _, relay := range pair {
			relay.close()
		}
	}
}
