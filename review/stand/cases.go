package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	plainService = "desk-app"
	otherService = "print-app"
	modelService = "scribe-pool"
)

// plainConfig is a desired state with two plain services.
func (w *world) plainConfig() {
	w.config = map[string]any{
		"version": w.version,
		"routes": []any{
			route("r-read", "/read/", "safe", plainService, 2),
			route("r-mark", "/mark/", "non_idempotent", plainService, 1),
		},
		"services": []any{
			map[string]any{"name": plainService, "healthPath": "/health", "maxConns": 110},
			map[string]any{"name": otherService, "healthPath": "/health", "maxConns": 110},
		},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []any{clientKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
	}
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 15000, "sloMs": 100, "maxAttempts": attempts, "priority": 1,
	}
}

// readerCase cuts the entry through which the others of its zone read the store from the store, and changes the
// desired state. The rule binds the other entries, which reach the store all the while.
func readerCase(w *world, trouble bool) (bool, error) {
	const (
		cycles = 8
		cut    = 4500 * time.Millisecond
		calm   = 5500 * time.Millisecond // for the entry that was cut to be in touch again
	)
	w.plainConfig()
	w.configure("first", func(map[string]any) {})
	for i := range 3 {
		for _, s := range []string{plainService, otherService} {
			if _, err := w.addRunner(fmt.Sprintf("i-%s-%d", s, i), s, nil); err != nil {
				return false, err
			}
		}
	}
	if err := w.addEntries(3); err != nil {
		return false, err
	}
	if err := w.awaitReady("/read/1"); err != nil {
		return false, err
	}
	late := 0
	for n := range cycles {
		prefix := fmt.Sprintf("/move%d/", n)
		w.configure("route "+prefix+" added, to "+plainService, func(c map[string]any) {
			c["routes"] = append(c["routes"].([]any), route(fmt.Sprintf("r-move%d", n), prefix, "safe", plainService, 2))
		})
		time.Sleep(calm)
		var reader *entry
		for _, e := range w.entries {
			if e.link.readsList() {
				reader = e
			}
		}
		if reader == nil {
			return false, errors.New("no entry watches the store")
		}
		if trouble {
			reader.link.setSilent(true)
			w.record.printf("trouble: entry %s is cut from the store", reader.name)
		}
		time.Sleep(20 * time.Millisecond)
		acked := w.configure("route "+prefix+" moved to "+otherService, func(c map[string]any) {
			routes := c["routes"].([]any)
			c["routes"] = append(routes[:len(routes)-1:len(routes)-1], route(fmt.Sprintf("r-move%d", n), prefix, "safe", otherService, 2))
		})
		late += w.askOthers(reader, prefix, acked, cut)
		reader.link.setSilent(false)
		w.record.printf("entry %s reaches the store", reader.name)
	}
	w.record.printf("%d requests were sent over %s after the acknowledgement to entries in touch, and run by the old service", late, configBound)
	return late > 0, nil
}

// askOthers sends requests to the entries beside the reader and counts those that were sent later than the bound after
// the acknowledgement and run by the old service.
func (w *world) askOthers(reader *entry, prefix string, acked time.Time, during time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	late := 0
	for _, e := range w.entries {
		if e == reader {
			continue
		}
		wg.Go(func() {
			for time.Since(acked) < during {
				id := newID()
				a := call(e.front, request{method: "GET", path: prefix + "x", id: id, wait: time.Second})
				services := []string{}
				for _, run := range w.ranAt(id) {
					services = append(services, run.service)
				}
				since := a.sent.Sub(acked)
				w.record.printf("client: request %s %s to %s, %d ms after the acknowledgement: %s; run by %s", id, prefix, e.name, since.Milliseconds(), a, strings.Join(services, ","))
				if since > configBound && strings.Contains(strings.Join(services, ","), plainService) {
					mu.Lock()
					late++
					mu.Unlock()
					w.record.printf("BROKEN: request %s", id)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return late
}

// stopCase stops an entry by SIGTERM. Clients that hold open channels to it use them for their first request a little
// over 3 s later.
func stopCase(w *world, trouble bool) (bool, error) {
	const (
		clients = 12
		engines = 8
		// A stream of 60 events at 100 ms each takes 6 s, and its time limit is 20 s.
		events    = 60
		pause     = 100 * time.Millisecond
		timeLimit = 20 * time.Second
		// Half of the channels are opened before the signal, the others after it.
		openBefore = time.Second
		openAfter  = 2500 * time.Millisecond
		sendAfter  = 3400 * time.Millisecond
	)
	w.modelConfig()
	w.configure("first", func(map[string]any) {})
	var runners []*runner
	for i := range engines {
		r, err := w.addRunner(fmt.Sprintf("i-%d", i), modelService, nil)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.addEntries(3); err != nil {
		return false, err
	}
	if err := w.awaitReady("/letter/1"); err != nil {
		return false, err
	}
	for _, r := range runners {
		r.setStream(events, pause)
	}
	time.Sleep(stableWindow + time.Second)
	e := w.entries[0]
	stopped := time.Now().Add(openBefore)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, passed := 0, 0
	wg.Go(func() {
		time.Sleep(time.Until(stopped))
		if trouble {
			w.record.printf("trouble: SIGTERM to entry %s", e.name)
			_ = e.cmd.Process.Signal(syscall.SIGTERM)
		}
	})
	for i := range clients {
		wg.Go(func() {
			if i%2 == 1 {
				time.Sleep(time.Until(stopped.Add(openAfter)))
			}
			c, err := net.DialTimeout("tcp", e.front, time.Second)
			if err != nil {
				w.record.printf("client: no channel to %s: %s", e.name, err)
				return
			}
			defer c.Close()
			w.record.printf("client: channel to %s opened, %d ms after the signal", e.name, time.Since(stopped).Milliseconds())
			time.Sleep(sendAfter - time.Since(stopped))
			id := newID()
			w.record.printf("client: request %s /letter/x sent to %s, %d ms after the signal", id, e.name, time.Since(stopped).Milliseconds())
			a := callOn(c, request{method: "POST", path: "/letter/x", id: id, wait: timeLimit, parts: "5c1e07a2:40," + newID()[:8] + ":20"})
			runs := w.ranAt(id)
			w.record.printf("client: request %s, %d ms after the signal: %s; %d events; run %d times", id, time.Since(stopped).Milliseconds(), a, strings.Count(a.body, "\n\n"), len(runs))
			mu.Lock()
			defer mu.Unlock()
			if len(runs) > 0 {
				passed++
			}
			if a.err != nil && len(runs) > 0 {
				lost++
				w.record.printf("BROKEN: request %s was passed on to runner %s and its channel ended without a complete answer", id, runs[0].runner)
			}
		})
	}
	wg.Wait()
	w.record.printf("%d of %d requests were passed on to a runner, %d of them got no complete answer", passed, clients, lost)
	return lost > 0, nil
}
