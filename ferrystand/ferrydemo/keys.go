package ferrydemo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"cactusferry.dev/ferry/ferrycert"
)

const (
	certificateLifetime = time.Hour
	keyMode             = 0o600
	serialBits          = 64
)

// Keys is a temporary directory with a fleet's TLS files: one key
// pair for all processes, and the authorities that they trust.
type Keys struct {
	dir string
}

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t, err := template(name)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, err
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-certificateLifetime), NotAfter: now.Add(certificateLifetime),
	}, nil
}

// NewKeys writes a key pair signed by the authority and the trusted authorities to a temporary directory.
func NewKeys(by *Authority, trusted ...*Authority) (*Keys, error) {
	dir, err := os.MkdirTemp("", "cactusferry-keys")
	if err != nil {
		return nil, err
	}
	k := &Keys{dir: dir}
	if err := k.Issue(by); err != nil {
		return nil, err
	}
	return k, k.Trust(trusted...)
}

// Issue replaces the key pair with one signed by the authority.
func (k *Keys) Issue(by *Authority) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := template("cactusferry")
	if err != nil {
		return err
	}
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, by.cert, key.Public(), by.key)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writeAtomically(k.keyFile(), block("PRIVATE KEY", secret)); err != nil {
		return err
	}
	return writeAtomically(k.certificateFile(), block("CERTIFICATE", der))
}

// Trust replaces the trusted authorities.
func (k *Keys) Trust(trusted ...*Authority) error {
	var b []byte
	for _, a := range trusted {
		b = append(b, block("CERTIFICATE", a.cert.Raw)...)
	}
	return writeAtomically(k.authoritiesFile(), b)
}

// Remove deletes the directory.
func (k *Keys) Remove() { _ = os.RemoveAll(k.dir) }

func (k *Keys) certificateFile() string { return filepath.Join(k.dir, "certificate.pem") }

func (k *Keys) keyFile() string { return filepath.Join(k.dir, "key.pem") }

func (k *Keys) authoritiesFile() string { return filepath.Join(k.dir, "authorities.pem") }

// entryFlags returns ferryd's flags for both listeners.
func (k *Keys) entryFlags() []string {
	return []string{
		"--callers.tls.certificate", k.certificateFile(), "--callers.tls.key", k.keyFile(),
		"--peers.tls.certificate", k.certificateFile(), "--peers.tls.key", k.keyFile(), "--peers.tls.client-ca", k.authoritiesFile(),
	}
}

// ctlFlags returns ferryctl's TLS flags.
func (k *Keys) ctlFlags() []string {
	return []string{"--tls-certificate", k.certificateFile(), "--tls-key", k.keyFile(), "--tls-ca", k.authoritiesFile()}
}

// Config returns the TLS configuration of a client with the key pair.
func (k *Keys) Config() (*tls.Config, error) {
	return ferrycert.Client(k.certificateFile(), k.keyFile(), k.authoritiesFile())
}

func (k *Keys) client() (*http.Client, error) {
	cfg, err := k.Config()
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}, nil
}

func block(kind string, b []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b})
}

// writeAtomically replaces a file atomically, so that no process reads a partial file.
func writeAtomically(name string, b []byte) error {
	if err := os.WriteFile(name+".new", b, keyMode); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
