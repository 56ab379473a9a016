package ferryproof

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

const (
	// reloadLimit bounds the time until a listener uses new files:
	// on a connection it checks them if the last check was 10 s ago.
	reloadLimit   = 12 * time.Second
	keysTokens    = 60
	untrustedName = "entry-9"
)

// linkLimit bounds the time from complete membership until a restarted
// entry has all links, some of which the peer must dial.
const linkLimit = 5 * time.Second

// authorities are the certificate authorities of one case:
// before and after the key rotation, and an untrusted one.
type authorities struct {
	old, next, untrusted *ferrydemo.Authority
}

func newAuthorities() (authorities, error) {
	old, err1 := ferrydemo.NewAuthority("old")
	next, err2 := ferrydemo.NewAuthority("next")
	untrusted, err3 := ferrydemo.NewAuthority("stranger")
	return authorities{old, next, untrusted}, errors.Join(err1, err2, err3)
}

var keys = Case{
	Name:      "keys",
	Guarantee: "a fleet with TLS on all connections serves as without, rejects peers and operators without a trusted certificate, and reloads keys without a restart",
	Faults:    "an entry and an operator with an untrusted certificate, connections without TLS or without a certificate; certificates and authorities rotated",
	size:      ferrydemo.Config{Engines: 4, Entries: 3},
	prepare: func(h *harness) error {
		a, err := newAuthorities()
		if err != nil {
			return err
		}
		h.authorities = a
		k, err := ferrydemo.NewKeys(a.old, a.old, a.next)
		if err != nil {
			return err
		}
		return h.UseKeys(k)
	},
	run: func(ctx context.Context, h *harness) error {
		defer h.Keys.Remove()
		if err := h.serveOverTLS(ctx); err != nil {
			return err
		}
		s, err := h.startUntrusted(ctx)
		if err != nil {
			return err
		}
		defer s.keys.Remove()
		if err := h.rotateKeys(ctx); err != nil {
			return err
		}
		if err := h.serveOverTLS(ctx); err != nil {
			return err
		}
		return h.checkUntrusted(ctx, s)
	},
}

// serveOverTLS requests a stream at each entry, sends one
// claimed call to all of them, and applies a document.
func (h *harness) serveOverTLS(ctx context.Context) error {
	h.tlsRounds++
	var t tally
	for n := range h.Entries {
		h.stream(ctx, n, fmt.Sprintf("over TLS %d", h.tlsRounds), keysTokens, &t)
	}
	if err := t.err(); err != nil {
		return err
	}
	if t.complete != len(h.Entries) || t.refused+t.unreached+t.resumed > 0 {
		return fmt.Errorf("streams over TLS: expected a complete answer from every entry without a retry, got %s", &t)
	}
	key := fmt.Sprintf("tls-%d", h.tlsRounds)
	for n := range h.Entries {
		if c := h.post(ctx, n, key); c.reported() != "Ran" {
			return fmt.Errorf("claimed call over TLS: expected outcome Ran, got %s: %s %v", c.reported(), c.detail, c.err)
		}
	}
	runs, err := h.runsByKey(ctx)
	if err != nil {
		return err
	}
	if runs[key] != 1 {
		return fmt.Errorf("key %s ran %d times, expected 1", key, runs[key])
	}
	h.note("over TLS: %s; a claimed call at %d entries ran once", &t, len(h.Entries))
	return h.applyAndMeasure(ctx, h.tlsRounds)
}

// untrustedEntry is an entry that trusts the fleet's authorities
// and whose own certificate is signed by another one.
type untrustedEntry struct {
	entry *ferrydemo.Entry
	keys  *ferrydemo.Keys
	began time.Time
}

// startUntrusted starts the untrusted entry with the fleet's
// addresses and shared key, and lists it as an entry.
func (h *harness) startUntrusted(ctx context.Context) (untrustedEntry, error) {
	k, err := ferrydemo.NewKeys(h.authorities.untrusted, h.authorities.untrusted, h.authorities.old, h.authorities.next)
	if err != nil {
		return untrustedEntry{}, err
	}
	good := h.Keys
	if err := h.UseKeys(k); err != nil {
		return untrustedEntry{}, err
	}
	addresses, err := ferryprocess.FreeAddresses(2)
	if err != nil {
		return untrustedEntry{}, err
	}
	e := &ferrydemo.Entry{Name: untrustedName, Domain: h.Entries[0].Domain, CallerAddress: addresses[0], PeerAddress: addresses[1]}
	if err := h.StartEntry(ctx, e); err != nil {
		return untrustedEntry{}, err
	}
	return untrustedEntry{entry: e, keys: k, began: time.Now()}, h.UseKeys(good)
}

// checkUntrusted checks that the untrusted entry has no links,
// and that no client without a trusted certificate is accepted.
func (h *harness) checkUntrusted(ctx context.Context, s untrustedEntry) error {
	good := h.Keys
	if err := h.UseKeys(s.keys); err != nil {
		return err
	}
	status, err := h.Status(ctx, s.entry)
	if err != nil {
		return err
	}
	if len(status.Peers) > 0 {
		return fmt.Errorf("the entry with an untrusted certificate has links: %v", status.Peers)
	}
	if out, err := h.Ctl(ctx, "status"); err == nil {
		return fmt.Errorf("an operator with an untrusted certificate was accepted: %s", out)
	}
	if err := h.UseKeys(good); err != nil {
		return err
	}
	for _, e := range h.Entries {
		if err := h.checkRejects(ctx, e); err != nil {
			return err
		}
	}
	h.note("an entry with an untrusted certificate had no link after %s and was not a member; operators without a trusted certificate were rejected", time.Since(s.began).Round(time.Second))
	return nil
}

