package ferrykeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferryd/ferrysettings"
)

// authority is a certificate authority of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func template(name string, now time.Time, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature,
	}
}

func newAuthority(t *testing.T, now time.Time) authority {
	t.Helper()
	key := newKey(t)
	c := template("authority", now, 1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{cert: cert, key: key}
}

func writePEM(t *testing.T, name, kind string, der []byte, modified time.Time) {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	assert.NilError(t, os.Chtimes(name, modified, modified))
}

// issue writes a pair signed by the authority, and the authority's certificate, to a directory.
func (a authority) issue(t *testing.T, dir string, now time.Time, serial int64) ferrysettings.TLS {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template("entry", now, serial), a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	cfg := ferrysettings.TLS{
		Certificate: filepath.Join(dir, "entry.pem"), Key: filepath.Join(dir, "entry.key"), ClientCA: filepath.Join(dir, "authority.pem"),
	}
	writePEM(t, cfg.Certificate, "CERTIFICATE", der, now)
	writePEM(t, cfg.Key, "EC PRIVATE KEY", private, now)
	writePEM(t, cfg.ClientCA, "CERTIFICATE", a.cert.Raw, now)
	return cfg
}

// handshake connects both configurations. It returns the server's serial number as the
// client saw it, and both errors.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			s := tls.Server(c, server)
			err = s.Handshake()
			_ = s.Close()
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c := tls.Client(raw, client)
	defer c.Close()
	clientErr = c.Handshake()
	if clientErr == nil {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			clientErr = err
		}
	}
	return serial, <-done, clientErr
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	now := clock.Now()
	trusted, untrusted := newAuthority(t, now), newAuthority(t, now)
	own, err := Load(clock, trusted.issue(t, t.TempDir(), now, 10))
	assert.NilError(t, err)
	peer, err := Load(clock, trusted.issue(t, t.TempDir(), now, 11))
	assert.NilError(t, err)
	other, err := Load(clock, untrusted.issue(t, t.TempDir(), now, 12))
	assert.NilError(t, err)
	for _, tt := range []struct {
		name   string
		server *tls.Config
		client *tls.Config
		works  bool
	}{
		{"same authority", own.Server(), peer.Client(), true},
		{"client without a certificate", own.Server(), &tls.Config{InsecureSkipVerify: true}, false},
		{"client of another authority", own.Server(), other.Client(), false},
		{"server of another authority", other.Server(), peer.Client(), false},
	} {
		serial, serverErr, clientErr := handshake(t, tt.server, tt.client)
		assert.Equal(t, serverErr == nil && clientErr == nil, tt.works, "%s: server %v, client %v", tt.name, serverErr, clientErr)
		if tt.works {
			assert.Equal(t, serial, int64(10), tt.name)
		}
	}
}

// TestKeysAreReloaded checks that changed files are used from the next check on, and that invalid files
// leave the older pair in use.
func TestKeysAreReloaded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	now := clock.Now()
	trusted := newAuthority(t, now)
	dir := t.TempDir()
	cfg := trusted.issue(t, dir, now, 10)
	own, err := Load(clock, cfg)
	assert.NilError(t, err)
	peer, err := Load(clock, trusted.issue(t, t.TempDir(), now, 11))
	assert.NilError(t, err)
	expectSerial := func(want int64) {
		t.Helper()
		serial, serverErr, clientErr := handshake(t, own.Server(), peer.Client())
		assert.NilError(t, serverErr)
		assert.NilError(t, clientErr)
		assert.Equal(t, serial, want)
	}
	trusted.issue(t, dir, now.Add(time.Second), 20)
	expectSerial(10)
	clock.Advance(checkInterval)
	expectSerial(20)
	writePEM(t, cfg.Certificate, "CERTIFICATE", []byte("torn"), now.Add(2*time.Second))
	clock.Advance(checkInterval)
	expectSerial(20)
	trusted.issue(t, dir, now.Add(3*time.Second), 30)
	clock.Advance(checkInterval)
	expectSerial(30)
}
