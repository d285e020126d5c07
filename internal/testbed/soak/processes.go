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

// Ports of a machine in a soak besides those of a mesh: before the store and the target.
const (
	portStoreRelay  = "8010"
	portTargetRelay = "8011"
	portMetrics     = "8012"
)

// soak runs the nodes of a mesh as processes of the real program. It ends only the processes
// that it started.
type soak struct {
	daemon string // path of landingmastd
	folder string // of settings and logs
	octet  int    // second part of all its addresses
	mesh   *testbed.Mesh

	mutex     sync.Mutex
	processes map[string]*soakProcess // by machine
	relays    map[string][2]*relay    // before the store and the target
	busy      map[string]*sync.Mutex  // held by a trouble of the machine
	ended     []string                // ends that nobody asked for
}

// soakProcess is one running node.
type soakProcess struct {
	command *exec.Cmd
	done    chan struct{} // closed when it is gone
	asked   bool          // its end was asked for
}

func newSoak(daemon, folder string) *soak {
	return &soak{
		daemon: daemon, folder: folder, octet: 16 + os.Getpid()%200,
		processes: map[string]*soakProcess{}, relays: map[string][2]*relay{}, busy: map[string]*sync.Mutex{},
	}
}

func (s *soak) storeAddress() string { return fmt.Sprintf("127.%d.255.1:8000", s.octet) }

func (s *soak) machineIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, number/200, number%200+1)
}

func (s *soak) file(m *testbed.Machine, ending string) string {
	return filepath.Join(s.folder, m.IP+ending)
}

// take has a trouble hold a machine unless another one does; release must follow.
func (s *soak) take(m *testbed.Machine) (release func(), taken bool) {
	s.mutex.Lock()
	if s.busy[m.IP] == nil {
		s.busy[m.IP] = &sync.Mutex{}
	}
	busy := s.busy[m.IP]
	s.mutex.Unlock()
	return busy.Unlock, busy.TryLock()
}

// relaysOf gives the relays of a machine, and makes them at first.
func (s *soak) relaysOf(m *testbed.Machine) ([2]*relay, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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

// write writes the settings of a machine's node.
func (s *soak) write(m *testbed.Machine, checked *settings.Settings) error {
	text := fmt.Sprintf("node: %q\nzone: %q\nfirst_start: %t\ntarget:\n  service: %q\n  address: %q\n", checked.Node, checked.Zone, checked.FirstStart, checked.Target.Service, m.IP+":"+portTargetRelay) +
		fmt.Sprintf("listen:\n  outbound: %q\n  inbound: %q\n  ready: %q\n  control: %q\n  metrics: %q\n", checked.Listen.Outbound, checked.Listen.Inbound, checked.Listen.Ready, checked.Listen.Control, m.IP+":"+portMetrics) +
		fmt.Sprintf("store:\n  address: %q\nretries:\n  allowance: %g\nkeys:\n  fail_closed: true\n", m.IP+":"+portStoreRelay, checked.Retries.Allowance)
	return os.WriteFile(s.file(m, ".yaml"), []byte(text), 0o600)
}

// Start implements Nodes.
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
	one := &soakProcess{command: command, done: make(chan struct{})}
	s.mutex.Lock()
	s.processes[m.IP] = one
	s.mutex.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		s.mutex.Lock()
		if !one.asked {
			s.ended = append(s.ended, fmt.Sprintf("the node of %s ended by itself: %v", m.IP, err))
		}
		s.mutex.Unlock()
		close(one.done)
	}()
	return nil
}

// signal sends a signal; ends tells that it is to end the process.
func (s *soak) signal(m *testbed.Machine, number syscall.Signal, ends bool) *soakProcess {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	one := s.processes[m.IP]
	if one == nil {
		return nil
	}
	one.asked = one.asked || ends
	select {
	case <-one.done:
	default:
		_ = one.command.Process.Signal(number)
	}
	return one
}

// Kill implements Nodes.
func (s *soak) Kill(m *testbed.Machine) {
	if one := s.signal(m, syscall.SIGKILL, true); one != nil {
		<-one.done
	}
}

// Stop implements Nodes. It sends SIGTERM, and SIGKILL when the grace is over.
func (s *soak) Stop(m *testbed.Machine) {
	m.Target.Judge.Stopping(m.IP)
	one := s.signal(m, syscall.SIGTERM, true)
	if one == nil {
		return
	}
	select {
	case <-one.done:
	case <-time.After(judge.StopGrace + judge.StopAfter):
		s.mutex.Lock()
		s.ended = append(s.ended, "the node of "+m.IP+" was still there at the end of its grace")
		s.mutex.Unlock()
		s.Kill(m)
	}
}

// stopping sends SIGTERM and does not wait.
func (s *soak) stopping(m *testbed.Machine) { s.signal(m, syscall.SIGTERM, true) }

// pause has the process stand still for some time.
func (s *soak) pause(m *testbed.Machine, span time.Duration) {
	s.signal(m, syscall.SIGSTOP, false)
	time.Sleep(span)
	s.signal(m, syscall.SIGCONT, false)
}

// Reload implements Nodes.
func (s *soak) Reload(m *testbed.Machine, changed *settings.Settings) {
	if s.write(m, changed) == nil {
		s.signal(m, syscall.SIGHUP, false)
	}
}

// Version implements Nodes. It reads the configuration in force from the node's metrics.
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

// unasked gives the ends of processes that nobody asked for.
func (s *soak) unasked() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.ended...)
}

// close ends the relays.
func (s *soak) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, pair := range s.relays {
		for _, one := range pair {
			one.close()
		}
	}
}
