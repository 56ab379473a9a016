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
	// renewLimit is how soon a listener uses new files: it looks at them every 10 s, when somebody connects.
	renewLimit    = 12 * time.Second
	keysTokens    = 60
	strangersName = "entry-9"
)

// linkLimit is how soon after the membership is whole a replaced entry has its links, some of which wait for the other side to dial.
const linkLimit = 5 * time.Second

// authorities sign the keys of one run: before and after the keys are replaced, and a stranger's.
type authorities struct {
	old, next, stranger *ferrydemo.Authority
}

func newAuthorities() (authorities, error) {
	old, err1 := ferrydemo.NewAuthority("old")
	next, err2 := ferrydemo.NewAuthority("next")
	stranger, err3 := ferrydemo.NewAuthority("stranger")
	return authorities{old, next, stranger}, errors.Join(err1, err2, err3)
}

var keys = Case{
	Name:    "keys",
	Promise: "a fleet with TLS everywhere serves as without, lets no peer or operator in without a good certificate, and takes new keys while it runs",
	Faults:  "an entry and an operator with a stranger's certificate, connections without TLS or without a certificate; certificates and authorities replaced",
	size:    ferrydemo.Config{Engines: 4, Entries: 3},
	prepare: func(w *world) error {
		a, err := newAuthorities()
		if err != nil {
			return err
		}
		w.authorities = a
		k, err := ferrydemo.NewKeys(a.old, a.old, a.next)
		if err != nil {
			return err
		}
		return w.UseKeys(k)
	},
	run: func(ctx context.Context, w *world) error {
		defer w.Keys.Remove()
		if err := w.serveOverTLS(ctx); err != nil {
			return err
		}
		s, err := w.startStranger(ctx)
		if err != nil {
			return err
		}
		defer s.keys.Remove()
		if err := w.renewKeys(ctx); err != nil {
			return err
		}
		if err := w.serveOverTLS(ctx); err != nil {
			return err
		}
		return w.strangerOutside(ctx, s)
	},
}

// serveOverTLS asks for a stream at each entry, makes one claimed call at all of them, and accepts a document.
func (w *world) serveOverTLS(ctx context.Context) error {
	w.served++
	var t tally
	for n := range w.Entries {
		w.stream(ctx, n, fmt.Sprintf("over TLS %d", w.served), keysTokens, &t)
	}
	if err := t.err(); err != nil {
		return err
	}
	if t.whole != len(w.Entries) || t.refused+t.unreached+t.resumed > 0 {
		return fmt.Errorf("not every entry served over TLS: %s", &t)
	}
	key := fmt.Sprintf("tls-%d", w.served)
	for n := range w.Entries {
		if c := w.post(ctx, n, key); c.told() != "Ran" {
			return fmt.Errorf("a claimed call over TLS must have run, is %s: %s %v", c.told(), c.detail, c.err)
		}
	}
	runs, err := w.runs(ctx)
	if err != nil {
		return err
	}
	if runs[key] != 1 {
		return fmt.Errorf("key %s ran %d times", key, runs[key])
	}
	w.note("over TLS: %s; a claimed call at %d entries ran once", &t, len(w.Entries))
	return w.accepted(ctx, w.served)
}

// stranger is an entry whose certificate another authority signed, but which trusts the others'.
type stranger struct {
	entry *ferrydemo.Entry
	keys  *ferrydemo.Keys
	began time.Time
}

// startStranger starts it, with the others' addresses and shared key, and lists it as an entry.
func (w *world) startStranger(ctx context.Context) (stranger, error) {
	k, err := ferrydemo.NewKeys(w.authorities.stranger, w.authorities.stranger, w.authorities.old, w.authorities.next)
	if err != nil {
		return stranger{}, err
	}
	good := w.Keys
	if err := w.UseKeys(k); err != nil {
		return stranger{}, err
	}
	addresses, err := ferryprocess.FreeAddresses(2)
	if err != nil {
		return stranger{}, err
	}
	e := &ferrydemo.Entry{Name: strangersName, Domain: w.Entries[0].Domain, Callers: addresses[0], Peers: addresses[1]}
	if err := w.StartEntry(ctx, e); err != nil {
		return stranger{}, err
	}
	return stranger{entry: e, keys: k, began: time.Now()}, w.UseKeys(good)
}

// strangerOutside checks that the stranger reached nobody, and that nobody without a good certificate does.
func (w *world) strangerOutside(ctx context.Context, s stranger) error {
	good := w.Keys
	if err := w.UseKeys(s.keys); err != nil {
		return err
	}
	status, err := w.Status(ctx, s.entry)
	if err != nil {
		return err
	}
	if len(status.Peers) > 0 {
		return fmt.Errorf("the stranger has links: %v", status.Peers)
	}
	if out, err := w.Ctl(ctx, "status"); err == nil {
		return fmt.Errorf("an operator with a stranger's certificate got in: %s", out)
	}
	if err := w.UseKeys(good); err != nil {
		return err
	}
	for _, e := range w.Entries {
		if err := w.keptOut(ctx, e); err != nil {
			return err
		}
	}
	w.note("a stranger's entry had no link after %s and no entry knew it; no operator without a good certificate got in", time.Since(s.began).Round(time.Second))
	return nil
}

