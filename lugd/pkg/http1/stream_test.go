package http1

import (
	"io"
	"slices"
	"testing"
	"time"
)

// sentTo returns how many requests have reached targets.
func (fks *fakes) sentTo() int {
	fks.mut.Lock()
	defer fks.mut.Unlock()
	return len(fks.received)
}

// TestRequestBehindAStreamedResponseWaits sends a request while a response is passed on as it comes. It must not reach a target
// before that has ended, or else its response would be lost with the connection if the stream broke off; it must be answered then.
func TestRequestBehindAStreamedResponseWaits(t *testing.T) {
	fix := newFixture(t)
	src, dst := io.Pipe()
	fix.fks.stream = src
	fix.connect(t)
	fix.write(t, "GET /stream HTTP/1.1\nHost: h\n\n")
	time.Sleep(50 * time.Millisecond)
	fix.write(t, nextRequest)
	time.Sleep(100 * time.Millisecond)
	if cnt := fix.fks.sentTo(); cnt != 1 {
		t.Errorf("%d requests have reached targets while the first response was streamed", cnt)
	}
	_ = dst.Close()
	if got := fix.read(2); got != "200 \"answer to /stream\"\n200 \"answer to /x\"\n" {
		t.Errorf("got %q", got)
	}
	if !slices.Equal(fix.fks.more, []int{0}) {
		t.Errorf("%v bytes were held of a response without others behind it", fix.fks.more)
	}
}

// TestResponseBeforeOthersIsHeld sends a request right behind one with a long response, so that both are in flight. The long
// response must be held whole, and its memory be released.
func TestResponseBeforeOthersIsHeld(t *testing.T) {
	fix := newFixture(t)
	src, dst := io.Pipe()
	_ = dst.Close()
	fix.fks.stream = src
	fix.connect(t)
	fix.write(t, "GET /stream/slow HTTP/1.1\nHost: h\n\n"+nextRequest)
	if got := fix.read(2); got != "200 \"answer to /stream/slow\"\n200 \"answer to /x\"\n" {
		t.Errorf("got %q", got)
	}
	if !slices.Equal(fix.fks.more, []int{maxHeldBytes}) {
		t.Errorf("%v bytes were held", fix.fks.more)
	}
	for end := time.Now().Add(time.Second); fix.srv.memory.Held() != ConnectionBytes && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if left := fix.srv.memory.Held() - ConnectionBytes; left != 0 {
		t.Errorf("%d bytes count as in use", left)
	}
}

// TestCallerThatLeavesDuringAStreamIsNoticed leaves while a request waits behind a streamed response. The connection must end.
func TestCallerThatLeavesDuringAStreamIsNoticed(t *testing.T) {
	fix := newFixture(t)
	src, dst := io.Pipe()
	fix.fks.stream = src
	fix.connect(t)
	fix.write(t, "GET /stream HTTP/1.1\nHost: h\n\n"+nextRequest)
	time.Sleep(50 * time.Millisecond)
	_ = fix.con.Close()
	_ = dst.CloseWithError(io.ErrUnexpectedEOF)
	for end := time.Now().Add(2 * time.Second); fix.srv.Connections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open")
		}
	}
}
