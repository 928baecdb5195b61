package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestSlowCallerGetsTheWholeResponse has a caller take a long response so slowly that the whole takes
// several times the write timeout, but no part of it does. The response must not be cut.
func TestSlowCallerGetsTheWholeResponse(t *testing.T) {
	// The timeout is several times the 0.2 s after which TCP probes a full window again, and more than
	// a busy machine holds up the caller.
	const mib, timeout = 16, time.Second
	fix := newFixtureWithTimeout(t, timeout)
	fix.connect(t)
	if err := fix.con.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	fix.write(t, "GET /long/16 HTTP/1.1\nHost: h\n\n")
	rsp, err := http.ReadResponse(fix.src, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	got := int64(0)
	for err == nil {
		var cnt int64
		cnt, err = io.CopyN(io.Discard, rsp.Body, 64<<10)
		got += cnt
		time.Sleep(20 * time.Millisecond)
	}
	if got != mib<<20 {
		t.Errorf("the caller got %d bytes, then %v", got, err)
	}
	if took := time.Since(began); took < 3*timeout {
		t.Errorf("the caller was not slow, it took %v", took)
	}
}

// TestContinueIsSentAfterALongPause sends a request that expects 100 Continue over a connection whose
// last response was written longer ago than the write timeout.
func TestContinueIsSentAfterALongPause(t *testing.T) {
	fix := newFixtureWithTimeout(t, 50*time.Millisecond)
	fix.connect(t)
	fix.write(t, nextRequest)
	if got := fix.read(1); got != "200 \"answer to /x\"\n" {
		t.Fatalf("got %q", got)
	}
	time.Sleep(3 * fix.srv.writeTimeout)
	fix.write(t, postHead+"Expect: 100-continue\n\n")
	_ = fix.con.SetReadDeadline(time.Now().Add(time.Second))
	line, err := fix.src.ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
}

// TestCallerThatTakesNothingIsGivenUp has a caller not read a long response at all. Its connection must
// be closed after the write timeout.
func TestCallerThatTakesNothingIsGivenUp(t *testing.T) {
	fix := newFixtureWithTimeout(t, 100*time.Millisecond)
	fix.connect(t)
	fix.write(t, "GET /long/16 HTTP/1.1\nHost: h\n\n")
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		fix.fks.mut.Lock()
		began := len(fix.fks.received) == 1
		fix.fks.mut.Unlock()
		if began && fix.srv.Connections() == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", fix.srv.Connections())
		}
	}
}
