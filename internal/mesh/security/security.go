// Package security generates and loads the certificates for mutual TLS between nodes
// and the Ed25519 keys that operators sign bundles with.
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

// PeerName is the DNS name in every node certificate. The common name is the node's
// own name.
const PeerName = "peer.landingmast"

// Validity periods of issued certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	nodeValidity      = 90 * 24 * time.Hour
	clockSkew         = time.Hour // backdates NotBefore for peers with a slow clock
)

// KeyPair is a certificate and its private key, PEM-encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority generates a self-signed certificate authority for a mesh.
func NewAuthority(mesh string) (KeyPair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "landingmast authority " + mesh}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-clockSkew), NotAfter: time.Now().Add(authorityValidity),
	}
	return issueCertificate(template, nil)
}

// NewNode generates a node's key and issues its certificate.
func NewNode(authority KeyPair, node string) (KeyPair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: node}, DNSNames: []string{PeerName}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		NotBefore:   time.Now().Add(-clockSkew), NotAfter: time.Now().Add(nodeValidity),
	}
	return issueCertificate(template, &authority)
}

// issueCertificate generates a key and signs its certificate with authority, or with the
// key itself if authority is nil.
func issueCertificate(template *x509.Certificate, authority *KeyPair) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, failure.Wrap(err, failure.Internal, "try again", "cannot generate a key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return KeyPair{}, failure.Wrap(err, failure.Internal, "try again", "cannot generate a serial number")
	}
	parent, signer := template, any(key)
	if authority != nil {
		loaded, err := tls.X509KeyPair(authority.Certificate, authority.Key)
		if err != nil {
			return KeyPair{}, failure.Wrap(err, failure.BadInput, "use the files written by `landingmast keys authority`", "cannot parse the authority's certificate and key")
		}
		parent, signer = loaded.Leaf, loaded.PrivateKey
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, failure.Wrap(err, failure.Internal, "try again", "cannot create the certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, failure.Wrap(err, failure.Internal, "try again", "cannot encode the private key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}

// GenerateSigningKey generates an operator's signing key. The private key is PEM-encoded PKCS #8.
func GenerateSigningKey() (private []byte, public ed25519.PublicKey, err error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Internal, "try again", "cannot generate a key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Internal, "try again", "cannot encode the private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), public, nil
}

// ParseSigningKey parses an operator's PEM-encoded private key.
func ParseSigningKey(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, failure.New(failure.BadInput, "use the file written by `landingmast keys signer`", "signing key is not PEM-encoded")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "use the file written by `landingmast keys signer`", "cannot parse the signing key")
	}
	key, isSigner := parsed.(ed25519.PrivateKey)
	if !isSigner {
		return nil, failure.New(failure.BadInput, "use the file written by `landingmast keys signer`", "signing key is not an Ed25519 key")
	}
	return key, nil
}

// Identity holds a node's certificate, private key and trusted authorities. It reloads
// the files when their modification times change, so that keys can be rotated without a
// restart.
type Identity struct {
	certificateFile string
	keyFile         string
	authorityFile   string

	mutex       sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// reloadInterval is the minimum time between checks of the files.
const reloadInterval = 5 * time.Second

// LoadIdentity loads a node's identity from PEM files.
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
		return failure.Wrap(err, failure.BadInput, "create the files with `landingmast keys node`", "settings: tls.certificate and tls.key")
	}
	data, err := os.ReadFile(i.authorityFile)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "set it to the certificate file of the mesh's authority", "settings: tls.authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return failure.New(failure.BadInput, "set it to the certificate file of the mesh's authority", "settings: tls.authorities: no certificate in %s", i.authorityFile)
	}
	i.certificate, i.authorities, i.modTimes, i.lastCheck = &certificate, pool, i.readModTimes(), time.Now()
	return nil
}

func (i *Identity) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for index, file := range []string{i.certificateFile, i.keyFile, i.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			modTimes[index] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the certificate and the trusted authorities. If reloading fails, the
// previous ones remain in use.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if time.Since(i.lastCheck) > reloadInterval {
		i.lastCheck = time.Now()
		if i.readModTimes() != i.modTimes {
			_ = i.load()
		}
	}
	return i.certificate, i.authorities
}

// Server returns the TLS configuration of the peer port, which requires a client
// certificate issued by a trusted authority.
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

// Client returns the TLS configuration for connections to peers.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}, ServerName: PeerName,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies against the reloaded authorities.
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
		return failure.New(failure.Untrusted, "connect to peer ports only", "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, DNSName: PeerName})
	if err != nil {
		return failure.Wrap(err, failure.Untrusted, "issue the node's certificate with the mesh's authority", "verification of the peer's certificate failed")
	}
	return nil
}
