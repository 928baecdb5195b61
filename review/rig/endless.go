package main

import (
	"time"
)

// The rule is broken if fewestOverdue requests or more have no final answer answerBound after their route's timeout.
const (
	answerBound   = 500 * time.Millisecond
	fewestOverdue = 8
)

func init() { cases["endless"] = playEndless }

// playEndless lets half of the workers give 2 in 100 of their answers a body without end.
func playEndless(scn *scene) (bool, error) {
	const timeout, deadline = 3 * time.Second, 6 * time.Second
	config := configuration(7, map[string]any{"orders": route("shop.example", "/orders/", "non_idempotent", "orders", timeout.String())},
		map[string]any{"acme": tenant(0, 0, "key-one")}, "orders")
	if _, err := scn.sto.put("config", "main", config); err != nil {
		return false, err
	}
	if err := scn.addWorkers("orders", 6, 6, 100*time.Millisecond); err != nil {
		return false, err
	}
	if scn.trouble {
		for _, wkr := range scn.workers[:3] {
			wkr.spoil = func(n int) bool { return n%50 == 25 }
		}
	}
	if err := scn.startVMs(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := scn.load(60, "POST", "shop.example", "/orders/1", "key-one", deadline)
	time.Sleep(50 * time.Second)
	stop()
	results := scn.clients.list()
	overdue, unanswered, bytes := 0, 0, int64(0)
	for _, res := range results {
		took := res.ended.Sub(res.sent)
		if took <= timeout {
			continue
		}
		overdue++
		if took > timeout+answerBound {
			unanswered++
			bytes += res.bytes
			scn.note("attempt %s by way of %s: status %d, %d bytes, no end after %.2f s: %v", res.attempt, res.vm, res.status, res.bytes, took.Seconds(), res.err)
		}
	}
	scn.note("requests that lasted longer than the route's timeout of %v: %d; without a final answer %v later: %d", timeout, overdue, answerBound, unanswered)
	scn.note("answers: %s", summary(results))
	return unanswered < fewestOverdue || 4*unanswered <= overdue, nil
}
