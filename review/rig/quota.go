package main

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"
)

// The bounds of the pages for a small deployment.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

func init() { cases["quota"] = playQuota }

var errRole = errors.New("the roles of the token servers are not held by the VMs that are expected")

// holderOf returns the ID of the VM that holds the role of a token server, by the store.
func (scn *scene) holderOf(role string) string {
	var spec struct {
		Holder   string `json:"holder"`
		Released bool   `json:"released"`
	}
	_ = json.Unmarshal(scn.sto.spec("fleet", role), &spec)
	if spec.Released {
		return ""
	}
	return spec.Holder
}

// tokenServers are the names of the objects that say which VM holds the role of a token server.
var tokenServers = []string{"duty.quota-0", "duty.quota-1", "duty.quota-2"}

func (scn *scene) noteHolders() {
	scn.note("by the store, the roles of the token servers are held by %s, %s and %s", scn.holderOf(tokenServers[0]), scn.holderOf(tokenServers[1]), scn.holderOf(tokenServers[2]))
}

// playQuota lets two of three VMs lose power and start again later. The third one takes their roles over; then the
// store has a drill and comes back from a copy that does not know of that.
func playQuota(scn *scene) (bool, error) {
	const rate, burst = 200, 20
	config := configuration(7, map[string]any{"orders": route("shop.example", "/orders/", "non_idempotent", "orders", "3000ms")},
		map[string]any{"acme": tenant(rate, burst, "key-one")}, "orders")
	if _, err := scn.sto.put("config", "main", config); err != nil {
		return false, err
	}
	if err := scn.addWorkers("orders", 9, 6, 50*time.Millisecond); err != nil {
		return false, err
	}
	if err := scn.startVMs(1); err != nil {
		return false, err
	}
	stop := scn.load(420, "POST", "shop.example", "/orders/1", "key-one", 4*time.Second)
	time.Sleep(12 * time.Second)
	scn.noteHolders()
	lost := scn.vms[:2]
	for num, one := range lost {
		if !strings.HasPrefix(scn.holderOf(tokenServers[num]), one.name) {
			return false, errRole
		}
	}
	for _, one := range lost {
		one.kill()
	}
	scn.note("%s and %s have lost power", lost[0].name, lost[1].name)
	// The third VM takes the others off the list one after the other, each after 3.5 s.
	time.Sleep(9 * time.Second)
	scn.noteHolders()
	if scn.trouble {
		from, to, _ := scn.sto.drill(time.Second, 8*time.Second)
		scn.note("drill: the store was away for 1 s and is back from a copy that is 8 s old; its revision went from %d to %d", from, to)
		scn.noteHolders()
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(4500 * time.Millisecond)
	for _, one := range lost {
		if err := one.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(scn.vms); err != nil {
		return false, err
	}
	scn.note("%s and %s are back", lost[0].name, lost[1].name)
	scn.noteHolders()
	time.Sleep(15 * time.Second)
	stop()
	scn.noteHolders()
	results := scn.clients.list()
	sent := make(map[string]time.Time)
	for _, res := range results {
		sent[res.attempt] = res.sent
	}
	most, at := mostInWindow(scn.runs(), sent)
	bound := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	scn.note("most requests sent and run in %v: %d, ending at %.1f; the bound is %.0f", quotaWindow, most, scn.since(at), bound)
	scn.note("answers: %s", summary(results))
	return float64(most) <= bound, nil
}

// mostInWindow returns the greatest number of requests that were both sent and run within one window.
func mostInWindow(runs []run, sent map[string]time.Time) (most int, at time.Time) {
	slices.SortFunc(runs, func(one, two run) int { return one.at.Compare(two.at) })
	for first, last := 0, 0; last < len(runs); last++ {
		for runs[last].at.Sub(runs[first].at) > quotaWindow {
			first++
		}
		count := 0
		for _, one := range runs[first : last+1] {
			if runs[last].at.Sub(sent[one.attempt]) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, runs[last].at
		}
	}
	return most, at
}
