package security

import (
	"crypto/ed25519"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

// newTestIdentity issues a node's certificate, writes its files into folder and loads them.
func newTestIdentity(g *WithT, folder string, authority KeyPair, node string) *Identity {
	pair, err := NewNode(authority, node)
	g.Expect(err).NotTo(HaveOccurred())
	for name, data := range map[string][]byte{node + ".crt": pair.Certificate, node + ".key": pair.Key, node + "-authority.crt": authority.Certificate} {
		g.Expect(os.WriteFile(filepath.Join(folder, name), data, 0o600)).To(Succeed())
	}
	identity, err := LoadIdentity(filepath.Join(folder, node+".crt"), filepath.Join(folder, node+".key"), filepath.Join(folder, node+"-authority.crt"))
	g.Expect(err).NotTo(HaveOccurred())
	return identity
}

// handshake connects a client to a server and returns the error of each side.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	serverConn, clientConn := net.Pipe()
	defer serverConn.Close()
	defer clientConn.Close()
	deadline := time.Now().Add(5 * time.Second)
	_ = serverConn.SetDeadline(deadline)
	_ = clientConn.SetDeadline(deadline)
	done := make(chan error, 1)
	go func() {
		tlsServer := tls.Server(serverConn, server)
		err := tlsServer.Handshake()
		if err == nil {
			_, err = tlsServer.Write([]byte("x"))
		}
		_ = serverConn.Close()
		done <- err
	}()
	tlsClient := tls.Client(clientConn, client)
	clientErr = tlsClient.Handshake()
	if clientErr == nil {
		_, clientErr = tlsClient.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return <-done, clientErr
}

func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	authority, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	other, err := NewAuthority("other")
	g.Expect(err).NotTo(HaveOccurred())
	one, two, untrusted := newTestIdentity(g, folder, authority, "one"), newTestIdentity(g, folder, authority, "two"), newTestIdentity(g, folder, other, "stranger")
	serverErr, clientErr := handshake(one.Server(), two.Client())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(clientErr).NotTo(HaveOccurred())
	serverErr, _ = handshake(one.Server(), untrusted.Client())
	g.Expect(serverErr).To(HaveOccurred())
	_, clientErr = handshake(untrusted.Server(), two.Client())
	g.Expect(clientErr).To(HaveOccurred())
	serverErr, _ = handshake(one.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(serverErr).To(HaveOccurred())
}

func TestKeyRotationWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	old, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	renewed, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	server, client := newTestIdentity(g, folder, old, "server"), newTestIdentity(g, folder, renewed, "client")
	serverErr, _ := handshake(server.Server(), client.Client())
	g.Expect(serverErr).To(HaveOccurred())

	// During a rotation both sides trust both authorities.
	both := append(append([]byte(nil), old.Certificate...), renewed.Certificate...)
	for _, node := range []string{"server", "client"} {
		path := filepath.Join(folder, node+"-authority.crt")
		g.Expect(os.WriteFile(path, both, 0o600)).To(Succeed())
		g.Expect(os.Chtimes(path, time.Now(), time.Now().Add(time.Minute))).To(Succeed())
	}
	server.lastCheck, client.lastCheck = time.Time{}, time.Time{}
	serverErr, clientErr := handshake(server.Server(), client.Client())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(clientErr).NotTo(HaveOccurred())
}

func TestReadSigner(t *testing.T) {
	g := NewWithT(t)
	private, public, err := GenerateSigningKey()
	g.Expect(err).NotTo(HaveOccurred())
	key, err := ParseSigningKey(private)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Public().(ed25519.PublicKey)).To(Equal(public))
	authority, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	for _, data := range [][]byte{nil, []byte("x"), authority.Key} {
		_, err := ParseSigningKey(data)
		g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue())
	}
}
