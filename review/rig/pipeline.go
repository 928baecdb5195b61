package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// mostLost is how many requests may be lost.
	mostLost = 3
	// pipelined is how many requests a client sends at a time.
	pipelined = 4
)

func init() { cases["pipeline"] = playPipeline }

// playPipeline lets half of the workers break off 2 in 100 of their answers, which are 100 KiB long, while clients send
// several idempotent requests at a time on kept connections.
func playPipeline(scn *scene) (bool, error) {
	config := configuration(7, map[string]any{"curves": route("shop.example", "/curves/", "idempotent", "curves", "5000ms")},
		map[string]any{"acme": tenant(0, 0, "key-one")}, "curves")
	if _, err := scn.sto.put("config", "main", config); err != nil {
		return false, err
	}
	if err := scn.addWorkers("curves", 6, 6, 150*time.Millisecond); err != nil {
		return false, err
	}
	faulty := make(map[string]bool)
	for num, wkr := range scn.workers {
		wkr.bodyBytes = 100 << 10
		if scn.trouble && num < len(scn.workers)/2 {
			faulty[wkr.id] = true
			wkr.breakOff = func(n int) bool { return n%50 == 25 }
		}
	}
	if err := scn.startVMs(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(40 * time.Second)
	var wait sync.WaitGroup
	for num := range 12 {
		wait.Go(func() {
			for conns := 0; time.Now().Before(end); conns++ {
				scn.clients.pipeline(scn.vms[num%len(scn.vms)], fmt.Sprintf("%x-%x", num, conns), end)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	runs := make(map[string]run)
	for _, one := range scn.runs() {
		runs[one.attempt] = one
	}
	results := scn.clients.list()
	lost := 0
	for _, res := range results {
		// A request whose own answer has begun was broken off by its worker.
		if one, ran := runs[res.attempt]; ran && res.err != nil && res.status == 0 && !faulty[one.worker] && res.kept {
			lost++
			scn.note("attempt %s by way of %s ran at %s, which is sound; its connection ended without an answer: %v", res.attempt, res.vm, one.worker, res.err)
		}
	}
	scn.note("requests on kept connections that were passed on to a sound worker and got no answer: %d", lost)
	scn.note("answers: %s", summary(results))
	return lost <= mostLost, nil
}

// pipeline sends requests to a VM over one connection, pipelined of them at a time, until the connection ends.
func (cls *clients) pipeline(one *vm, name string, end time.Time) {
	con, err := net.DialTimeout("tcp", one.front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for round := 0; time.Now().Before(end); round++ {
		var text strings.Builder
		var sent []result
		for num := range pipelined {
			res := result{attempt: fmt.Sprintf("%s-%x-%x", name, round, num), vm: one.name, key: "key-one", path: "/curves/1", sent: time.Now(), kept: round > 0}
			sent = append(sent, res)
			fmt.Fprintf(&text, "GET %s/%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-one\r\n\r\n", res.path, res.attempt, res.attempt)
		}
		_ = con.SetDeadline(time.Now().Add(8 * time.Second))
		_, err := io.WriteString(con, text.String())
		for _, res := range sent {
			if err == nil {
				err = res.read(src)
			}
			res.err, res.ended = err, time.Now()
			cls.mut.Lock()
			cls.results = append(cls.results, res)
			cls.mut.Unlock()
		}
		if err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// read reads the answer to a request.
func (res *result) read(src *bufio.Reader) error {
	rsp, err := http.ReadResponse(src, nil)
	if err != nil {
		return err
	}
	res.status, res.signed = rsp.StatusCode, rsp.Header.Get("Response-Signature") != ""
	res.bytes, err = io.Copy(io.Discard, rsp.Body)
	return err
}
