package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drillAt is when the drill begins, after the key was taken away, and longAway how long the store is away in it.
	drillAt  = 3200 * time.Millisecond
	longAway = 2 * time.Second
	// askPause is the time between two requests with the key that was taken away.
	askPause = 20 * time.Millisecond
)

func init() { cases["14"] = newWitness }

// newWitness takes a key away once a machine was added, and has the store come back from a copy of before that in a drill. The other machine
// starts anew meanwhile: the list of machines in the copy lacks the one that was added, which knows that the key was taken away.
func newWitness(rec *record, flt *fleet, trouble bool) (verdict, error) {
	sto, _, err := startSmall(rec, flt, []string{keyTaken}, "edge-a")
	if err != nil {
		return nil, err
	}
	starter := flt.vms[0]
	ask := func(key, id string) outcome {
		return rec.send(starter.front, attempt{method: http.MethodGet, target: "/read/x", host: host, id: id, key: key, budget: 2 * time.Second})
	}
	bak := sto.backup()
	copied := time.Now()
	witness, err := flt.add("edge-b", "zone-1", sto.address)
	if err == nil {
		err = witness.start()
	}
	if err == nil {
		err = witness.awaitReady()
	}
	if err != nil {
		return nil, err
	}
	sto.put("config", "main", configuration(2, keyKept))
	taken := time.Now()
	rec.printf("operator: the store acknowledges r2, which takes the key away")
	time.Sleep(time.Second)
	for _, mac := range flt.vms {
		out := rec.send(mac.front, attempt{method: http.MethodGet, target: "/read/x", host: host, id: "known-" + mac.name, key: keyTaken, budget: 2 * time.Second})
		if out.status != http.StatusUnauthorized {
			return nil, fmt.Errorf("a second after r2, the key is answered at machine %s: %v", mac.name, out)
		}
	}
	time.Sleep(time.Until(taken.Add(drillAt)))
	if trouble {
		sto.setAway(true)
		rec.printf("store: away")
		time.Sleep(longAway)
		starter.signal(syscall.SIGKILL)
		starter.awaitExit()
		sto.restore(bak)
		sto.setAway(false)
		rec.printf("store: back from a copy of %v ago, Store-Era 1", time.Since(copied).Round(time.Millisecond))
		if err := starter.start(); err != nil {
			return nil, err
		}
		go func() {
			time.Sleep(rewriteAfter)
			sto.put("config", "main", configuration(2, keyKept))
			rec.printf("operator: writes r2 again")
		}()
	} else {
		time.Sleep(longAway)
	}
	return askOn(ask, taken), nil
}

// askOn sends requests with the key that was taken away for some seconds, and returns those that ran too late.
func askOn(ask func(key, id string) outcome, taken time.Time) verdict {
	var found verdict
	var mut sync.Mutex
	var wait sync.WaitGroup
	for num, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); num++ {
		wait.Go(func() {
			out := ask(keyTaken, fmt.Sprintf("late-%d", num))
			mut.Lock()
			defer mut.Unlock()
			if after := out.sentAt.Sub(taken); out.status == http.StatusOK && after > revoke {
				found = append(found, fmt.Sprintf("CONFIG: request late-%d, sent %v after the ack of the configuration that took its key away, ran", num, after.Round(time.Millisecond)))
			}
		})
		time.Sleep(askPause)
	}
	wait.Wait()
	return found
}
