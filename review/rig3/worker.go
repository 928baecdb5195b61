package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is how often a worker writes its entry.
const heartbeat = 1500 * time.Millisecond

// arrival is a request that has reached a worker.
type arrival struct {
	id, worker, tenant, method, target, body string
	at                                       time.Time
	// ran is set if the worker began to work on it.
	ran bool
}

// worker is a stand-in of a back end. It answers each request with handle.
type worker struct {
	id, service, zone string
	address           string
	born              int64
	sto               *store
	rec               *record
	// handle answers a request whose head has been read; it returns false to close the connection.
	handle func(wkr *worker, con net.Conn, req *http.Request) bool

	mut      sync.Mutex
	sequence int
	gone     bool
	arrivals []arrival
}

func startWorker(sto *store, rec *record, id, service, zone string, handle func(wkr *worker, con net.Conn, req *http.Request) bool) (*worker, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wkr := &worker{id: id, service: service, zone: zone, address: lis.Addr().String(), born: time.Now().UnixMilli(), sto: sto, rec: rec, handle: handle}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go wkr.serve(con)
		}
	}()
	wkr.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			wkr.beat()
		}
	}()
	return wkr, nil
}

// beat writes the entry of the worker, unless the store is away.
func (wkr *worker) beat() {
	wkr.mut.Lock()
	defer wkr.mut.Unlock()
	if wkr.gone || wkr.sto.isAway() {
		return
	}
	wkr.sequence++
	wkr.sto.put("servers", wkr.id, map[string]any{
		"service": wkr.service, "address": wkr.address, "zone": wkr.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeft": "0ms",
		"seq": wkr.sequence, "born": wkr.born,
	})
}

func (wkr *worker) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	rdr := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		if exp := req.Header.Get("Expect-Instance"); exp != "" && exp != wkr.id {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(con, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", wkr.id)
			continue
		}
		if !wkr.handle(wkr, con, req) {
			return
		}
	}
}

// note records an arrival. The body must have been read.
func (wkr *worker) note(req *http.Request, body string, ran bool) {
	arr := arrival{
		id: req.Header.Get("Attempt-Id"), worker: wkr.id, tenant: req.Header.Get("Tenant"), method: req.Method, target: req.RequestURI, body: body,
		at: time.Now(), ran: ran,
	}
	wkr.mut.Lock()
	wkr.arrivals = append(wkr.arrivals, arr)
	wkr.mut.Unlock()
	wkr.rec.printf("worker %s: request %s arrives, %s %s, tenant %q, %d bytes, ran %v", wkr.id, arr.id, shorten(arr.method), shorten(arr.target), arr.tenant, len(body), ran)
}

// runs returns the arrivals with an id that were run; all that were run for an empty id.
func (wkr *worker) runs(id string) []arrival {
	wkr.mut.Lock()
	defer wkr.mut.Unlock()
	var out []arrival
	for _, arr := range wkr.arrivals {
		if arr.ran && (id == "" || arr.id == id) {
			out = append(out, arr)
		}
	}
	return out
}

// serveWell runs a request for a time and answers it with 200.
func serveWell(work time.Duration) func(wkr *worker, con net.Conn, req *http.Request) bool {
	return func(wkr *worker, con net.Conn, req *http.Request) bool {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return false
		}
		wkr.note(req, string(body), true)
		time.Sleep(work)
		txt := "done " + req.Header.Get("Attempt-Id") + "\n"
		_, err = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Attempt-Id"), signature(req), len(txt), txt)
		return err == nil
	}
}

// signature returns the receipt of a worker for a request.
func signature(req *http.Request) string { return "sig-" + req.Header.Get("Attempt-Id") }
