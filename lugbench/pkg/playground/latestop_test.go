package playground

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"marigoldlug.example/platform/pkg/objects"
)

// TestRequestsReadLateInAStopAreNotCut sends the last byte of requests that are not idempotent at many moments
// of a stop. Each must get the response of its target, or be refused without having run.
func TestRequestsReadLateInAStopAreNotCut(t *testing.T) {
	const latency, step = 600 * time.Millisecond, 150 * time.Millisecond
	prc := startProcess(t, latency)
	prc.awaitReady()
	settle()
	var wgr sync.WaitGroup
	began := time.Now().Add(200 * time.Millisecond)
	for at := time.Duration(0); at < prc.set.StopTime; at += step {
		wgr.Go(func() {
			id := fmt.Sprintf("order-%v", at)
			con, err := net.Dial("tcp", prc.set.CallerAddress)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = con.Close() }()
			nms := objects.Names()
			_, _ = fmt.Fprintf(con, "POST /orders/x HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: 8000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\norde", nms.Request, id, nms.Timeout, Key)
			time.Sleep(time.Until(began.Add(at)))
			if _, err := io.WriteString(con, "r"); err != nil {
				return // The VM has closed the connection before it had read the request.
			}
			rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
			ran := prc.pgr.runs()[id]
			switch {
			case err != nil && ran > 0:
				t.Errorf("the last byte %v after the signal: cut with %v, though it ran", at, err)
			case err != nil:
			case rsp.StatusCode == http.StatusServiceUnavailable && ran == 0:
			case rsp.StatusCode != http.StatusOK:
				t.Errorf("the last byte %v after the signal: got %d, and it ran %d times", at, rsp.StatusCode, ran)
			}
			if rsp != nil {
				_ = rsp.Body.Close()
			}
		})
	}
	time.Sleep(time.Until(began))
	prc.signal(syscall.SIGTERM)
	wgr.Wait()
	prc.awaitExit()
}
