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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 10 * time.Second

// Pair is a key pair read from files, with the authorities that sign the other side's certificates.
type Pair struct {
	cfg         ferrysettings.TLS
	clock       clockwork.Clock
	mu          sync.Mutex
	lastChecked time.Time
	modTime     time.Time
	cert        *tls.Certificate
	pool        *x509.CertPool
}

// Load reads the files and returns an error if they are not a valid pair.
func Load(clock clockwork.Clock, cfg ferrysettings.TLS) (*Pair, error) {
	p := &Pair{cfg: cfg, clock: clock}
	if err := p.reload(); err != nil {
		return nil, merry.Prepend(err, "load TLS keys")
	}
	p.lastChecked = clock.Now()
	return p, nil
}

func (p *Pair) reload() error {
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
	p.modTime, p.cert, p.pool = stamp, &cert, pool
	return nil
}

// modified returns the latest modification time of the files.
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

// current returns the pair, reloaded if its files changed. If they cannot be read,
// the older pair stays in use.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.lastChecked) >= checkInterval {
		p.lastChecked = now
		if stamp, err := p.modified(); err == nil && !stamp.Equal(p.modTime) {
			_ = p.reload()
		}
	}
	return p.cert, p.pool
}

// Server returns the configuration of a listener. If authorities are set, clients
// must present a certificate.
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

// Client returns the configuration for connections to peers, whose certificates must be
// signed by the authorities.
func (p *Pair) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// verify replaces the verification by crypto/tls, since the authorities may be renewed.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: p.verify,
	}
}

func (p *Pair) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := p.current()
	return ferrycert.Verify(raw, pool, p.clock.Now())
}
