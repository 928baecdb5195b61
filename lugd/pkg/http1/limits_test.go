package http1

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/memory"
)

// awaitHeld waits until the connections hold an amount, for a second at most.
func awaitHeld(t *testing.T, what string, held func() int64, want int64) {
	t.Helper()
	for end := time.Now().Add(time.Second); held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s held: %d, want %d", what, held(), want)
		}
	}
}

// TestConnectionAtRestHoldsLittle guards against buffers that stay as large as the largest request was, and against
// memory or descriptors that are not given back after a request or a connection.
func TestConnectionAtRestHoldsLittle(t *testing.T) {
	fix := newFixture(t)
	set := fix.srv.Settings()
	set.HeaderBytes = 16 << 10
	fix.srv.SetSettings(set)
	fix.connect(t)
	for _, one := range []struct{ request, want string }{
		{nextRequest, "200 \"answer to /x\"\n"},
		{strings.Replace(nextRequest, "\n\n", "\nX: "+strings.Repeat("x", 12<<10)+"\n\n", 1), "200 \"answer to /x\"\n"},
		{"POST /x HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n", "200 \"answer to /x\"\n"},
	} {
		fix.write(t, one.request)
		if got := fix.read(1); got != one.want {
			t.Fatalf("got %q", got)
		}
		awaitHeld(t, "bytes", fix.srv.memory.Held, ConnectionBytes)
		awaitHeld(t, "descriptors", fix.srv.files.Held, 1)
	}
	_ = fix.con.Close()
	awaitHeld(t, "bytes", fix.srv.memory.Held, 0)
	awaitHeld(t, "descriptors", fix.srv.files.Held, 0)
}

// TestStalledBodyIsGivenUpForOthers guards against a caller that stops in the middle of a body and so keeps others from being
// served: it must be refused with status 503 once its memory is needed, and the other one be served.
func TestStalledBodyIsGivenUpForOthers(t *testing.T) {
	fix := newFixture(t)
	set := fix.srv.Settings()
	set.BodyBytes, set.BodyTimeout = 1<<20, time.Minute
	fix.srv.SetSettings(set)
	fix.srv.memory.SetLimits(memory.Limits{Size: 1 << 20, Small: SmallRequestBytes})
	stalled := newCaller(t, fix)
	if _, err := fmt.Fprintf(stalled.con, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 800<<10, strings.Repeat("x", 790<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond) // The first caller must have lost most of its progress.
	other := newCaller(t, fix)
	go func() {
		_, _ = fmt.Fprintf(other.con, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 600<<10, strings.Repeat("x", 600<<10))
	}()
	if got := stalled.read(1); got != "503 retry after 1 close\n" {
		t.Errorf("the stalled caller got %q", got)
	}
	if got := other.read(1); got != "200 \"answer to /x\"\n" {
		t.Errorf("the other caller got %q", got)
	}
}

// newCaller returns a fixture with a connection of its own to the same server.
func newCaller(t *testing.T, fix *fixture) *fixture {
	t.Helper()
	one := &fixture{srv: fix.srv, lis: fix.lis, fks: fix.fks}
	one.connect(t)
	t.Cleanup(func() { _ = one.con.Close() })
	return one
}

// TestIdleConnectionsGiveWayButRequestsDoNot guards against a crowd of silent connections that keeps out others, and against
// a request in flight that is cut for lack of descriptors.
func TestIdleConnectionsGiveWayButRequestsDoNot(t *testing.T) {
	fix := newFixture(t)
	fix.srv.files.SetLimits(memory.Limits{Size: 6, Small: SmallRequestFiles})
	busy := newCaller(t, fix)
	busy.write(t, slowRequest)
	awaitHeld(t, "descriptors", fix.srv.files.Held, 2)
	var silent []net.Conn
	for range 4 {
		silent = append(silent, newCaller(t, fix).con)
	}
	awaitHeld(t, "descriptors", fix.srv.files.Held, 6)
	last := newCaller(t, fix)
	last.write(t, nextRequest)
	if got := last.read(1); got != "200 \"answer to /x\"\n" {
		t.Errorf("the last caller got %q", got)
	}
	if got := busy.read(1); got != "200 \"answer to /slow/1\"\n" {
		t.Errorf("the caller with a request in flight got %q", got)
	}
	closed := 0
	for _, con := range silent {
		_ = con.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := con.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
			closed++
		}
	}
	if closed == 0 || closed == len(silent) {
		t.Errorf("%d of %d silent connections were closed", closed, len(silent))
	}
}
