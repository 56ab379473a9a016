package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// channelsCase makes the channels between the entries and the store that are open at a moment silent for good, while
// new ones work. Shortly after it a runner drains and a route is moved to another service. For the rules the silence is
// a reset of the channels, so the entries are in touch again stableWindow later. The verdict is on the runner; what
// happens on the route is recorded beside it. The runner serves for a little longer than drainBound and then exits.
func channelsCase(w *world, trouble bool) (bool, error) {
	const (
		cycles = 9
		calm   = 5 * time.Second
		change = time.Second // after the channels have gone silent
		// exit is how long the leaving runner goes on after its acknowledgement.
		exit   = 2600 * time.Millisecond
		work   = 300 * time.Millisecond
		during = 5500 * time.Millisecond
	)
	w.plainConfig()
	w.configure("first", func(map[string]any) {})
	n := 0
	add := func(service string) (*runner, error) {
		n++
		return w.addRunner(fmt.Sprintf("i-%s-%d", service, n), service, func(r *runner) { r.work = work })
	}
	var runners []*runner
	for range 3 {
		if _, err := add(otherService); err != nil {
			return false, err
		}
		r, err := add(plainService)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.addEntries(3); err != nil {
		return false, err
	}
	if err := w.awaitReady("/read/1"); err != nil {
		return false, err
	}
	lateRoute, lateDrain, cut := 0, 0, 0
	for k := range cycles {
		prefix := fmt.Sprintf("/move%d/", k)
		w.configure("route "+prefix+" added, to "+plainService, func(c map[string]any) {
			c["routes"] = append(c["routes"].([]any), route(fmt.Sprintf("r-move%d", k), prefix, "safe", plainService, 2))
		})
		r, err := add(plainService)
		if err != nil {
			return false, err
		}
		time.Sleep(calm)
		leaving := runners[0]
		runners = append(runners[1:], r)
		began := time.Now()
		if trouble {
			for _, e := range w.entries {
				e.link.silenceOpen()
			}
			w.record.printf("trouble: the open channels to the store go silent, new ones work")
		}
		time.Sleep(change)
		left := leaving.drain()
		acked := w.configure("route "+prefix+" moved to "+otherService, func(c map[string]any) {
			routes := c["routes"].([]any)
			c["routes"] = append(routes[:len(routes)-1:len(routes)-1], route(fmt.Sprintf("r-move%d", k), prefix, "safe", otherService, 2))
		})
		// The entries are in touch from here on.
		time.AfterFunc(time.Until(left.Add(exit)), func() {
			w.record.printf("runner %s exits", leaving.id)
			leaving.leave()
		})
		from := began.Add(stableWindow + 50*time.Millisecond)
		a, b, c := w.watchCycle(prefix, leaving, acked, left, from, began.Add(during))
		lateRoute, lateDrain, cut = lateRoute+a, lateDrain+b, cut+c
	}
	w.record.printf("beside, CONFIG: %d requests were sent to entries in touch over %s after the acknowledgement and run by the old service", lateRoute, configBound)
	w.record.printf("DRAIN: %d requests that were sent to entries in touch reached a runner over %s after it was acknowledged as draining", lateDrain, drainBound)
	w.record.printf("beside: %d requests that may not be repeated ran at a leaving runner and got no answer of it", cut)
	return lateDrain > 0, nil
}

// watchCycle sends requests to all entries and counts those that break a rule: the ones run by the old service, and
// the ones that reached the leaving runner.
func (w *world) watchCycle(prefix string, leaving *runner, acked, left, from, until time.Time) (route, drain, cut int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, e := range w.entries {
		for _, path := range []string{prefix + "x", "/mark/x", "/mark/x", "/mark/x", "/mark/x"} {
			wg.Go(func() {
				for time.Now().Before(until) {
					id, method := newID(), "GET"
					if path == "/mark/x" {
						method = "POST"
					}
					a := call(e.front, request{method: method, path: path, id: id, wait: 2 * time.Second})
					moved, reached, lost := false, "", false
					for _, run := range w.ranAt(id) {
						moved = moved || run.service == plainService
						lost = lost || run.runner == leaving.id && method == "POST" && a.status != 200
						if run.runner == leaving.id && run.at.Sub(left) > drainBound {
							reached = fmt.Sprintf(", reached the leaving runner %d ms after its acknowledgement", run.at.Sub(left).Milliseconds())
						}
					}
					w.record.printf("client: request %s %s to %s, %d ms after the acknowledgement: %s%s", id, path, e.name, a.sent.Sub(acked).Milliseconds(), a, reached)
					mu.Lock()
					if lost {
						cut++
					}
					if a.sent.After(from) && strings.HasPrefix(path, prefix) && moved && a.sent.Sub(acked) > configBound {
						route++
						w.record.printf("beside, CONFIG: request %s was run by %s", id, plainService)
					}
					if a.sent.After(from) && reached != "" {
						drain++
						w.record.printf("BROKEN: request %s%s", id, reached)
					}
					mu.Unlock()
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return route, drain, cut
}
