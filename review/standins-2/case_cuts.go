package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["cuts"] = func(r *run) (verdict, error) { return cuts(r, 1500*time.Millisecond, 6) }
	cases["one-cut"] = func(r *run) (verdict, error) { return cuts(r, time.Second, 1) }
}

// leaving is a runner and when the store accepted that it leaves.
type leaving struct {
	at time.Time
	u  *runner
}

// cuts has the store cut off the watches that wait, a number of times, while two runners leave without a report before.
func cuts(r *run, every time.Duration, times int) (verdict, error) {
	key := "n2ctnfzs989anu6wsjnb"
	routes := []any{route("mark", "/mark/", "non_idempotent", "desk-app", 1), route("status", "/status/", "safe", "desk-app", 2)}
	if err := r.begin(desired(7, routes, []any{plainService("desk-app")}, []any{tenant("hule930", key)})); err != nil {
		return verdict{}, err
	}
	var runners []*runner
	for i := range 6 {
		u, err := startRunner(r.rec, r.store, network+".200", fmt.Sprintf("i-%d", i+1), "desk-app", zones[i%3], 0)
		if err != nil {
			return verdict{}, err
		}
		runners = append(runners, u)
		r.cleanup = append(r.cleanup, u.exit)
	}
	if err := awaitReady(r.machines, 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wg := traffic(r.rec, plainPerSecond, r.fronts(), mixed(key), stop)
	time.Sleep(4 * time.Second)

	cutting := make(chan struct{})
	go func() {
		defer close(cutting)
		for range times {
			if r.trouble {
				r.rec.line("the store cuts off %d waiting watches", r.store.cutWatches())
			}
			time.Sleep(every)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	var leaves []leaving
	for _, u := range runners[:2] {
		at, err := u.leave()
		if err != nil {
			return verdict{}, err
		}
		r.rec.line("the store has accepted that runner %s takes its entry away", u.id)
		leaves = append(leaves, leaving{at, u})
	}
	<-cutting
	time.Sleep(time.Second)
	for _, l := range leaves {
		l.u.exit()
		r.rec.line("runner %s exits", l.u.id)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return judgeDrain(r, leaves)
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
