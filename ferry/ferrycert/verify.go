package ferrycert

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verify returns an error unless the chain, leaf first, leads to one of the authorities.
func Verify(raw [][]byte, authorities *x509.CertPool, now time.Time) error {
	if len(raw) == 0 {
		return fmt.Errorf("peer presented no certificate")
	}
	certs := make([]*x509.Certificate, 0, len(raw))
	for _, b := range raw {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return err
		}
		certs = append(certs, c)
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, CurrentTime: now})
	return err
}

// Authorities returns the certificates of a PEM file.
func Authorities(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("no PEM certificate in %s", file)
	}
	return pool, nil
}

// Client returns the TLS configuration of a client with the given certificate and key files
// that trusts the authorities in the third file.
func Client(certificate, key, authorities string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, merry.Prepend(err, "load key pair")
	}
	pool, err := Authorities(authorities)
	if err != nil {
		return nil, merry.Prepend(err, "load authorities")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		// Entries are called by address, so their certificates are verified by authority and not by name.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return Verify(raw, pool, time.Now())
		},
	}, nil
}