// keptOut checks that an entry does not know the stranger and answers nobody without a certificate.
func (w *world) keptOut(ctx context.Context, e *ferrydemo.Entry) error {
	s, err := w.Status(ctx, e)
	if err != nil {
		return err
	}
	for _, m := range s.Entries {
		if m.Name == strangersName {
			return fmt.Errorf("%s knows the stranger as %s", e.Name, m.Status)
		}
	}
	if len(s.Peers) != len(w.Entries)-1 {
		return fmt.Errorf("%s has links to %v", e.Name, s.Peers)
	}
	var v any
	if err := w.GetJSON(ctx, "http://"+e.Peers+"/admin/status", &v); err == nil {
		return fmt.Errorf("%s answers operators without TLS", e.Name)
	}
	cfg, err := w.Keys.Config()
	if err != nil {
		return err
	}
	cfg.Certificates, cfg.GetClientCertificate = nil, nil
	if _, err := presented(e.Peers, cfg); err == nil {
		return fmt.Errorf("%s takes connections without a certificate", e.Name)
	}
	return nil
}

// presented connects and returns the certificate that the server shows, once the server has taken the client's.
func presented(address string, cfg *tls.Config) (*x509.Certificate, error) {
	c, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	cert := c.ConnectionState().PeerCertificates[0]
	// A refusal of the client's certificate comes only after the handshake's client side is over.
	if err := c.SetReadDeadline(time.Now().Add(retryPause)); err != nil {
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

// renewKeys replaces the certificates by those of another authority and then takes the trust in the first away, without a restart.
func (w *world) renewKeys(ctx context.Context) error {
	before, err := w.incarnations(ctx)
	if err != nil {
		return err
	}
	old, err := w.Keys.Config()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := w.Keys.Issue(w.authorities.next); err != nil {
		return err
	}
	if err := w.eachListener(ctx, func(address string) error {
		cert, err := presented(address, old)
		if err == nil && cert.Issuer.CommonName != "next" {
			err = fmt.Errorf("%s still shows a certificate of %q", address, cert.Issuer.CommonName)
		}
		return err
	}); err != nil {
		return err
	}
	w.note("every listener showed the new certificate after %s", time.Since(began).Round(time.Millisecond))
	began = time.Now()
	if err := w.Keys.Trust(w.authorities.next); err != nil {
		return err
	}
	for _, e := range w.Entries {
		if err := w.refuses(ctx, e, old); err != nil {
			return err
		}
	}
	w.note("every peers' listener refused the old certificate after %s", time.Since(began).Round(time.Millisecond))
	if err := w.UseKeys(w.Keys); err != nil {
		return err
	}
	after, err := w.incarnations(ctx)
	if err != nil {
		return err
	}
	for i := range before {
		if before[i] != after[i] {
			return fmt.Errorf("%s was started again", w.Entries[i].Name)
		}
	}
	if err := w.replace(ctx, w.Entries[len(w.Entries)-1]); err != nil {
		return err
	}
	if _, err := w.whole(ctx, joinLimit); err != nil {
		return err
	}
	return w.linked(ctx)
}

// linked waits until each entry has a link to every other one.
func (w *world) linked(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, linkLimit)
	defer cancel()
	for _, e := range w.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			s, err := w.Status(ctx, e)
			if err == nil && len(s.Peers) != len(w.Entries)-1 {
				err = fmt.Errorf("%s has links to %v", e.Name, s.Peers)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("not all links stand %s after the membership was whole: %w", linkLimit, err)
		}
	}
	w.note("all links stood %s after the membership was whole", time.Since(began).Round(time.Millisecond))
	return nil
}

func (w *world) refuses(ctx context.Context, e *ferrydemo.Entry, old *tls.Config) error {
	ctx, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	return ferryprocess.Poll(ctx, func(context.Context) error {
		if _, err := presented(e.Peers, old); err == nil {
			return fmt.Errorf("%s still takes the old certificate", e.Name)
		}
		return nil
	})
}

// eachListener waits until a check of both listeners of every entry passes.
func (w *world) eachListener(ctx context.Context, check func(address string) error) error {
	ctx, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	for _, e := range w.Entries {
		for _, address := range []string{e.Callers, e.Peers} {
			if err := ferryprocess.Poll(ctx, func(context.Context) error { return check(address) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) incarnations(ctx context.Context) ([]string, error) {
	var out []string
	for _, e := range w.Entries {
		s, err := w.Status(ctx, e)
		if err != nil {
			return nil, err
		}
		out = append(out, s.Incarnation)
	}
	return out, nil
}
