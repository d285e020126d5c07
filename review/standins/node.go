package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Node is a machine's landingmastd sidecar, a separate process.
type Node struct {
	Name, Zone, Service, App                   string // App: address of the target
	Outbound, Inbound, Ready, Control, Metrics string
	world                                      *World
	firstStart                                 bool
	command                                    *exec.Cmd
	done                                       chan struct{}
}

// Ports are taken below those that the system gives to outgoing connections, so that a node that was
// stopped finds its own free again.
const (
	firstPort = 18000
	ports     = 12000
)

var taken = map[string]bool{}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	for {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(ports))
		if taken[address] {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			taken[address] = true
			return address
		}
	}
}

// settings has the keys of deploy/settings.yaml, with the values of the bounds of a small deployment.
func (n *Node) settings() string {
	return fmt.Sprintf(`node: %q
zone: %q
first_start: %t
target:
  service: %q
  address: %q
listen:
  outbound: %q
  inbound: %q
  ready: %q
  control: %q
  metrics: %q
store:
  address: %q
  reads_per_second: 2000
bounds:
  drain: "2000ms"
  grace: "6s"
retries:
  ratio: 0.2
  allowance: 60
  window: "10s"
`, n.Name, n.Zone, n.firstStart, n.Service, n.App, n.Outbound, n.Inbound, n.Ready, n.Control, n.Metrics, n.world.StoreAddress)
}

// Start starts the process with the command of deploy/system.toml.
func (n *Node) Start() error {
	settings := filepath.Join(n.world.Folder, n.Name+".yaml")
	if err := os.WriteFile(settings, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	n.firstStart = false
	log, err := os.OpenFile(filepath.Join(n.world.Folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/landingmastd", "sidecar")
	command.Dir = n.world.Root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANDINGMAST_BOOT=" + settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.command, n.done = command, done
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	n.world.Record.Add("node %s started, pid %d", n.Name, command.Process.Pid)
	return nil
}

// Stop sends SIGTERM, and SIGKILL when the grace is over, as the platform does.
func (n *Node) Stop() {
	n.world.Record.Add("node %s gets SIGTERM", n.Name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(6 * time.Second):
		n.world.Record.Add("node %s gets SIGKILL at the end of the grace", n.Name)
		_ = n.command.Process.Kill()
		<-n.done
	}
	n.world.Record.Add("node %s has ended", n.Name)
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.done
}

// IsReady reports whether the readiness path answers 200.
func (n *Node) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
