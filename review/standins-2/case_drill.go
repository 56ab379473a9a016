package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["drill"] = drill }

const drainMs = 2 * time.Second

// mixed returns the requests of the plain service of inkwell-desk: about two changes for each read.
func mixed(key string) func() (string, string, string) {
	var n atomic.Int64
	return func() (string, string, string) {
		if n.Add(1)%3 == 0 {
			return http.MethodGet, "/status/2f", key
		}
		return http.MethodPost, "/mark/2f", key
	}
}

const plainPerSecond = 7.43 // mark-print and status-read of inkwell-desk together

// drill has the store come back from a copy that is some seconds old, and then two runners leave.
func drill(r *run) (verdict, error) {
	key := "n2ctnfzs989anu6wsjnb"
	routes := []any{route("mark", "/mark/", "non_idempotent", "desk-app", 1), route("status", "/status/", "safe", "desk-app", 2)}
	if err := r.begin(desired(7, routes, []any{plainService("desk-app")}, []any{tenant("hule930", key)})); err != nil {
		return verdict{}, err
	}
	var runners []*runner
	start := func(id, zone string, cold time.Duration) error {
		u, err := startRunner(r.rec, r.store, network+".200", id, "desk-app", zone, cold)
		if err == nil {
			runners = append(runners, u)
			r.cleanup = append(r.cleanup, u.exit)
		}
		return err
	}
	for i, z := range zones {
		if err := start(fmt.Sprintf("i-old%d", i+1), z, 0); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(r.machines); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wg := traffic(r.rec, plainPerSecond, r.fronts(), mixed(key), stop)
	time.Sleep(2 * time.Second)

	r.rec.line("three more runners start; they are slow at first")
	for i, z := range zones {
		if err := start(fmt.Sprintf("i-new%d", i+1), z, 4*time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	saved := r.store.copy()
	r.rec.line("the copy of the store is made, at revision %d", saved.revision)
	time.Sleep(5500 * time.Millisecond)
	lost := r.store.copy()
	r.rec.line("the store is away for a moment, its last revision is %d", lost.revision)
	r.store.goAway()
	time.Sleep(500 * time.Millisecond)
	back := &saved
	if !r.trouble {
		back = nil
	}
	if err := r.store.comeBack(back); err != nil {
		return verdict{}, err
	}
	r.rec.line("the store is back, at revision %d", r.store.copy().revision)
	// The runners write again with their next check-in. The store is stable stableWindowMs after the drill.
	time.Sleep(3300 * time.Millisecond)

	var leaves []leaving
	for _, u := range runners[3:5] {
		at, err := u.drain()
		if err != nil {
			return verdict{}, err
		}
		r.rec.line("the store has accepted that runner %s is draining", u.id)
		leaves = append(leaves, leaving{at, u})
		time.Sleep(time.Second)
	}
	time.Sleep(7 * time.Second)
	for _, l := range leaves {
		l.u.exit()
		r.rec.line("runner %s exits", l.u.id)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()

	return judgeDrain(r, leaves)
}

// leaving is a runner and when the store accepted that it leaves.
type leaving struct {
	at time.Time
	u  *runner
}

// judgeDrain counts the requests that clients sent later than drainMs after the ack and that reached a leaving runner.
func judgeDrain(r *run, leaves []leaving) (verdict, error) {
	sent := map[string]time.Time{}
	served := 0
	for _, c := range r.rec.allCalls() {
		sent[c.id] = c.sent
		if c.status == http.StatusOK {
			served++
		}
	}
	if served < 50 {
		return verdict{}, errUnstable
	}
	late := 0
	for _, a := range r.rec.allArrivals() {
		for _, l := range leaves {
			if a.runner == l.u.id && sent[a.id].After(l.at.Add(drainMs)) {
				late++
				r.rec.line("request %s was sent %.3f s after the ack and reached runner %s", a.id, sent[a.id].Sub(l.at).Seconds(), a.runner)
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("DRAIN: %d requests that clients sent later than drainMs after the ack reached a leaving runner; %d of %d requests were served", late, served, len(sent))}, nil
}
