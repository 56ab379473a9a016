package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// modelConfig is a desired state with one service of model runners.
func (w *world) modelConfig() {
	w.plainConfig()
	r := route("r-letter", "/letter/", "streaming", modelService, 2)
	r["sticky"], r["resumable"], r["targetGapMs"], r["sloMs"], r["timeoutMs"] = true, true, 200, 500, 20000
	w.config["routes"] = []any{r}
	w.config["services"] = []any{map[string]any{"name": modelService, "healthPath": "/health", "maxConns": 978, "engine": map[string]any{
		"slots": 192, "kvCapacityTokens": 100000, "tokenKvBytes": 590000.0, "linkMbps": 480000.0, "stride": 2, "models": []any{map[string]any{"name": "m0", "loadTimeS": 1.0}},
		"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
		"delays": []any{map[string]any{"from": zoneName, "target": zoneName, "delay_ms": 0.1}}, "usual": map[string]any{"prompt": 60, "answer": 20},
		"layers": layers, "layerSizeMb": layerSizeMB, "activationBytes": 29500.0, "crossZoneMbps": 9000.0,
		"kinds": []any{map[string]any{"name": cardName, "sizeMb": cardSizeMB, "pace": 1.0, "readFactor": 1.0}},
	}}}
}

var crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (w *world) noteCrash() {
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	crashes.at = append(crashes.at, time.Now())
}

// sound is one sound request and whether its answer had begun at the first attempt.
type sound struct {
	sent  time.Time
	begun bool
}

// partsCase has the first runner of a path crash. All prompts are long conversations: they share their first parts.
func partsCase(w *world, trouble bool) (bool, error) { return w.poisonCase(trouble, 34, false) }

// lastCase has the last runner of a path crash, which returns the tokens. The prompts share two parts.
func lastCase(w *world, trouble bool) (bool, error) {
	poisonLast = true
	return w.poisonCase(trouble, 2, false)
}

// rollCase has the first runner of a path crash on a part, four runners crash for causes of their own, and then the
// entries stopped and started again one after the other.
func rollCase(w *world, trouble bool) (bool, error) { return w.poisonCase(trouble, 1, true) }

// poisonCase sends sound requests all the while, and for a time others whose prompts hold one more part, on which
// runners crash. All prompts share their first parts.
//
// With roll set, sound requests are fewer, runners also crash for causes of their own, and the entries are restarted.
func (w *world) poisonCase(trouble bool, shared int, roll bool) (bool, error) {
	const (
		engines  = 24
		warm     = 12 * time.Second
		crashing = 40 * time.Second
		every    = 100 * time.Millisecond
	)
	pause := every
	if roll {
		pause = 350 * time.Millisecond
	}
	length := warm + crashing
	if roll {
		length += 25 * time.Second
	}
	w.modelConfig()
	w.configure("first", func(map[string]any) {})
	for i := range engines {
		if _, err := w.addRunner(fmt.Sprintf("i-%02d", i), modelService, nil); err != nil {
			return false, err
		}
	}
	if err := w.addEntries(3); err != nil {
		return false, err
	}
	if err := w.awaitReady("/letter/1"); err != nil {
		return false, err
	}
	var history []string
	for range shared {
		history = append(history, newID()[:8]+":40")
	}
	bad := newID()[:8]
	poison = bad
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sounds []sound
	began := time.Now()
	end := began.Add(length)
	send := func(n int, parts []string, soundRequest bool) {
		e := w.entries[n%len(w.entries)]
		id := newID()
		list := strings.Join(append(append([]string{}, parts...), newID()[:8]+":20"), ",")
		a := call(e.front, request{method: "POST", path: "/letter/x", id: id, wait: 6 * time.Second, parts: list})
		for k := 1; a.noChannel && k < len(w.entries); k++ {
			// An entry that is being restarted; a client goes to another one then.
			e = w.entries[(n+k)%len(w.entries)]
			a = call(e.front, request{method: "POST", path: "/letter/x", id: id, wait: 6 * time.Second, parts: list})
		}
		what := "sound"
		if !soundRequest {
			what = "crashing"
		}
		w.record.printf("client: %s request %s sent to %s at %s: %s", what, id, e.name, w.record.at(a.sent), a)
		if soundRequest {
			mu.Lock()
			sounds = append(sounds, sound{sent: a.sent, begun: a.status == http.StatusOK && !a.first.IsZero()})
			mu.Unlock()
		}
	}
	var rollErr error
	if roll {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(warm + 4*time.Second)))
			for range 4 {
				w.failing.Store(trouble)
				time.Sleep(2500 * time.Millisecond)
			}
			w.failing.Store(false)
			rollErr = w.roll()
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { send(n, history, true) })
		if trouble && time.Since(began) > warm && (roll || n%5 == 0) {
			wg.Go(func() { send(n/5, append(append([]string{}, history...), bad+":30"), false) })
		}
		time.Sleep(pause)
	}
	wg.Wait()
	return w.judgeParts(sounds, began.Add(warm), end), rollErr
}

// judgeParts applies the rules on prompt parts that crash runners.
func (w *world) judgeParts(sounds []sound, from, to time.Time) bool {
	crashes.mu.Lock()
	at := append([]time.Time(nil), crashes.at...)
	crashes.mu.Unlock()
	w.record.printf("%d crashes", len(at))
	judged := from.Add(2 * stableWindow)
	if len(at) > 0 {
		judged = at[min(len(at), 5)-1].Add(2 * stableWindow)
	}
	before, begunBefore, after, begunAfter := 0, 0, 0, 0
	for _, s := range sounds {
		switch {
		case s.sent.Before(from):
			before++
			if s.begun {
				begunBefore++
			}
		case s.sent.After(judged) && s.sent.Before(to):
			after++
			if s.begun {
				begunAfter++
			}
		}
	}
	arrivals := 0
	if len(at) >= 5 {
		w.mu.Lock()
		for _, a := range w.runs {
			if a.poison && a.at.After(at[4].Add(stableWindow)) {
				arrivals++
			}
		}
		w.mu.Unlock()
	}
	w.record.printf("LOST: sound requests begun at the first attempt: %d of %d before the crashes, %d of %d from %s after the fifth crash on (bound: half the share)", begunBefore, before, begunAfter, after, 2*stableWindow)
	w.record.printf("BUDGET: %d requests with the part reached runners later than %s after the fifth crash (bound: 3)", arrivals, stableWindow)
	if before < 20 || after < 20 {
		return false
	}
	return float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before)
}
