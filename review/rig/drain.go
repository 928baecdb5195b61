package main

import (
	"time"
)

// The bounds of the pages for a small deployment.
const (
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
)

func init() { cases["drain"] = playDrain }

// playDrain removes the entry of a worker after a drill, once the store is stable again. The worker goes on
// serving for some seconds and then exits.
func playDrain(scn *scene) (bool, error) {
	config := configuration(7, map[string]any{"orders": route("shop.example", "/orders/", "non_idempotent", "orders", "3000ms")},
		map[string]any{"acme": tenant(0, 0, "key-one")}, "orders")
	if _, err := scn.sto.put("config", "main", config); err != nil {
		return false, err
	}
	if err := scn.addWorkers("orders", 6, 6, 150*time.Millisecond); err != nil {
		return false, err
	}
	if err := scn.startVMs(2); err != nil {
		return false, err
	}
	stop := scn.load(120, "POST", "shop.example", "/orders/1", "key-one", 4*time.Second)
	time.Sleep(10 * time.Second)
	if scn.trouble {
		before, after, _ := scn.sto.drill(time.Second, 8*time.Second)
		scn.note("drill: the store was away for 1 s and is back from a copy that is 8 s old; its revision went from %d to %d", before, after)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	gone := scn.workers[0]
	acked, err := gone.deregister()
	if err != nil {
		return false, err
	}
	revision, _ := scn.sto.state()
	scn.note("the entry of worker %s is removed, at revision %d; it serves for 12 s more", gone.id, revision)
	time.Sleep(12 * time.Second)
	gone.exit()
	exited := time.Now()
	scn.note("worker %s has exited", gone.id)
	time.Sleep(4 * time.Second)
	stop()
	results := scn.clients.list()
	sent := make(map[string]result)
	for _, res := range results {
		sent[res.attempt] = res
	}
	late, lost := 0, 0
	byVM := make(map[string]int)
	for _, one := range gone.list() {
		res := sent[one.attempt]
		if one.at.Sub(acked) > drainBound && res.sent.Sub(acked) > drainBound {
			late++
			byVM[res.vm]++
			if res.status != 200 {
				lost++
				scn.note("attempt %s, sent %.2f s after the removal by way of %s, ran at %s and ended with status %d, error %v", res.attempt, res.sent.Sub(acked).Seconds(), res.vm, one.worker, res.status, res.err)
			}
		}
	}
	scn.note("requests that reached worker %s more than %v after its removal was acknowledged: %d %v; of these without a good answer, mostly since it exited at %.1f: %d", gone.id, drainBound, late, byVM, scn.since(exited), lost)
	scn.note("answers: %s", summary(results))
	return late == 0, nil
}