// checkRejects checks that an entry does not list the untrusted
// one as a member and rejects clients without a certificate.
func (h *harness) checkRejects(ctx context.Context, e *ferrydemo.Entry) error {
	s, err := h.Status(ctx, e)
	if err != nil {
		return err
	}
	for _, m := range s.Entries {
		if m.Name == untrustedName {
			return fmt.Errorf("%s lists the untrusted entry as %s", e.Name, m.Status)
		}
	}
	if len(s.Peers) != len(h.Entries)-1 {
		return fmt.Errorf("%s has links to %v, expected one to every other entry", e.Name, s.Peers)
	}
	var v any
	if err := h.GetJSON(ctx, "http://"+e.PeerAddress+"/admin/status", &v); err == nil {
		return fmt.Errorf("%s answered an operator's request without TLS", e.Name)
	}
	cfg, err := h.Keys.Config()
	if err != nil {
		return err
	}
	cfg.Certificates, cfg.GetClientCertificate = nil, nil
	if _, err := dialTLS(e.PeerAddress, cfg); err == nil {
		return fmt.Errorf("%s accepted a connection without a client certificate", e.Name)
	}
	return nil
}

// dialTLS connects and returns the server's certificate once the server has accepted the client's.
func dialTLS(address string, cfg *tls.Config) (*x509.Certificate, error) {
	c, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	cert := c.ConnectionState().PeerCertificates[0]
	// The server's rejection of the client certificate arrives
	// only after the client side of the handshake is complete.
	if err := c.SetReadDeadline(time.Now().Add(retryInterval)); err != nil {
		return nil, err
	}
	_, err = c.Read(make([]byte, 1))
	if timeout, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err); ok && timeout.Timeout() {
		return cert, nil
	}
	return nil, err
}

// rotateKeys replaces the certificates by ones of another authority
// and then removes the first from the trusted ones, without a restart.
func (h *harness) rotateKeys(ctx context.Context) error {
	before, err := h.incarnations(ctx)
	if err != nil {
		return err
	}
	old, err := h.Keys.Config()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := h.Keys.Issue(h.authorities.next); err != nil {
		return err
	}
	if err := h.eachListener(ctx, func(address string) error {
		cert, err := dialTLS(address, old)
		if err == nil && cert.Issuer.CommonName != "next" {
			err = fmt.Errorf("%s still presents a certificate issued by %q", address, cert.Issuer.CommonName)
		}
		return err
	}); err != nil {
		return err
	}
	h.note("every listener presented the new certificate after %s", time.Since(began).Round(time.Millisecond))
	began = time.Now()
	if err := h.Keys.Trust(h.authorities.next); err != nil {
		return err
	}
	for _, e := range h.Entries {
		if err := h.waitRejects(ctx, e, old); err != nil {
			return err
		}
	}
	h.note("every peer listener rejected the old certificate after %s", time.Since(began).Round(time.Millisecond))
	if err := h.UseKeys(h.Keys); err != nil {
		return err
	}
	after, err := h.incarnations(ctx)
	if err != nil {
		return err
	}
	for i := range before {
		if before[i] != after[i] {
			return fmt.Errorf("%s was restarted during the key rotation", h.Entries[i].Name)
		}
	}
	if err := h.restart(ctx, h.Entries[len(h.Entries)-1]); err != nil {
		return err
	}
	if _, err := h.waitMembership(ctx, rejoinLimit); err != nil {
		return err
	}
	return h.waitLinked(ctx)
}

// waitLinked waits until each entry has a link to every other one.
func (h *harness) waitLinked(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, linkLimit)
	defer cancel()
	for _, e := range h.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			s, err := h.Status(ctx, e)
			if err == nil && len(s.Peers) != len(h.Entries)-1 {
				err = fmt.Errorf("%s has links to %v, expected one to every other entry", e.Name, s.Peers)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("links incomplete %s after the membership was complete: %w", linkLimit, err)
		}
	}
	h.note("all links were open %s after the membership was complete", time.Since(began).Round(time.Millisecond))
	return nil
}

func (h *harness) waitRejects(ctx context.Context, e *ferrydemo.Entry, old *tls.Config) error {
	ctx, cancel := context.WithTimeout(ctx, reloadLimit)
	defer cancel()
	return ferryprocess.Poll(ctx, func(context.Context) error {
		if _, err := dialTLS(e.PeerAddress, old); err == nil {
			return fmt.Errorf("%s still accepts the old certificate", e.Name)
		}
		return nil
	})
}

// eachListener waits until the check passes for both listeners of every entry.
func (h *harness) eachListener(ctx context.Context, check func(address string) error) error {
	ctx, cancel := context.WithTimeout(ctx, reloadLimit)
	defer cancel()
	for _, e := range h.Entries {
		for _, address := range []string{e.CallerAddress, e.PeerAddress} {
			if err := ferryprocess.Poll(ctx, func(context.Context) error { return check(address) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (h *harness) incarnations(ctx context.Context) ([]string, error) {
	var out []string
	for _, e := range h.Entries {
		s, err := h.Status(ctx, e)
		if err != nil {
			return nil, err
		}
		out = append(out, s.Incarnation)
	}
	return out, nil
}
