package node_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/adminapi"
	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	"github.com/landingmast/landingmast/internal/mesh/node"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/roll"
	"github.com/landingmast/landingmast/internal/mesh/security"
	"github.com/landingmast/landingmast/internal/units"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node")
}

// mesh runs a mesh in this process over real sockets and mutual TLS: two entries, service "front"
// with two targets and service "back" with three.
type mesh struct {
	directory string
	store     *standin.Platform
	storeAddr string
	private   ed25519.PrivateKey
	public    ed25519.PublicKey
	bundle    *bundle.Bundle
	settings  map[string]*config.Settings
	running   map[string]context.CancelFunc
	stopped   map[string]chan error
	group     sync.WaitGroup
	front     http.HandlerFunc
	back      http.HandlerFunc
}

// nextPort counts up from firstPort. Ports from that range are below the ephemeral port range, so
// that outgoing connections don't occupy them.
var nextPort atomic.Int64

const firstPort = 14000

func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%6000)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

func newMesh() *mesh {
	m := &mesh{directory: GinkgoT().TempDir(), settings: map[string]*config.Settings{}, running: map[string]context.CancelFunc{}, stopped: map[string]chan error{}}
	m.store = standin.NewPlatform()
	server := httptest.NewServer(m.store.Handler())
	DeferCleanup(server.Close)
	m.storeAddr = server.Listener.Addr().String()
	authority, err := security.NewAuthority("test")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(m.path("authority.pem"), authority.Certificate, 0o600)).To(Succeed())
	private, public, err := security.GenerateSigningKey()
	Expect(err).NotTo(HaveOccurred())
	m.private, err = security.ParseSigningKey(private)
	Expect(err).NotTo(HaveOccurred())
	m.public = public
	m.bundle = &bundle.Bundle{Mesh: "test", Version: 1, Levels: []string{"critical", "normal", "bulk"}, MaxDepth: 8, UserHeader: "X-User", Services: []bundle.Service{
		{Name: "front", Shed: &bundle.ShedSignal{Status: 503, Header: "X-Shed"}}, {Name: "back"},
	}, Classes: []bundle.Class{
		{Name: "once", Service: "front", Method: "POST", Path: "/once", Importance: "critical", Execution: bundle.AtMostOnce, KeyHeader: bundle.DefaultKeyHeader, Retries: 2, Deadline: units.Duration(5 * time.Second)},
		{Name: "read", Service: "front", Path: "/", Importance: "normal", Execution: bundle.Repeatable, Retries: 2, Deadline: units.Duration(5 * time.Second)},
		{Name: "lookup", Service: "back", Path: "/", Importance: "bulk", Execution: bundle.Repeatable, Retries: 2, Deadline: units.Duration(5 * time.Second)},
	}}
	front := func(w http.ResponseWriter, r *http.Request) { m.front(w, r) }
	back := func(w http.ResponseWriter, r *http.Request) { m.back(w, r) }
	m.add("entry-1", "a", nil)
	m.add("entry-2", "b", nil)
	m.add("front-1", "a", front)
	m.add("front-2", "b", front)
	m.add("back-1", "a", back)
	m.add("back-2", "b", back)
	m.add("back-3", "a", back)
	m.finishSettings(authority)
	return m
}

func (m *mesh) path(name string) string { return filepath.Join(m.directory, name) }

func (m *mesh) add(name, zone string, target http.HandlerFunc) {
	settings := &config.Settings{Node: name, Mesh: "test", Zone: zone, Listen: config.Listen{Peers: freeAddress(), Admin: freeAddress()}, Log: config.Log{Level: "error", Format: "text"}}
	member := bundle.Node{Name: name, Address: settings.Listen.Peers, Zone: zone, State: bundle.Active}
	if target == nil {
		settings.Listen.Callers = freeAddress()
		m.bundle.Entries = append(m.bundle.Entries, member)
	} else {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(headerNode, name)
			target(w, r)
		}))
		DeferCleanup(server.Close)
		settings.Target = &config.Target{Address: server.Listener.Addr().String(), Connections: 50}
		settings.Listen.Egress = freeAddress()
		service := &m.bundle.Services[0]
		if name[:4] == "back" {
			service = &m.bundle.Services[1]
		}
		service.Targets = append(service.Targets, member)
	}
	m.settings[name] = settings
}

