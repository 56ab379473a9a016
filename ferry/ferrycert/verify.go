package ferrycert

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verify returns an error unless the certificates, the other side's own first, lead to one of the authorities.
func Verify(raw [][]byte, authorities *x509.CertPool, now time.Time) error {
	if len(raw) == 0 {
		return fmt.Errorf("the other side showed no certificate")
	}
	certs := make([]*x509.Certificate, 0, len(raw))
	for _, b := range raw {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return err
		}
		certs = append(certs, c)
	}
	between := x509.NewCertPool()
	for _, c := range certs[1:] {
		between.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: authorities, Intermediates: between, CurrentTime: now})
	return err
}

// Authorities reads a PEM file of certificates.
func Authorities(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s holds no PEM certificate", file)
	}
	return pool, nil
}

// Client returns the configuration of a caller that shows the key pair of the files and trusts the authorities of the third.
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
		// Entries are called by address, so that their certificates are checked by authority and not by name.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return Verify(raw, pool, time.Now())
		},
	}, nil
}
