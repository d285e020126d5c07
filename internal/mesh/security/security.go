// Package security makes and loads the keys of landingmast: certificates for
// mutual TLS between nodes and Ed25519 keys of the operators who sign bundles.
package security

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
)

// PeerName is the name that every node certificate carries; the node's own name
// is the common name.
const PeerName = "peer.landingmast"

// Validity of what is made here.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	nodeValidity      = 90 * 24 * time.Hour
	clockSlack        = time.Hour
)

// Pair is a certificate and its key, both PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes a certificate authority for the nodes of a mesh.
func NewAuthority(mesh string) (Pair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "landingmast authority " + mesh}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-clockSlack), NotAfter: time.Now().Add(authorityValidity),
	}
	return issue(template, nil)
}

// NewNode makes the certificate of a node, signed by the authority.
func NewNode(authority Pair, node string) (Pair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: node}, DNSNames: []string{PeerName}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		NotBefore:   time.Now().Add(-clockSlack), NotAfter: time.Now().Add(nodeValidity),
	}
	return issue(template, &authority)
}

func issue(template *x509.Certificate, authority *Pair) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, failure.Wrap(err, failure.Internal, "try again", "key cannot be made")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return Pair{}, failure.Wrap(err, failure.Internal, "try again", "serial number cannot be made")
	}
	parent, signer := template, any(key)
	if authority != nil {
		loaded, err := tls.X509KeyPair(authority.Certificate, authority.Key)
		if err != nil {
			return Pair{}, failure.Wrap(err, failure.BadInput, "name the files that `landingmast keys authority` wrote", "authority cannot be read")
		}
		parent, signer = loaded.Leaf, loaded.PrivateKey
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, failure.Wrap(err, failure.Internal, "try again", "certificate cannot be made")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, failure.Wrap(err, failure.Internal, "try again", "key cannot be written")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}

// NewSigner makes the key of an operator; the private key is PEM.
func NewSigner() (private []byte, public ed25519.PublicKey, err error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Internal, "try again", "key cannot be made")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Internal, "try again", "key cannot be written")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), public, nil
}

// ReadSigner reads an operator's private key.
func ReadSigner(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, failure.New(failure.BadInput, "name the file that `landingmast keys signer` wrote", "signer's key is not PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "name the file that `landingmast keys signer` wrote", "signer's key cannot be read")
	}
	key, isSigner := parsed.(ed25519.PrivateKey)
	if !isSigner {
		return nil, failure.New(failure.BadInput, "name the file that `landingmast keys signer` wrote", "signer's key is not Ed25519")
	}
	return key, nil
}

// Identity holds a node's keys. It reads the files again when they change, at
// most every few seconds, so that keys rotate without a restart.
type Identity struct {
	certificateFile string
	keyFile         string
	authorityFile   string

	mutex       sync.Mutex
	checked     time.Time
	stamp       [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

const reloadInterval = 5 * time.Second

// LoadIdentity reads a node's keys.
func LoadIdentity(certificateFile, keyFile, authorityFile string) (*Identity, error) {
	identity := &Identity{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := identity.load(); err != nil {
		return nil, err
	}
	return identity, nil
}

func (i *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(i.certificateFile, i.keyFile)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "make them with `landingmast keys node`", "settings: tls.certificate and tls.key")
	}
	data, err := os.ReadFile(i.authorityFile)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "name the certificate of the mesh's authority", "settings: tls.authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return failure.New(failure.BadInput, "name the certificate of the mesh's authority", "settings: tls.authorities: %s holds no certificate", i.authorityFile)
	}
	i.certificate, i.authorities, i.stamp, i.checked = &certificate, pool, i.stamps(), time.Now()
	return nil
}

func (i *Identity) stamps() [3]time.Time {
	var stamps [3]time.Time
	for index, file := range []string{i.certificateFile, i.keyFile, i.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			stamps[index] = info.ModTime()
		}
	}
	return stamps
}

// current gives the keys in force. Files that cannot be read leave the old keys
// in force.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if time.Since(i.checked) > reloadInterval {
		i.checked = time.Now()
		if i.stamps() != i.stamp {
			_ = i.load()
		}
	}
	return i.certificate, i.authorities
}

// Server gives the TLS configuration of the peer port: it refuses strangers.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := i.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}, Certificates: []tls.Certificate{*certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities,
			}, nil
		},
	}
}

// Client gives the TLS configuration towards peers.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}, ServerName: PeerName,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks against authorities that may have been reloaded.
		VerifyConnection:   i.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return certificate, nil
		},
	}
}

func (i *Identity) verifyServer(state tls.ConnectionState) error {
	_, authorities := i.current()
	if len(state.PeerCertificates) == 0 {
		return failure.New(failure.Untrusted, "connect to peer ports only", "peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, DNSName: PeerName})
	if err != nil {
		return failure.Wrap(err, failure.Untrusted, "issue the node's certificate with the mesh's authority", "certificate of a peer does not check")
	}
	return nil
}
