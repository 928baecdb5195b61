package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// revoke is the bound of the small deployments for a key that was taken away.
	revoke = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back in a drill, awayTime how long the store is away, and
	// rewriteAfter when the operator writes again what was lost.
	copyAge      = 4 * time.Second
	awayTime     = 300 * time.Millisecond
	rewriteAfter = 4500 * time.Millisecond
	// freezeTime is how long a machine stands still.
	freezeTime = 4 * time.Second
	// keyTaken is the key that is taken away.
	keyTaken = "taken5gmkcuyj8pj"
)

func init() { cases["13"] = withdrawnKey }

// withdrawnKey takes a key away, and has the store come back from a copy of before in a drill. One machine starts anew
// meanwhile, while the other one, which knows that the key was taken away, stands still.
func withdrawnKey(rec *record, flt *fleet, trouble bool) (verdict, error) {
	sto, _, err := startSmall(rec, flt, []string{keyTaken}, "edge-a", "edge-b")
	if err != nil {
		return nil, err
	}
	starter, witness := flt.vms[0], flt.vms[1]
	ask := func(key, id string) outcome {
		return rec.send(starter.front, attempt{method: http.MethodGet, target: "/read/x", host: host, id: id, key: key, budget: 2 * time.Second})
	}
	if out := ask(keyTaken, "before"); out.status != http.StatusOK {
		return nil, fmt.Errorf("before all, the key is answered: %v", out)
	}
	bak := sto.backup()
	sto.put("config", "main", configuration(2, keyKept))
	taken := time.Now()
	rec.printf("operator: the store acknowledges r2, which takes the key away")
	time.Sleep(time.Second)
	if out := ask(keyTaken, "known"); out.status != http.StatusUnauthorized {
		return nil, fmt.Errorf("a second after r2, the key is answered: %v", out)
	}
	time.Sleep(time.Until(taken.Add(copyAge)))
	drill := time.Now()
	if trouble {
		go func() {
			time.Sleep(rewriteAfter)
			sto.put("config", "main", configuration(2, keyKept))
			rec.printf("operator: writes r2 again")
		}()
		if os.Getenv("NO_FREEZE") == "" {
			witness.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { witness.signal(syscall.SIGCONT) })
		}
		sto.setAway(true)
		starter.signal(syscall.SIGKILL)
		starter.awaitExit()
		time.Sleep(awayTime)
		sto.restore(bak)
		sto.setAway(false)
		rec.printf("store: back from a copy of %v ago, Store-Era 1", time.Since(taken).Round(time.Millisecond))
		if err := starter.start(); err != nil {
			return nil, err
		}
	}
	var found verdict
	for num := 0; time.Since(drill) < 7*time.Second; num++ {
		out := ask(keyTaken, fmt.Sprintf("late-%d", num))
		if after := out.sentAt.Sub(taken); out.status == http.StatusOK && after > revoke {
			found = append(found, fmt.Sprintf("CONFIG: request late-%d, sent %v after the ack of the configuration that took its key away, ran", num, after.Round(time.Millisecond)))
		}
		time.Sleep(100 * time.Millisecond)
	}
	if out := ask(keyKept, "after"); out.status != http.StatusOK {
		return nil, fmt.Errorf("after all, a key that was kept is answered: %v", out)
	}
	return found, nil
}