func (m *mesh) finishSettings(authority security.KeyPair) {
	for name, settings := range m.settings {
		pair, err := security.NewNode(authority, name)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(m.path(name+".crt"), pair.Certificate, 0o600)).To(Succeed())
		Expect(os.WriteFile(m.path(name+".key"), pair.Key, 0o600)).To(Succeed())
		settings.TLS = config.TLS{Certificate: m.path(name + ".crt"), Key: m.path(name + ".key"), Authorities: m.path("authority.pem")}
		settings.Signers = []config.Signer{{Name: "op", PublicKey: base64.StdEncoding.EncodeToString(m.public)}}
		settings.Platform = config.Platform{Address: m.storeAddr, Timeout: units.Duration(time.Second)}
		for other, peer := range m.settings {
			if other != name {
				settings.Peers = append(settings.Peers, peer.Listen.Peers)
			}
		}
		Expect(settings.Validate()).To(Succeed())
	}
}

func (m *mesh) start() {
	m.roll(m.bundle)
	for name := range m.settings {
		m.startNode(name)
	}
	DeferCleanup(m.stop)
	for name := range m.settings {
		m.waitReady(name)
	}
}

func (m *mesh) startNode(name string) {
	n, err := node.New(m.settings[name], GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	m.running[name] = cancel
	stopped := make(chan error, 1)
	m.stopped[name] = stopped
	m.group.Go(func() { stopped <- n.Run(ctx, context.Background()) })
}

func (m *mesh) waitReady(name string) {
	Eventually(func() int {
		response, err := http.Get("http://" + m.settings[name].Listen.Admin + "/readyz")
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}, "10s", "10ms").Should(Equal(http.StatusOK))
}

// waitVoters waits until all nodes of service "front" are voters.
func (m *mesh) waitVoters() {
	for _, name := range []string{"front-1", "front-2"} {
		Eventually(func() int64 {
			status, err := m.admin(name).Status(context.Background())
			if err != nil {
				return 0
			}
			return status.VoterEpoch
		}, "10s", "20ms").Should(BeNumerically(">", 0))
	}
}

func (m *mesh) stop() {
	for _, cancel := range m.running {
		cancel()
	}
	m.group.Wait()
}

func (m *mesh) roll(wanted *bundle.Bundle) {
	release, err := bundle.Sign(wanted, "op", m.private)
	Expect(err).NotTo(HaveOccurred())
	_, err = roll.Roll(context.Background(), platform.NewConsul(m.storeAddr, time.Second), release)
	Expect(err).NotTo(HaveOccurred())
}

func (m *mesh) admin(name string) *adminapi.Client {
	return adminapi.New(m.settings[name].Listen.Admin)
}

// send sends a request to an entry and returns the response and its body.
func (m *mesh) send(entry, method, path string, body io.Reader, header http.Header) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+m.settings[entry].Listen.Callers+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "front"
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// headerNode passes the name of the target's node to the handler.
const headerNode = "X-Test-Node"

// call sends a request from a target to a service through the egress of the target's node. Like a
// real back end, it forwards only the X-Request-Id header.
func (m *mesh) call(r *http.Request, service, path string) (*http.Response, error) {
	egress := m.settings[r.Header.Get(headerNode)].Listen.Egress
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+egress+path, nil)
	if err != nil {
		return nil, err
	}
	request.Host = service
	request.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	return http.DefaultClient.Do(request)
}

// writeRaw writes bytes to the connection of a request, and closes it soon afterwards.
func writeRaw(w http.ResponseWriter, data string) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	_, _ = io.WriteString(conn, data)
	time.AfterFunc(200*time.Millisecond, func() { _ = conn.Close() })
	return conn
}
