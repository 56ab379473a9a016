package main

import (
	"encoding/json"
	"time"
)

// config is a desired state.
type config map[string]any

// plainService describes a service like desk-app of inkwell-desk.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 49, "protocol": "h1", "tls": false}
}

// modelService describes a service like scribe-pool of inkwell-desk.
func modelService(name string, prompt, answer any) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 988, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 192, "kvCapacityTokens": 100000, "tokenKvBytes": 590000, "linkMbps": 480000.0, "stride": 2,
			"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "loadTimeS": 14.0, "warmS": 1.0}},
			"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
			"report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 6,
			"delays": []any{
				map[string]any{"from": "neweng-a", "target": "neweng-b", "delay_ms": 0.42},
				map[string]any{"from": "neweng-a", "target": "neweng-c", "delay_ms": 0.42},
				map[string]any{"from": "neweng-b", "target": "neweng-c", "delay_ms": 0.42},
			},
			"usual":  map[string]any{"prompt": prompt, "answer": answer},
			"layers": 80, "layerSizeMb": 1750.0, "activationBytes": 29500, "crossZoneMbps": 9000.0,
			"kinds": []any{
				map[string]any{"name": "h100", "sizeMb": 72000.0, "pace": 1.4, "readFactor": 1.0},
				map[string]any{"name": "l4", "sizeMb": 21600.0, "pace": 16.0, "readFactor": 8.2},
				map[string]any{"name": "t4", "sizeMb": 14400.0, "pace": 15.0, "readFactor": 15.0},
			},
		},
	}
}

// route describes a route of a plain service.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 800, "sloMs": 100, "priority": 2, "service": service,
		"maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

func tenant(name string, keys ...string) map[string]any {
	list := []any{}
	for _, k := range keys {
		list = append(list, k)
	}
	return map[string]any{"name": name, "apiKeys": list}
}

func desired(version int, routes, services, tenants []any) config {
	return config{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// configure writes a desired state, as the operator does.
func (r *run) configure(c config) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	o, err := r.store.put("config", "main", nil, b)
	if err == nil {
		r.rec.line("the store acknowledges the desired state, version %v, at revision %d", c["version"], o.Metadata.Revision)
	}
	return err
}

// ackTime configures and returns the time of the ack.
func (r *run) ackTime(c config) (time.Time, error) {
	err := r.configure(c)
	return time.Now(), err
}
