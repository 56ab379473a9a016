package ferrykeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrycert"
	"cactusferry.dev/ferryd/ferrysettings"
)

// checkInterval is how often the files are looked at for a change.
const checkInterval = 10 * time.Second

// Pair is a key pair, and the authorities of the other side, read from files.
type Pair struct {
	cfg     ferrysettings.TLS
	clock   clockwork.Clock
	mu      sync.Mutex
	checked time.Time
	stamp   time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files and returns an error if they are not a sound pair.
func Load(clock clockwork.Clock, cfg ferrysettings.TLS) (*Pair, error) {
	p := &Pair{cfg: cfg, clock: clock}
	if err := p.read(); err != nil {
		return nil, merry.Prepend(err, "load TLS keys")
	}
	p.checked = clock.Now()
	return p, nil
}

func (p *Pair) read() error {
	stamp, err := p.modified()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(p.cfg.Certificate, p.cfg.Key)
	if err != nil {
		return err
	}
	var pool *x509.CertPool
	if p.cfg.ClientCA != "" {
		pool, err = ferrycert.Authorities(p.cfg.ClientCA)
		if err != nil {
			return err
		}
	}
	p.stamp, p.cert, p.pool = stamp, &cert, pool
	return nil
}

// modified is the latest time at which one of the files changed.
func (p *Pair) modified() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{p.cfg.Certificate, p.cfg.Key, p.cfg.ClientCA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// current returns the pair, read anew if its files changed; files that can't be read leave the older pair in use.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.checked) >= checkInterval {
		p.checked = now
		if stamp, err := p.modified(); err == nil && !stamp.Equal(p.stamp) {
			_ = p.read()
		}
	}
	return p.cert, p.pool
}

// Server returns the configuration of a listener; where authorities are set, the other side must show a certificate.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration for connecting to peers, which show certificates of the same authorities.
func (p *Pair) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// The names in peers' certificates are checked against the authorities here, since the authorities may be renewed.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: p.verify,
	}
}

func (p *Pair) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := p.current()
	return ferrycert.Verify(raw, pool, p.clock.Now())
}
