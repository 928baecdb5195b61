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

func init() { cases["stopped-behind"] = stoppedBehind }

const (
	// stopBytes is the length of the downloads: their mean in the site file.
	stopBytes  = 90_000
	stopBudget = 8 * time.Second
	// sendAfter is when the clients send their download after the SIGTERM, behindAfter when they send a short request behind it
	// after that, and readAfter when they begin to read.
	sendAfter, behindAfter, readAfter = 300 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second
)

// stoppedBehind stops the machine gracefully while clients send a download on kept connections and, before they have read its
// answer, a short idempotent request behind it. All workers are sound. The machine may leave the second request unread, but the
// download must arrive whole.
func stoppedBehind(scn *scene) bool {
	const clients = 8
	body := strings.Repeat("x", stopBytes)
	var workers []*worker
	for num := range 3 {
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-%d", num+1), 0, func(con net.Conn, req *http.Request, one *run) bool {
			length := 100
			if strings.HasPrefix(req.URL.Path, "/files/") {
				length = stopBytes
			}
			_, err := io.WriteString(con, head(one.id, length)+body[:length])
			if err == nil {
				wrk.finish(one)
			}
			return err == nil
		})
		if err != nil {
			cannot(err.Error())
		}
		wrk.beat(scn.store, "vault", "zone-a", 6, scn.stop)
		workers = append(workers, wrk)
	}
	scn.configure(1, map[string]any{"files": route("/files/", "download", "vault", "8000ms"), "notes": route("/notes/", "idempotent", "vault", "8000ms")}, []string{key})
	mac := newVM(scn.dir, "vm-1", "zone-a", scn.store.addr)
	mac.start(scn.dir)
	awaitReady(mac)
	var conns []*client
	for num := range clients {
		cli, err := dial(mac.front, 8<<10)
		if err != nil {
			cannot(err.Error())
		}
		if ans := cli.ask(request("GET", "/notes/first", fmt.Sprintf("first-%d", num), key, stopBudget), stopBudget); ans.status != http.StatusOK {
			cannot("the first request was not answered: " + ans.String())
		}
		conns = append(conns, cli)
	}
	time.Sleep(4 * time.Second) // stableWindow is 3 s.
	if scn.trouble {
		notef("SIGTERM to %s", mac.name)
		mac.signal(syscall.SIGTERM)
	}
	time.Sleep(sendAfter)
	var wgr sync.WaitGroup
	var mut sync.Mutex
	cut := make(map[string]bool)
	for num, cli := range conns {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			defer func() { _ = cli.con.Close() }()
			id := fmt.Sprintf("large-%d", num)
			sent := time.Now()
			_ = cli.con.SetDeadline(sent.Add(stopBudget))
			if _, err := io.WriteString(cli.con, request("GET", "/files/large", id, key, stopBudget)); err != nil {
				notef("client %d cannot send: %v", num, err)
				return
			}
			notef("client %d has sent %s on its kept connection", num, id)
			time.Sleep(behindAfter)
			_, err := io.WriteString(cli.con, request("GET", "/notes/short", fmt.Sprintf("short-%d", num), key, stopBudget))
			notef("client %d has sent a short request behind it (%v)", num, err)
			time.Sleep(readAfter - behindAfter)
			ans := cli.read()
			notef("client %d, %.1f s after it has sent %s: %v", num, time.Since(sent).Seconds(), id, ans)
			mut.Lock()
			defer mut.Unlock()
			cut[id] = ans.err != nil
		}()
	}
	wgr.Wait()
	lost := 0
	for _, one := range runsOf(workers) {
		if cut[one.id] && one.whole {
			lost++
		}
	}
	notef("%d of %d downloads were read whole by the machine, passed on and answered whole by workers, and cut on the way to their client", lost, clients)
	return lost > 0
}
