package ferrycert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeTestKeys writes a certificate, its key and the certificate of the authority that signed it.
func writeTestKeys(t *testing.T) (certificate, key, authority string) {
	t.Helper()
	dir := t.TempDir()
	newKey := func() *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		assert.NilError(t, err)
		return k
	}
	template := func(name string, ca bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: ca, BasicConstraintsValid: true,
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
	}
	caKey, ownKey := newKey(), newKey()
	ca, own := template("authority", true), template("entry", false)
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	assert.NilError(t, err)
	ownDER, err := x509.CreateCertificate(rand.Reader, own, ca, ownKey.Public(), caKey)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(ownKey)
	assert.NilError(t, err)
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	return write("own.pem", "CERTIFICATE", ownDER), write("key.pem", "PRIVATE KEY", keyDER), write("ca.pem", "CERTIFICATE", caDER)
}

func startServer(t *testing.T, certificate, key, authority string) *httptest.Server {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(certificate, key)
	assert.NilError(t, err)
	pool, err := Authorities(authority)
	assert.NilError(t, err)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	s.StartTLS()
	t.Cleanup(s.Close)
	return s
}

func TestPeersAreVerifiedByAuthority(t *testing.T) {
	certificate, key, authority := writeTestKeys(t)
	otherCertificate, otherKey, otherAuthority := writeTestKeys(t)
	s := startServer(t, certificate, key, authority)
	tests := []struct {
		name                        string
		certificate, key, authority string
		ok                          bool
	}{
		{"same authority", certificate, key, authority, true},
		{"client of another authority", otherCertificate, otherKey, authority, false},
		{"server of another authority", certificate, key, otherAuthority, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := Client(tt.certificate, tt.key, tt.authority)
			assert.NilError(t, err)
			c := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
			w, err := c.Get(s.URL)
			if err == nil {
				w.Body.Close()
			}
			assert.Equal(t, err == nil, tt.ok, "%v", err)
		})
	}
	_, err := Client(certificate, key, filepath.Join(t.TempDir(), "none.pem"))
	assert.ErrorContains(t, err, "load authorities")
}
