package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["usual"] = func(r *run) (verdict, error) {
		if r.trouble {
			return refused(r, 771.6, 171.9, 2)
		}
		return refused(r, 772, 172, 2)
	}
	cases["priority"] = func(r *run) (verdict, error) {
		if r.trouble {
			return refused(r, 772, 172, 2000)
		}
		return refused(r, 772, 172, 3)
	}
	cases["tenants"] = tenants
}

const configMs = 2 * time.Second

// refused has the operator write a desired state that moves a route to another service, drops a route and adds one. The means of the model
// service's tokens and the priority of the new route are given.
func refused(r *run, prompt, answer any, priority int) (verdict, error) {
	key := "n2ctnfzs989anu6wsjnb"
	services := func(prompt, answer any) []any {
		return []any{plainService("desk-app"), plainService("desk-app-2"), modelService("scribe-pool", prompt, answer)}
	}
	old := []any{route("status", "/status/", "safe", "desk-app", 2), route("dropped", "/dropped/", "safe", "desk-app", 2)}
	if err := r.begin(desired(7, old, services(772, 172), []any{tenant("hule930", key)})); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		u, err := startRunner(r.rec, r.store, network+".200", fmt.Sprintf("i-%d", i+1), []string{"desk-app", "desk-app-2"}[i/3], zones[i%3], 0)
		if err != nil {
			return verdict{}, err
		}
		r.cleanup = append(r.cleanup, u.exit)
	}
	if err := awaitReady(r.machines); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	paths := []string{"/status/2f", "/status/2f", "/status/2f", "/dropped/2f", "/added/2f"}
	n := 0
	wg := traffic(r.rec, 20, r.fronts(), func() (string, string, string) {
		n++
		return http.MethodGet, paths[n%len(paths)], key
	}, stop)
	time.Sleep(3 * time.Second)
	added := route("added", "/added/", "safe", "desk-app-2", 2)
	added["priority"] = priority
	at, err := r.ackTime(desired(9, []any{route("status", "/status/", "safe", "desk-app-2", 2), added}, services(prompt, answer), []any{tenant("hule930", key)}))
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()

	service := map[string]string{}
	for _, a := range r.rec.allArrivals() {
		service[a.id] = a.service
	}
	before, late, oldService, dropped, missing, unavailable := 0, 0, 0, 0, 0, 0
	for _, c := range r.rec.allCalls() {
		switch {
		case c.sent.Before(at) && c.status == http.StatusOK:
			before++
		case !c.sent.After(at.Add(configMs)):
		case c.path == "/status/2f" && service[c.id] == "desk-app":
			oldService++
		case c.path == "/dropped/2f" && service[c.id] != "":
			dropped++
		case c.path == "/added/2f" && c.status == http.StatusNotFound:
			missing++
		case c.status == http.StatusServiceUnavailable:
			unavailable++
		}
		if c.sent.After(at.Add(configMs)) {
			late++
		}
	}
	if before < 20 {
		return verdict{}, errUnstable
	}
	return verdict{oldService+dropped+missing > 0, fmt.Sprintf("CONFIG: of %d requests sent later than configMs after the ack, %d were run by the old service, %d on the dropped route, %d on the added route were answered 404, and %d were answered 503",
		late, oldService, dropped, missing, unavailable)}, nil
}

const revokeMs = 5 * time.Second

// tenants has the operator take the last tenant and so its key away.
func tenants(r *run) (verdict, error) {
	key := "n2ctnfzs989anu6wsjnb"
	routes := []any{route("status", "/status/", "safe", "desk-app", 2), route("mark", "/mark/", "non_idempotent", "desk-app", 1)}
	list := []any{tenant("hule930", key, "anfqasnmgkcuyj8pjbvk")}
	if err := r.begin(desired(7, routes, []any{plainService("desk-app")}, list)); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		u, err := startRunner(r.rec, r.store, network+".200", fmt.Sprintf("i-%d", i+1), "desk-app", zones[i%3], 0)
		if err != nil {
			return verdict{}, err
		}
		r.cleanup = append(r.cleanup, u.exit)
	}
	if err := awaitReady(r.machines); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wg := traffic(r.rec, plainPerSecond, r.fronts(), mixed(key), stop)
	time.Sleep(3 * time.Second)
	after := []any{}
	if !r.trouble {
		after = []any{tenant("hule930")} // the tenant stays and loses its keys
	}
	at, err := r.ackTime(desired(9, routes, []any{plainService("desk-app")}, after))
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(revokeMs + 4*time.Second)
	close(stop)
	wg.Wait()
	never := 0
	for range 5 {
		if send(r.rec, r.fronts()[0], http.MethodGet, "/status/2f", "neverakey0000000000").status == http.StatusOK {
			never++
		}
	}
	ran := map[string]bool{}
	for _, a := range r.rec.allArrivals() {
		ran[a.id] = a.ran
	}
	before, late, sent := 0, 0, 0
	for _, c := range r.rec.allCalls() {
		if c.key != key {
			continue
		}
		if c.sent.Before(at) && c.status == http.StatusOK {
			before++
		}
		if c.sent.After(at.Add(revokeMs)) {
			sent++
			if ran[c.id] {
				late++
			}
		}
	}
	if before < 10 {
		return verdict{}, errUnstable
	}
	return verdict{late+never > 0, fmt.Sprintf("CONFIG, ROUTE: %d of %d requests with the key that were sent later than revokeMs after the ack ran, and %d of 5 with a key that no desired state ever held", late, sent, never)}, nil
}
