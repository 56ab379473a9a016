package ferrypeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypeer"
)

// selfSigned returns a self-signed certificate for 127.0.0.1 and a pool with it as the only authority.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entries"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func TestMutualTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cert, pool := selfSigned(t)
		conf := &tls.Config{
			Certificates: []tls.Certificate{cert}, ServerName: "127.0.0.1", RootCAs: pool, ClientCAs: pool, ClientAuth: tls.VerifyClientCertIfGiven, MinVersion: tls.VersionTLS13,
		}
		withTLS := func(c *ferrypeer.Config) {
			c.TLS = conf
			c.Secret = nil
		}
		a := startNode(t, "entry-a", "domain-1", nil, withTLS)
		b := startNode(t, "entry-b", "domain-1", []string{a.address}, withTLS)
		waitFor(t, "both see both", func() bool { return hasUsable(a, 2) && hasUsable(b, 2) })

		client := &http.Client{Transport: &http.Transport{DialContext: ferrynettest.Dial, TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS13}}}
		defer client.CloseIdleConnections()
		res, err := client.Get("https://" + a.address + "/peer")
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
		waitFor(t, "the refusal is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] == 1 })
	})
}
