package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["broken-behind"] = brokenBehind }

const (
	// archiveBytes is the length of the downloads, of which the site file has up to 540,000 bytes, and noteBytes that of the
	// answers of the sound workers, the greatest of idempotent requests there.
	archiveBytes, noteBytes = 200_000, 30_000
	// readerBuffer is the receive buffer of the clients.
	readerBuffer = 16 << 10
	// readerPause is how long a client does other things before it reads on.
	readerPause = 250 * time.Millisecond
	// behindTime is how long clients send.
	behindTime   = 28 * time.Second
	behindBudget = 8 * time.Second
)

// What the site file has of workers that break off answers is a share of 0.6 of a service's, 0.03 of their answers, and 5 s.
const (
	// faultyShare is the share of the workers that break off some answers, and brokenShare that of the answers.
	faultyShare, brokenShare = 0.5, 0.03
	// They do so for faultyTime at a time, with soundTime between.
	faultyTime, soundTime = 5 * time.Second, time.Second
)

// startArchive starts four workers of downloads. With the disruption some of them break off some of their answers.
func startArchive(scn *scene, length int) {
	body := strings.Repeat("x", length)
	began := time.Now()
	for num := range 4 {
		faulty := scn.trouble && float64(num) < 4*faultyShare
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-archive-%d", num+1), 0, func(con net.Conn, req *http.Request, one *run) bool {
			time.Sleep(20 * time.Millisecond)
			if faulty && time.Since(began)%(faultyTime+soundTime) < faultyTime && rand.Float64() < brokenShare {
				at := rand.IntN(length)
				notef("%s breaks off its answer to %s after %d bytes", wrk.id, one.id, at)
				_, _ = io.WriteString(con, head(one.id, length)+body[:at])
				return false
			}
			_, err := io.WriteString(con, head(one.id, length)+body)
			return err == nil
		})
		if err != nil {
			cannot(err.Error())
		}
		wrk.beat(scn.store, "archive", "zone-a", 6, scn.stop)
	}
}

// brokenBehind has clients send four short idempotent requests and a download behind them, before the first is answered, on
// kept connections, and read the answers a little later. Some workers of the downloads break off some of their answers. The workers
// of the short requests are sound.
func brokenBehind(scn *scene) bool {
	const clients, short = 24, 4
	var sound []*worker
	for num := range 3 {
		var wrk *worker
		wrk, err := startWorker(fmt.Sprintf("w-vault-%d", num+1), 0, func(con net.Conn, _ *http.Request, one *run) bool {
			_, err := io.WriteString(con, head(one.id, noteBytes)+strings.Repeat("y", noteBytes))
			if err == nil {
				wrk.finish(one)
			}
			return err == nil
		})
		if err != nil {
			cannot(err.Error())
		}
		wrk.beat(scn.store, "vault", "zone-a", 6, scn.stop)
		sound = append(sound, wrk)
	}
	startArchive(scn, archiveBytes)
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
	end := time.Now().Add(behindTime)
	for num := range clients {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			for conns := 0; time.Now().Before(end); conns++ {
				cli, err := dial(mac.front, readerBuffer)
				if err != nil {
					cannot(err.Error())
				}
				if ans := cli.ask(request("GET", "/notes/first", fmt.Sprintf("c%d-%d-first", num, conns), key, behindBudget), behindBudget); ans.status != http.StatusOK {
					notef("client %d, first request of connection %d: %v", num, conns, ans)
				}
				for round := 0; time.Now().Before(end); round++ {
					name := fmt.Sprintf("c%d-%d-%d", num, conns, round)
					text, ids := "", []string{}
					for more := range short {
						ids = append(ids, fmt.Sprintf("%s-short-%d", name, more))
						text += request("GET", "/notes/"+ids[more], ids[more], key, behindBudget)
					}
					ids = append(ids, name+"-large")
					text += request("GET", "/files/"+name, name+"-large", key, behindBudget)
					began := time.Now()
					_ = cli.con.SetDeadline(began.Add(behindBudget))
					_, err := io.WriteString(cli.con, text)
					time.Sleep(readerPause)
					for len(ids) > 0 && err == nil {
						ans := cli.read()
						if err = ans.err; err != nil {
							notef("client %d, round %d of connection %d: %s got %v after %v; %d requests behind it are not answered", num, round, conns, ids[0], ans, time.Since(began).Round(time.Millisecond), len(ids)-1)
							if ans.status != 0 {
								ids = ids[1:] // A part of its answer has arrived, so it is not counted.
							}
							break
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
	notef("%d short requests from kept connections were passed on to sound workers and answered whole by them, and their connection was closed without their answer", lost)
	return lost > 3
}
