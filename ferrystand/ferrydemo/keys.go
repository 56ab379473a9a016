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
	keyLifetime = time.Hour
	keyMode     = 0o600
	serialBits  = 64
)

// Keys are a fleet's TLS files in a directory of their own: one pair for all processes, and the authorities that they trust.
type Keys struct {
	dir string
}

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a fresh key.
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
		NotBefore: now.Add(-keyLifetime), NotAfter: now.Add(keyLifetime),
	}, nil
}

// NewKeys writes a pair signed by the authority to a temporary directory, with the authorities that are trusted.
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

// Issue replaces the pair by one that the authority signs.
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
	if err := write(k.key(), block("PRIVATE KEY", secret)); err != nil {
		return err
	}
	return write(k.certificate(), block("CERTIFICATE", der))
}

// Trust replaces the authorities.
func (k *Keys) Trust(trusted ...*Authority) error {
	var b []byte
	for _, a := range trusted {
		b = append(b, block("CERTIFICATE", a.cert.Raw)...)
	}
	return write(k.authorities(), b)
}

// Remove removes the files.
func (k *Keys) Remove() { _ = os.RemoveAll(k.dir) }

func (k *Keys) certificate() string { return filepath.Join(k.dir, "certificate.pem") }

func (k *Keys) key() string { return filepath.Join(k.dir, "key.pem") }

func (k *Keys) authorities() string { return filepath.Join(k.dir, "authorities.pem") }

// entryFlags are ferryd's flags for both listeners.
func (k *Keys) entryFlags() []string {
	return []string{
		"--callers.tls.certificate", k.certificate(), "--callers.tls.key", k.key(),
		"--peers.tls.certificate", k.certificate(), "--peers.tls.key", k.key(), "--peers.tls.client-ca", k.authorities(),
	}
}

// ctlFlags are ferryctl's flags.
func (k *Keys) ctlFlags() []string {
	return []string{"--tls-certificate", k.certificate(), "--tls-key", k.key(), "--tls-ca", k.authorities()}
}

// Config is how a client connects that has the pair.
func (k *Keys) Config() (*tls.Config, error) {
	return ferrycert.Client(k.certificate(), k.key(), k.authorities())
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

// write replaces a file in one step, so that no process reads half of it.
func write(name string, b []byte) error {
	if err := os.WriteFile(name+".new", b, keyMode); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
