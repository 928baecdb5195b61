package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

func init() { cases["large-downloads"] = largeDownloads }

const (
	// downloadBytes is the length of the downloads. The pages call them large and set no limit; the site file has up to
	// 540,000 bytes.
	downloadBytes = 2 << 20
	// downloadTime is how long clients send.
	downloadTime   = 28 * time.Second
	downloadBudget = 8 * time.Second
)

// largeDownloads has clients send a download and four short idempotent requests behind it, before it is answered, on kept connections.
// Some workers of the downloads break off some of their answers. The workers of the short requests are sound.
func largeDownloads(scn *scene) bool {
	const clients, behind = 8, 4
	sound := startSmallWorkers(scn, 3, "vault")
	startArchive(scn, downloadBytes)
	scn.configure(1, map[string]any{
		"files": route("/files/", "download", "archive", "8000ms"), "notes": route("/notes/", "idempotent", "vault", "8000ms"),
	}, []string{key})
	mac := newVM(scn.dir, "vm-1", "zone-a", scn.store.addr)
	mac.start(scn.dir)
	awaitReady(mac)
	time.Sleep(4 * time.Second) // stableWindow is 3 s.
	var wgr sync.WaitGroup
	var mut sync.Mutex
	unanswered := make(map[string]bool)
	end := time.Now().Add(downloadTime)
	for num := range clients {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			for conns := 0; time.Now().Before(end); conns++ {
				cli, err := dial(mac.front, 0)
				if err != nil {
					cannot(err.Error())
				}
				for round := 0; time.Now().Before(end); round++ {
					name := fmt.Sprintf("c%d-%d-%d", num, conns, round)
					text, ids := request("GET", "/files/"+name, name+"-large", key, downloadBudget), []string{name + "-large"}
					for more := range behind {
						ids = append(ids, fmt.Sprintf("%s-short-%d", name, more))
						text += request("GET", "/notes/"+ids[more+1], ids[more+1], key, downloadBudget)
					}
					began := time.Now()
					_ = cli.con.SetDeadline(began.Add(downloadBudget))
					_, err := io.WriteString(cli.con, text)
					for len(ids) > 0 && err == nil {
						if ans := cli.read(); ans.err != nil {
							notef("client %d, round %d of connection %d: %s got %v after %v; %d requests behind it are not answered", num, round, conns, ids[0], ans, time.Since(began).Round(time.Millisecond), len(ids)-1)
							err = ans.err
						}
						ids = ids[1:]
					}
					if err != nil {
						mut.Lock()
						for _, id := range ids {
							unanswered[id] = true
						}
						mut.Unlock()
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				_ = cli.con.Close()
			}
		}()
	}
	wgr.Wait()
	lost := 0
	for _, one := range runsOf(sound) {
		if unanswered[one.id] && one.whole {
			lost++
		}
	}
	notef("%d short requests from kept connections were passed on to sound workers and answered whole by them, and their connection was closed without an answer", lost)
	return lost > 3
}
