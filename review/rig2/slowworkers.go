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

func init() { cases["slow-workers"] = slowWorkers }

const (
	// orderBytes is the length of the bodies: the greatest in the site file.
	orderBytes = 24_000
	// orderBudget is the time budget of the requests, and the timeout of their route.
	orderBudget = 8 * time.Second
	// workTime is how long the workers work on an order.
	workTime = 4600 * time.Millisecond
	// stopAfter is when the machine is sent SIGTERM after the requests. Its grace of 6 s ends long after the workers' answers.
	stopAfter = 500 * time.Millisecond
	graceTime = 6 * time.Second
)

// slowWorkers has clients send orders with a body on kept connections. The workers work on each for the same time. With the
// disruption they read the rest of the body only at its end. The machine is stopped meanwhile, which must break off nothing.
func slowWorkers(scn *scene) bool {
	const clients = 6
	var workers []*worker
	for num := range 3 {
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-%d", num+1), 4<<10, func(con net.Conn, req *http.Request, one *run) bool {
			if !strings.HasPrefix(one.id, "order-") {
				_, err := io.WriteString(con, head(one.id, 4)+"done")
				return err == nil
			}
			notef("%s runs %s; it reads the body at once: %v", wrk.id, one.id, !scn.trouble)
			_, err := io.CopyN(io.Discard, req.Body, 1<<10)
			if err == nil && !scn.trouble {
				err = readBody(req)
			}
			time.Sleep(workTime)
			if err == nil {
				err = readBody(req)
			}
			if err != nil {
				notef("%s cannot read the body of %s: %v", wrk.id, one.id, err)
				return false
			}
			_, err = io.WriteString(con, head(one.id, 4)+"done")
			wrk.finish(one)
			notef("%s has run %s and has answered it", wrk.id, one.id)
			return err == nil
		})
		if err != nil {
			cannot(err.Error())
		}
		wrk.beat(scn.store, "vault", "zone-a", 6, scn.stop)
		workers = append(workers, wrk)
	}
	scn.configure(1, map[string]any{"orders": route("/orders/", "non_idempotent", "vault", "8000ms")}, []string{key})
	mac := newVM(scn.dir, "vm-1", "zone-a", scn.store.addr)
	mac.start(scn.dir)
	awaitReady(mac)
	time.Sleep(4 * time.Second) // stableWindow is 3 s.
	var wgr, sent sync.WaitGroup
	var mut sync.Mutex
	lost := 0
	var stopped time.Time
	for num := range clients {
		wgr.Add(1)
		sent.Add(1)
		go func() {
			defer wgr.Done()
			cli, err := dial(mac.front, 0)
			if err != nil {
				cannot(err.Error())
			}
			defer func() { _ = cli.con.Close() }()
			if ans := cli.ask(request("DELETE", "/orders/old", fmt.Sprintf("small-%d", num), key, orderBudget), orderBudget); ans.status != 200 {
				cannot("the first request was not answered: " + ans.String())
			}
			id := fmt.Sprintf("order-%d", num)
			began := time.Now()
			text := requestWithBody("POST", "/orders/new", id, key, orderBudget, orderBytes) + strings.Repeat("x", orderBytes)
			_ = cli.con.SetDeadline(began.Add(orderBudget))
			if _, err := io.WriteString(cli.con, text); err != nil {
				cannot(err.Error())
			}
			notef("client %d has sent %s whole", num, id)
			sent.Done()
			ans := cli.read()
			notef("client %d, %.1f s after it has sent %s: %v, of a worker: %v", num, time.Since(began).Seconds(), id, ans, ans.signed)
			mut.Lock()
			defer mut.Unlock()
			if !ans.signed && time.Since(began) < orderBudget-500*time.Millisecond && time.Since(stopped) < graceTime*5/6 {
				lost++
			}
		}()
	}
	sent.Wait()
	time.Sleep(stopAfter)
	notef("SIGTERM to %s", mac.name)
	mut.Lock()
	stopped = time.Now()
	mut.Unlock()
	mac.signal(syscall.SIGTERM)
	wgr.Wait()
	notef("%d of %d orders were broken off, or lost their answer, before the last sixth of grace and well within their time budget", lost, clients)
	return lost > 0
}
