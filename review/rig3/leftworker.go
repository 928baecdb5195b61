package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stableWindow is after which calm time the machines of the small deployments are in touch.
	stableWindow = 3 * time.Second
	// leftServices is how many services there are, each with leftWorkers workers, one of which leaves.
	leftServices = 4
	leftWorkers  = 3
	// oldCopy is how old the copy is from which the store comes back, and leaveAfter how long after it was made workers leave.
	oldCopy    = 8 * time.Second
	leaveAfter = 500 * time.Millisecond
	// entryTime is how long the store keeps an entry that nobody writes: three heartbeats.
	entryTime = 3 * heartbeat
	// touchMargin is left out at the beginning of the time in which the machines are in touch.
	touchMargin = 100 * time.Millisecond
)

func init() { cases["15"] = leftWorker }

// leave removes the entry of a worker for good. The worker goes on serving.
func (wkr *worker) leave() {
	wkr.mut.Lock()
	defer wkr.mut.Unlock()
	wkr.gone = true
	wkr.sto.drop("servers", wkr.id)
	wkr.rec.printf("store: the entry of %s is removed", wkr.id)
}

// startServices starts the workers of several services and returns those that will leave.
func startServices(sto *store, rec *record) (leaving []*worker, err error) {
	con := configuration(1, keyKept)
	routes, services := con["routes"].(map[string]any), con["services"].(map[string]any)
	for num := range leftServices {
		name := fmt.Sprintf("svc-%d", num)
		route := configuration(1, keyKept)["routes"].(map[string]any)["read"].(map[string]any)
		route["pathPrefix"], route["service"] = fmt.Sprintf("/part%d/", num), name
		routes[name], services[name] = route, services["svc-a"]
		for one := range leftWorkers {
			wkr, err := startWorker(sto, rec, fmt.Sprintf("i-%d-%d", num, one), name, fmt.Sprintf("zone-%d", one%2), serveWell(shortWork))
			if err != nil {
				return nil, err
			}
			if one == 0 {
				leaving = append(leaving, wkr)
			}
		}
	}
	con["tenants"] = map[string]any{"org-a": map[string]any{"apiKeys": []string{keyKept}, "priority": 1}}
	sto.put("config", "main", con)
	return leaving, nil
}

// leftWorker lets a worker of each service leave without a report that it drains, and has the store come back from a copy of before in a drill.
// One machine starts anew meanwhile.
func leftWorker(rec *record, flt *fleet, trouble bool) (verdict, error) {
	sto, err := newStore()
	if err != nil {
		return nil, err
	}
	leaving, err := startServices(sto, rec)
	if err != nil {
		return nil, err
	}
	for num := range 2 {
		mac, err := flt.add(fmt.Sprintf("edge-%c", 'a'+num), fmt.Sprintf("zone-%d", num), sto.address)
		if err == nil {
			err = mac.start()
		}
		if err != nil {
			return nil, err
		}
	}
	for _, mac := range flt.vms {
		if err := mac.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(stableWindow)
	bak := sto.backup()
	copied := time.Now()
	time.Sleep(leaveAfter)
	for _, wkr := range leaving {
		wkr.leave()
	}
	time.Sleep(time.Until(copied.Add(oldCopy)))
	if trouble {
		if err := drillWithRestart(rec, flt.vms[0], sto, bak, leaving); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	from, until := back.Add(stableWindow+touchMargin), back.Add(entryTime)
	sent := sendToServices(rec, flt, until)
	var found verdict
	for _, wkr := range leaving {
		for _, arr := range wkr.runs("") {
			if at := sent[arr.id]; at.After(from) {
				found = append(found, fmt.Sprintf("DRAIN: request %s reached worker %s %v after its entry was removed, sent %v after the drill had ended", arr.id, wkr.id, arr.at.Sub(copied.Add(leaveAfter)).Round(time.Millisecond), at.Sub(back).Round(time.Millisecond)))
			}
		}
	}
	return found, nil
}

// drillWithRestart has the store come back from a copy, while a machine is killed and starts anew. The store removes the entries of the workers that
// have left again, once they were silent for three heartbeats.
func drillWithRestart(rec *record, mac *vm, sto *store, bak backup, leaving []*worker) error {
	sto.setAway(true)
	mac.signal(syscall.SIGKILL)
	mac.awaitExit()
	time.Sleep(awayTime)
	sto.restore(bak)
	sto.setAway(false)
	rec.printf("store: back from a copy of %v ago, Store-Era 1", oldCopy)
	time.AfterFunc(entryTime, func() {
		for _, wkr := range leaving {
			sto.drop("servers", wkr.id)
		}
	})
	return mac.start()
}

// sendToServices sends requests to all services at all machines until a time, and returns when each was sent.
func sendToServices(rec *record, flt *fleet, until time.Time) map[string]time.Time {
	sent := make(map[string]time.Time)
	var mut sync.Mutex
	var wait sync.WaitGroup
	for num := 0; time.Now().Before(until); num++ {
		for at, mac := range flt.vms {
			att := attempt{
				method: http.MethodGet, target: fmt.Sprintf("/part%d/x", num%leftServices), host: host, id: fmt.Sprintf("m%d-%d", at, num), key: keyKept, budget: 2 * time.Second,
			}
			wait.Go(func() {
				out := rec.sendQuietly(mac.front, att)
				mut.Lock()
				defer mut.Unlock()
				sent[att.id] = out.sentAt
			})
		}
		time.Sleep(askPause)
	}
	wait.Wait()
	return sent
}
