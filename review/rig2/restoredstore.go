package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restored-store"] = restoredStore }

const (
	revokeBound = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back, awayTime for how long it is away, and redoTime when
	// the operator has written again what was lost.
	copyAge  = 8 * time.Second
	awayTime = 500 * time.Millisecond
	redoTime = 2 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
)

const withdrawnKey = "former-key-0123456789"

// startSmallWorkers starts workers that answer each request at once with a short body.
func startSmallWorkers(scn *scene, count int, service string) []*worker {
	var workers []*worker
	for num := range count {
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-%s-%d", service, num+1), 0, func(con net.Conn, req *http.Request, one *run) bool {
			if readBody(req) != nil {
				return false
			}
			_, err := io.WriteString(con, head(one.id, 4)+"done")
			if err == nil {
				wrk.finish(one)
			}
			return err == nil
		})
		if err != nil {
			cannot(err.Error())
		}
		wrk.beat(scn.store, service, fmt.Sprintf("zone-%c", 'a'+num%3), 6, scn.stop)
		workers = append(workers, wrk)
	}
	return workers
}

// restoredStore withdraws a key, and brings the store back from a copy of before that more than revoke later. A process is
// killed then and starts again. No request that a client sends with the key so late may run.
func restoredStore(scn *scene) bool {
	workers := startSmallWorkers(scn, 3, "vault")
	routes := map[string]any{"orders": route("/orders/", "non_idempotent", "vault", "3000ms")}
	scn.configure(1, routes, []string{key, withdrawnKey})
	var machines []*vm
	for num := range 3 {
		mac := newVM(scn.dir, fmt.Sprintf("vm-%d", num+1), fmt.Sprintf("zone-%c", 'a'+num), scn.store.addr)
		mac.start(scn.dir)
		machines = append(machines, mac)
	}
	awaitReady(machines...)
	time.Sleep(4 * time.Second)
	bak := scn.store.copyOf()
	copied := time.Now()
	time.Sleep(time.Second)
	scn.configure(2, routes, []string{key})
	withdrawn := time.Now()
	time.Sleep(copyAge - awayTime - time.Since(copied))
	if scn.trouble {
		scn.store.setAway(true)
		notef("the store is away")
	}
	time.Sleep(awayTime)
	if scn.trouble {
		scn.store.restore(bak)
		notef("the store is back from a copy that is %.1f s old, of before the key was withdrawn", time.Since(copied).Seconds())
		time.AfterFunc(redoTime, func() { scn.configure(2, routes, []string{key}) })
	}
	victim := machines[0]
	victim.signal(syscall.SIGKILL)
	<-victim.exited
	notef("%s was killed", victim.name)
	time.Sleep(restartDelay)
	victim.start(scn.dir)
	notef("%s starts again", victim.name)
	var wgr sync.WaitGroup
	var mut sync.Mutex
	sentAt := make(map[string]time.Time)
	statuses := make(map[string]int)
	send := func(mac *vm, id string) {
		defer wgr.Done()
		cli, err := dial(mac.front, 0)
		if err != nil {
			return
		}
		defer func() { _ = cli.con.Close() }()
		mut.Lock()
		sentAt[id] = time.Now()
		mut.Unlock()
		ans := cli.ask(request("POST", "/orders/"+id, id, withdrawnKey, 3*time.Second), 4*time.Second)
		mut.Lock()
		statuses[fmt.Sprintf("%s %d", mac.name, ans.status)]++
		mut.Unlock()
		if ans.status == http.StatusOK {
			notef("%s answered %s, which was sent %.1f s after the key was withdrawn, with 200", mac.name, id, time.Since(withdrawn).Seconds())
		}
	}
	for num, end := 0, time.Now().Add(5*time.Second); time.Now().Before(end); num++ {
		for _, mac := range machines {
			wgr.Add(1)
			go send(mac, fmt.Sprintf("late-%s-%d", mac.name, num))
		}
		time.Sleep(10 * time.Millisecond)
	}
	wgr.Wait()
	ran := 0
	for _, one := range runsOf(workers) {
		if at, found := sentAt[one.id]; found && strings.HasPrefix(one.id, "late-") && at.Sub(withdrawn) > revokeBound {
			ran++
			notef("%s ran %s for %s", one.worker, one.id, one.tenant)
		}
	}
	notef("answers by machine and status (0: none): %v", statuses)
	notef("%d requests with the withdrawn key ran that were sent later than %v after its withdrawal", ran, revokeBound)
	return ran > 0
}
