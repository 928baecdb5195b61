package main

import (
	"fmt"
	"time"
)

const (
	host = "records.example"
	// keyKept is a key that all configurations have.
	keyKept = "kept9anu6wsjnban"
	// shortWork is how long workers work on most requests.
	shortWork = 20 * time.Millisecond
	// settleTime is how long the machines run before a case begins.
	settleTime = 2 * time.Second
)

// configuration returns a configuration with an idempotent and a not idempotent route.
func configuration(version int, keys ...string) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeout": "5000ms", "targetLatency": "1000ms", "priority": 1, "service": "svc-a",
			"attempts": 2, "public": false,
		}
	}
	return map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"read": route("/read/", "idempotent"), "order": route("/order/", "non_idempotent")},
		"services": map[string]any{"svc-a": map[string]any{"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  map[string]any{"org-a": map[string]any{"apiKeys": keys, "priority": 1, "ratePerS": 200, "burst": 200}},
	}
}

// startSmall starts a store whose configuration has some keys beside keyKept, a few workers and machines, and waits until these are
// ready and in touch.
func startSmall(rec *record, flt *fleet, moreKeys []string, names ...string) (sto *store, wkrs []*worker, err error) {
	if sto, err = newStore(); err != nil {
		return nil, nil, err
	}
	sto.put("config", "main", configuration(1, append([]string{keyKept}, moreKeys...)...))
	for num := range 3 {
		wkr, err := startWorker(sto, rec, fmt.Sprintf("i-%d", num), "svc-a", fmt.Sprintf("zone-%d", num), serveWell(shortWork))
		if err != nil {
			return nil, nil, err
		}
		wkrs = append(wkrs, wkr)
	}
	for num, name := range names {
		mac, err := flt.add(name, fmt.Sprintf("zone-%d", num), sto.address)
		if err == nil {
			err = mac.start()
		}
		if err != nil {
			return nil, nil, err
		}
	}
	for _, mac := range flt.vms {
		if err := mac.awaitReady(); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(settleTime)
	return sto, wkrs, nil
}
