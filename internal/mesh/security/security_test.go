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

// files writes the keys of a node into a folder.
func files(g *WithT, folder string, authority Pair, node string) *Identity {
	pair, err := NewNode(authority, node)
	g.Expect(err).NotTo(HaveOccurred())
	for name, data := range map[string][]byte{node + ".crt": pair.Certificate, node + ".key": pair.Key, node + "-authority.crt": authority.Certificate} {
		g.Expect(os.WriteFile(filepath.Join(folder, name), data, 0o600)).To(Succeed())
	}
	identity, err := LoadIdentity(filepath.Join(folder, node+".crt"), filepath.Join(folder, node+".key"), filepath.Join(folder, node+"-authority.crt"))
	g.Expect(err).NotTo(HaveOccurred())
	return identity
}

// meet has a client connect to a server and gives what each side says.
func meet(server, client *tls.Config) (serverErr, clientErr error) {
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	deadline := time.Now().Add(5 * time.Second)
	_ = left.SetDeadline(deadline)
	_ = right.SetDeadline(deadline)
	done := make(chan error, 1)
	go func() {
		served := tls.Server(left, server)
		err := served.Handshake()
		if err == nil {
			_, err = served.Write([]byte("x"))
		}
		_ = left.Close()
		done <- err
	}()
	connected := tls.Client(right, client)
	clientErr = connected.Handshake()
	if clientErr == nil {
		_, clientErr = connected.Read(make([]byte, 1))
	}
	_ = right.Close()
	return <-done, clientErr
}

func TestOnlyNodesOfTheMeshMeet(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	authority, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	other, err := NewAuthority("other")
	g.Expect(err).NotTo(HaveOccurred())
	one, two, stranger := files(g, folder, authority, "one"), files(g, folder, authority, "two"), files(g, folder, other, "stranger")
	serverErr, clientErr := meet(one.Server(), two.Client())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(clientErr).NotTo(HaveOccurred())
	serverErr, _ = meet(one.Server(), stranger.Client())
	g.Expect(serverErr).To(HaveOccurred())
	_, clientErr = meet(stranger.Server(), two.Client())
	g.Expect(clientErr).To(HaveOccurred())
	serverErr, _ = meet(one.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(serverErr).To(HaveOccurred())
}

func TestKeysRotateWithoutARestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	old, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	renewed, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	server, client := files(g, folder, old, "server"), files(g, folder, renewed, "client")
	serverErr, _ := meet(server.Server(), client.Client())
	g.Expect(serverErr).To(HaveOccurred())

	// Both sides trust both authorities for a while.
	both := append(append([]byte(nil), old.Certificate...), renewed.Certificate...)
	for _, node := range []string{"server", "client"} {
		path := filepath.Join(folder, node+"-authority.crt")
		g.Expect(os.WriteFile(path, both, 0o600)).To(Succeed())
		g.Expect(os.Chtimes(path, time.Now(), time.Now().Add(time.Minute))).To(Succeed())
	}
	server.checked, client.checked = time.Time{}, time.Time{}
	serverErr, clientErr := meet(server.Server(), client.Client())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(clientErr).NotTo(HaveOccurred())
}

func TestSignersKeysAreRead(t *testing.T) {
	g := NewWithT(t)
	private, public, err := NewSigner()
	g.Expect(err).NotTo(HaveOccurred())
	key, err := ReadSigner(private)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Public().(ed25519.PublicKey)).To(Equal(public))
	authority, err := NewAuthority("m")
	g.Expect(err).NotTo(HaveOccurred())
	for _, data := range [][]byte{nil, []byte("x"), authority.Key} {
		_, err := ReadSigner(data)
		g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue())
	}
}
