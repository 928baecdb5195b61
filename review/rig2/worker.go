package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// run is one execution of a request.
type run struct {
	id, worker, tenant, target string
	at                         time.Time
	// whole is set once the worker has sent its whole answer.
	whole bool
}

// answerer answers a request of which the head was read; the body is unread. It returns false if the connection
// is to be closed.
type answerer func(con net.Conn, req *http.Request, run *run) bool

// worker is a stand-in of a back end. It runs each request that names it, and answers as its answerer does.
type worker struct {
	id, addr string
	lis      net.Listener
	answer   answerer

	mut  sync.Mutex
	runs []*run
}

// startWorker starts a worker. Its connections have a receive buffer of the given size in bytes, unless that is 0.
func startWorker(id string, receiveBuffer int, ans answerer) (*worker, error) {
	lic := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var serr error
		err := raw.Control(func(fd uintptr) {
			serr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, serr)
	}}
	lis, err := lic.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wrk := &worker{id: id, addr: lis.Addr().String(), lis: lis, answer: ans}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go wrk.serve(con)
		}
	}()
	return wrk, nil
}

func (wrk *worker) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		if want := req.Header.Get("Expect-Instance"); want != "" && want != wrk.id {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", req.Header.Get("Attempt-Id"), wrk.id)
			return
		}
		one := &run{id: req.Header.Get("Attempt-Id"), worker: wrk.id, tenant: req.Header.Get("Tenant"), target: req.RequestURI, at: time.Now()}
		wrk.mut.Lock()
		wrk.runs = append(wrk.runs, one)
		wrk.mut.Unlock()
		if !wrk.answer(con, req, one) || req.Close {
			return
		}
	}
}

// finish notes that a run has been answered whole.
func (wrk *worker) finish(one *run) {
	wrk.mut.Lock()
	defer wrk.mut.Unlock()
	one.whole = true
}

// runsOf returns the runs of the workers so far.
func runsOf(workers []*worker) []run {
	var out []run
	for _, wrk := range workers {
		wrk.mut.Lock()
		for _, one := range wrk.runs {
			out = append(out, *one)
		}
		wrk.mut.Unlock()
	}
	return out
}

// head returns the head of a success for a request.
func head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n", id, id, length)
}

// readBody reads the body of a request.
func readBody(req *http.Request) error {
	_, err := io.Copy(io.Discard, req.Body)
	return err
}

// beat writes the entry of a worker to the store every 1.5 s, as often as the heartbeat, until stop is closed.
func (wrk *worker) beat(sto *store, service, zone string, slots int, stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	write := func(seq int) {
		sto.put("servers", wrk.id, map[string]any{
			"service": service, "address": wrk.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeft": "0ms", "seq": seq, "born": born,
		})
	}
	write(1)
	go func() {
		tck := time.NewTicker(1500 * time.Millisecond)
		defer tck.Stop()
		for seq := 2; ; seq++ {
			select {
			case <-tck.C:
				sto.mut.Lock()
				away := sto.away
				sto.mut.Unlock()
				if !away {
					write(seq)
				}
			case <-stop:
				return
			}
		}
	}()
}
