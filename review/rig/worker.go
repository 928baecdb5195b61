package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a worker writes its entry.
const heartbeat = 1500 * time.Millisecond

// run is one request that a worker has begun to work on.
type run struct {
	attempt, worker, tenant, path string
	at                            time.Time
	done                          bool
}

// worker is a stand-in of a worker: it registers itself and runs requests.
type worker struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	sto                        *store
	server                     *http.Server
	born                       int64
	free                       chan struct{}
	// spoil decides whether the answer to the n-th request has a body without end, and breakOff whether it is broken
	// off after brokenBytes.
	spoil, breakOff func(n int) bool
	// bodyBytes is the length of an answer; 0 means a line of text.
	bodyBytes int

	mut      sync.Mutex
	runs     []run
	waiting  int
	count    int
	sequence int
	state    string
	quiet    bool
}

func newWorker(id, service, zone string, slots int, work time.Duration, sto *store) (*worker, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wkr := &worker{
		id: id, service: service, zone: zone, address: lis.Addr().String(), slots: slots, work: work, sto: sto,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots), state: "ready",
	}
	for range slots {
		wkr.free <- struct{}{}
	}
	wkr.server = &http.Server{Handler: wkr, IdleTimeout: 10 * time.Second}
	go func() { _ = wkr.server.Serve(lis) }()
	go wkr.register()
	return wkr, nil
}

// register writes the entry every heartbeat, and once more when the store has come back from a copy.
func (wkr *worker) register() {
	next := time.Now().Add(-time.Duration(rand.Int64N(int64(heartbeat))))
	era := 0
	for {
		_, now := wkr.sto.state()
		wkr.mut.Lock()
		quiet := wkr.quiet
		if !quiet && (now != era || time.Now().After(next)) {
			wkr.sequence++
			_, err := wkr.sto.put("servers", wkr.id, map[string]any{
				"service": wkr.service, "address": wkr.address, "zone": wkr.zone, "version": "v1", "slots": wkr.slots, "state": wkr.state,
				"coldLeft": "0ms", "seq": wkr.sequence, "born": wkr.born,
			})
			if err == nil {
				era = now
				for time.Now().After(next) {
					next = next.Add(heartbeat)
				}
			}
		}
		wkr.mut.Unlock()
		if quiet {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// deregister removes the entry; the worker goes on serving. It returns the time of the acknowledgement.
func (wkr *worker) deregister() (time.Time, error) {
	wkr.mut.Lock()
	wkr.quiet = true
	wkr.mut.Unlock()
	err := wkr.sto.remove("servers", wkr.id)
	return time.Now(), err
}

// exit ends the worker with all its connections.
func (wkr *worker) exit() { _ = wkr.server.Close() }

func (wkr *worker) list() []run {
	wkr.mut.Lock()
	defer wkr.mut.Unlock()
	return append([]run(nil), wkr.runs...)
}

// ServeHTTP serves one request.
func (wkr *worker) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		wrt.Header().Set("Instance-Id", wkr.id)
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	wrt.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, req.Body)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != wkr.id {
		wrt.Header().Set("Instance-Id", wkr.id)
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wkr.mut.Lock()
	if wkr.waiting >= wkr.slots+12 {
		wkr.mut.Unlock()
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wkr.waiting++
	wkr.mut.Unlock()
	defer func() {
		wkr.mut.Lock()
		wkr.waiting--
		wkr.mut.Unlock()
	}()
	select {
	case <-wkr.free:
	case <-req.Context().Done():
		return
	}
	defer func() { wkr.free <- struct{}{} }()
	wkr.mut.Lock()
	wkr.count++
	spoiled, broken := wkr.spoil != nil && wkr.spoil(wkr.count), wkr.breakOff != nil && wkr.breakOff(wkr.count)
	at := len(wkr.runs)
	wkr.runs = append(wkr.runs, run{attempt: attempt, worker: wkr.id, tenant: req.Header.Get("Tenant"), path: req.URL.Path, at: time.Now()})
	wkr.mut.Unlock()
	select {
	case <-time.After(wkr.work):
	case <-req.Context().Done():
		return
	}
	wkr.mut.Lock()
	wkr.runs[at].done = true
	wkr.mut.Unlock()
	wrt.Header().Set("Response-Signature", "sig."+attempt)
	if broken {
		wkr.breakAnswerOff(wrt)
		return
	}
	if !spoiled {
		body := fmt.Sprintf("body of %s by %s\n", attempt, wkr.id)
		body += strings.Repeat("x", max(wkr.bodyBytes-len(body), 0))
		wrt.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(wrt, body)
		return
	}
	wkr.floodBody(wrt, req)
}

// brokenBytes is after how much of its body an answer is broken off.
const brokenBytes = 80 << 10

// breakAnswerOff sends the first part of an answer and resets the connection.
func (wkr *worker) breakAnswerOff(wrt http.ResponseWriter) {
	wrt.Header().Set("Content-Length", fmt.Sprint(wkr.bodyBytes))
	_, _ = wrt.Write(make([]byte, brokenBytes))
	wrt.(http.Flusher).Flush()
	time.Sleep(50 * time.Millisecond)
	if con, _, err := wrt.(http.Hijacker).Hijack(); err == nil {
		_ = con.(*net.TCPConn).SetLinger(0)
		_ = con.Close()
	}
}

// floodBody sends a body without end, until the connection is closed.
func (wkr *worker) floodBody(wrt http.ResponseWriter, req *http.Request) {
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	for req.Context().Err() == nil {
		if _, err := wrt.Write(chunk); err != nil {
			return
		}
		wrt.(http.Flusher).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}
