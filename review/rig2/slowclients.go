package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["slow-clients"] = slowClients }

const (
	// slowBytes is the length of the downloads: their mean in the site file.
	slowBytes = 90_000
	// slowBudget is the time budget of the requests, and the timeout of their route.
	slowBudget = 8 * time.Second
	// slowPause is how long the clients read nothing.
	slowPause = 3 * time.Second
	// slowRounds is how often each client does so.
	slowRounds = 4
)

// slowClients has eight clients on kept connections send a download and two short idempotent requests behind it, before it is
// answered. They read nothing for some seconds after that, and go on reading well within their time budget. All workers are
// sound, and nothing else happens.
func slowClients(scn *scene) bool {
	const clients, short = 8, 2
	body := strings.Repeat("x", slowBytes)
	var workers []*worker
	for num := range 3 {
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-%d", num+1), 0, func(con net.Conn, req *http.Request, one *run) bool {
			length := 100
			if strings.HasPrefix(req.URL.Path, "/files/") {
				length = slowBytes
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
	time.Sleep(4 * time.Second) // stableWindow is 3 s.
	pause := time.Duration(0)
	if scn.trouble {
		pause = slowPause
	}
	var wgr sync.WaitGroup
	var mut sync.Mutex
	unanswered := make(map[string]bool)
	for num := range clients {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			var cli *client
			for round := range slowRounds {
				if cli == nil {
					var err error
					if cli, err = dial(mac.front, 8<<10); err != nil {
						cannot(err.Error())
					}
					if ans := cli.ask(request("GET", "/notes/first", fmt.Sprintf("first-%d-%d", num, round), key, slowBudget), slowBudget); ans.status != http.StatusOK {
						cannot("the first request was not answered: " + ans.String())
					}
				}
				ids := []string{fmt.Sprintf("large-%d-%d", num, round)}
				text := request("GET", "/files/large", ids[0], key, slowBudget)
				for more := range short {
					ids = append(ids, fmt.Sprintf("short-%d-%d-%d", num, round, more))
					text += request("GET", "/notes/short", ids[more+1], key, slowBudget)
				}
				sent := time.Now()
				_ = cli.con.SetDeadline(sent.Add(slowBudget))
				if _, err := io.WriteString(cli.con, text); err != nil {
					cannot(err.Error())
				}
				notef("client %d has sent %v on its kept connection", num, ids)
				time.Sleep(pause)
				var err error
				for len(ids) > 0 && err == nil {
					ans := cli.read()
					notef("client %d, %.1f s after it has sent its requests and %v after it began to read on: %s got %v", num, time.Since(sent).Seconds(), time.Since(sent.Add(pause)).Round(time.Millisecond), ids[0], ans)
					if err = ans.err; err == nil {
						ids = ids[1:]
					}
				}
				if err != nil {
					mut.Lock()
					for _, id := range ids {
						unanswered[id] = time.Since(sent) < slowBudget-time.Second
					}
					mut.Unlock()
					_ = cli.con.Close()
					cli = nil
				}
			}
			if cli != nil {
				_ = cli.con.Close()
			}
		}()
	}
	wgr.Wait()
	large, lost := 0, 0
	for _, one := range runsOf(workers) {
		switch {
		case !unanswered[one.id] || !one.whole:
		case strings.HasPrefix(one.id, "large-"):
			large++
		default:
			lost++
		}
	}
	notef("answered whole by sound workers, and cut well within the time budget: %d downloads; closed without any answer: %d short requests of kept connections", large, lost)
	return lost > 3
}
