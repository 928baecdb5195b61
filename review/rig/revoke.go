package main

import (
	"time"
)

// revokeBound is for how long a key may work after it was taken away.
const revokeBound = 5 * time.Second

func init() { cases["revoke"] = playRevoke }

// playRevoke takes a key away just after a drill, several times.
func playRevoke(scn *scene) (bool, error) {
	keys := []string{"key-one", "key-two", "key-three", "key-four", "key-five", "key-six", "key-seven", "key-eight", "key-nine"}
	routes := map[string]any{"orders": route("shop.example", "/orders/", "non_idempotent", "orders", "3000ms")}
	if _, err := scn.sto.put("config", "main", configuration(7, routes, map[string]any{"acme": tenant(0, 0, keys...)}, "orders")); err != nil {
		return false, err
	}
	if err := scn.addWorkers("orders", 12, 6, 100*time.Millisecond); err != nil {
		return false, err
	}
	if err := scn.startVMs(2); err != nil {
		return false, err
	}
	stop := scn.load(30, "POST", "shop.example", "/orders/1", keys[0], 4*time.Second)
	time.Sleep(6 * time.Second)
	acked := make(map[string]time.Time)
	for last := len(keys) - 1; last > 0; last-- {
		if scn.trouble {
			from, to, _ := scn.sto.drill(800*time.Millisecond, 2*time.Second)
			scn.note("drill: the store was away for 0.8 s and is back from a copy that is 2 s old; its revision went from %d to %d", from, to)
		}
		version := 7 + 2*(len(keys)-last)
		revision, err := scn.sto.put("config", "main", configuration(version, routes, map[string]any{"acme": tenant(0, 0, keys[:last]...)}, "orders"))
		if err != nil {
			return false, err
		}
		acked[keys[last]] = time.Now()
		scn.note("the operator takes %s away with version r%d, acknowledged at revision %d", keys[last], version, revision)
		time.Sleep(revokeBound + 300*time.Millisecond)
		stopRevoked := scn.load(30, "POST", "shop.example", "/orders/2", keys[last], 4*time.Second)
		time.Sleep(3 * time.Second)
		stopRevoked()
	}
	stop()
	sent := make(map[string]result)
	answers := make(map[string][]result)
	for _, res := range scn.clients.list() {
		sent[res.attempt] = res
		answers[res.key] = append(answers[res.key], res)
	}
	late := 0
	byVM := make(map[string]map[string]int)
	for _, one := range scn.runs() {
		res := sent[one.attempt]
		if at, away := acked[res.key]; away && res.sent.Sub(at) > revokeBound {
			late++
			if byVM[res.key] == nil {
				byVM[res.key] = make(map[string]int)
			}
			byVM[res.key][res.vm]++
		}
	}
	for _, key := range keys {
		scn.note("answers to requests with %s: %s; run later than %v after it was taken away: %v", key, summary(answers[key]), revokeBound, byVM[key])
	}
	scn.note("requests that ran though their key had been taken away more than %v before they were sent: %d", revokeBound, late)
	return late == 0, nil
}
