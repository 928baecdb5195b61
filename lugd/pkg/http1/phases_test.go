package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// drainTime is how long Drain may take in the tests.
const drainTime = 2 * time.Second

// drain calls Drain in the background. The channel receives whether all connections were closed in
// time.
func (fix *fixture) drain() <-chan bool {
	done := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		done <- fix.srv.Drain(ctx)
	}()
	time.Sleep(20 * time.Millisecond) // Drain must have reached every connection.
	return done
}

// write sends a text over the connection, with the line ends of HTTP.
func (fix *fixture) write(t *testing.T, txt string) {
	t.Helper()
	if _, err := io.WriteString(fix.con, strings.ReplaceAll(txt, "\n", "\r\n")); err != nil {
		t.Fatal(err)
	}
}

const (
	slowRequest = "GET /slow/1 HTTP/1.1\nHost: h\n\n"
	nextRequest = "GET /x HTTP/1.1\nHost: h\n\n"
	postHead    = "POST /x HTTP/1.1\nHost: h\nContent-Length: 4\n"
)

// TestCallersOfAStoppingVM covers what a caller may do on a persistent connection while the VM
// stops. The step "stop" begins a graceful stop, "drain" is the time at which the load balancer has
// noticed and the listener is closed, "wait" lets time pass; other steps are sent.
func TestCallersOfAStoppingVM(t *testing.T) {
	const wait, stop, drain = "wait", "stop", "drain"
	slow, next, posted := "200 \"answer to /slow/1\"", "200 \"answer to /x\"", "200 \"answer to /x\" close\n"
	for _, one := range []struct {
		name  string
		steps []string
		want  string
	}{
		{"idle when the stop begins, sends then", []string{stop, nextRequest}, next + " close\n"},
		{"idle when the listener closes", []string{stop, drain}, "no answer\n"},
		{"sent when the stop begins", []string{slowRequest, wait, stop}, slow + " close\n"},
		{"sent when the listener closes", []string{slowRequest, wait, stop, drain}, slow + " close\n"},
		{"several sent at once when the listener closes", []string{slowRequest + nextRequest, wait, stop, drain}, slow + "\n" + next + " close\n"},
		{"sends another behind one in flight after the listener closed", []string{slowRequest, wait, stop, drain, nextRequest}, slow + " close\n"},
		{"sends the rest of a head after the listener closed", []string{nextRequest[:10], wait, stop, drain, nextRequest[10:]}, next + " close\n"},
		{"sends the body after the listener closed", []string{postHead + "\n", wait, stop, drain, "body"}, posted},
		{"sends a body and another request after the listener closed", []string{postHead + "\n", wait, stop, drain, "body" + nextRequest}, posted},
		{"sends half a body and nothing more", []string{postHead + "\nbo", wait, stop, drain}, "408 close\n"},
		{"waits for 100 Continue to send its body", []string{postHead + "Expect: 100-continue\n\n", wait, stop, drain, "body"}, "100\n" + posted},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.write(t, nextRequest) // The connection stays open after this one.
			if got := fix.read(1); got != next+"\n" {
				t.Fatalf("got %q", got)
			}
			var done <-chan bool
			for _, stp := range one.steps {
				switch stp {
				case wait:
					time.Sleep(50 * time.Millisecond)
				case stop:
					fix.srv.Stop()
				case drain:
					done = fix.drain()
				default:
					fix.write(t, stp)
				}
			}
			if got := fix.read(strings.Count(one.want, "\n")); got != one.want {
				t.Errorf("got %q, want %q", got, one.want)
			}
			if done == nil {
				done = fix.drain()
			}
			if !<-done {
				t.Error("a connection is still open after draining")
			}
		})
	}
}

// TestContinueIsSentAfterEarlierResponses pipelines a request with "Expect: 100-continue" behind
// one that takes longer than the body timeout. 100 Continue must come after the earlier response,
// and the body timeout must not start before.
func TestContinueIsSentAfterEarlierResponses(t *testing.T) {
	fix := newFixture(t)
	fix.connect(t)
	fix.write(t, slowRequest+postHead+"Expect: 100-continue\n\n")
	if got := fix.read(2); got != "200 \"answer to /slow/1\"\n100\n" {
		t.Fatalf("got %q", got)
	}
	fix.write(t, "body")
	if got := fix.read(1); got != "200 \"answer to /x\"\n" {
		t.Errorf("got %q", got)
	}
}

// hookedConn is a connection that calls onRead when bytes have been read, before it returns them.
type hookedConn struct {
	net.Conn
	onRead func()
}

// Read reads bytes and calls onRead.
func (hkc *hookedConn) Read(buf []byte) (int, error) {
	cnt, err := hkc.Conn.Read(buf)
	if cnt > 0 {
		hkc.onRead()
	}
	return cnt, err
}

// TestRequestReadWhileIdleConnectionClosesIsAnswered closes an idle connection when a request has
// arrived that the server has not noticed yet. Its bytes have been read, so the caller cannot know
// that the request was not processed and must not send it again: it must be answered.
func TestRequestReadWhileIdleConnectionClosesIsAnswered(t *testing.T) {
	fix := newFixture(t)
	ours, theirs := net.Pipe()
	fix.con, fix.src = theirs, bufio.NewReader(theirs)
	hkc := &hookedConn{Conn: ours}
	con := newConn(fix.srv, hkc)
	hkc.onRead = con.closeWhenIdle
	go con.serve()
	go func() { _, _ = io.WriteString(theirs, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody") }()
	if got := fix.read(1); got != "200 \"answer to /x\" close\n" {
		t.Errorf("got %q", got)
	}
}

// readLong reads a long response and returns the length of its body in bytes, and whether it says
// "Connection: close".
func (fix *fixture) readLong(t *testing.T) (length int, last bool) {
	t.Helper()
	_ = fix.con.SetReadDeadline(time.Now().Add(5 * time.Second))
	rsp, err := http.ReadResponse(fix.src, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.Copy(io.Discard, rsp.Body)
	_ = rsp.Body.Close()
	if err != nil {
		t.Errorf("the response is cut short: %v", err)
	}
	return int(got), rsp.Close
}

// TestLastResponseIsDeliveredDespiteLaterRequests sends further requests behind one whose response
// says "Connection: close", and only then reads the response, which is partly or completely in the
// socket buffers. If the server closed the connection with these requests unread, the kernel would
// reset it and the caller would lose the rest of the response.
func TestLastResponseIsDeliveredDespiteLaterRequests(t *testing.T) {
	for _, one := range []struct {
		name  string
		mib   int
		stop  bool
		first string
	}{
		{"the VM stops and has sent a part", 16, true, ""},
		{"the VM stops and has sent the whole response", 1, true, ""},
		{"the caller asked for it and the VM has sent a part", 16, false, "Connection: close\n"},
		{"the caller asked for it and the VM has sent the whole response", 1, false, "Connection: close\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			if one.stop {
				fix.srv.Stop()
			}
			fix.write(t, fmt.Sprintf("GET /long/%d HTTP/1.1\nHost: h\n%s\n", one.mib, one.first))
			// The response must have begun, or it wouldn't be the last one.
			_ = fix.con.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := fix.src.Peek(1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // The response fills the socket buffers.
			for range 3 {
				fix.write(t, nextRequest)
				time.Sleep(5 * time.Millisecond)
			}
			if got, last := fix.readLong(t); got != one.mib<<20 || !last {
				t.Errorf("got %d of %d bytes, close %v", got, one.mib<<20, last)
			}
		})
	}
}

// TestRequestsBehindAStartedResponseAreAnswered stops and drains while a response is being written
// that doesn't say "Connection: close". A request behind it must still be answered.
func TestRequestsBehindAStartedResponseAreAnswered(t *testing.T) {
	fix := newFixture(t)
	fix.connect(t)
	fix.write(t, "GET /long/16 HTTP/1.1\nHost: h\n\n")
	time.Sleep(100 * time.Millisecond)
	fix.srv.Stop()
	done := fix.drain()
	fix.write(t, nextRequest)
	if got, last := fix.readLong(t); got != 16<<20 || last {
		t.Fatalf("got %d bytes, close %v", got, last)
	}
	if got := fix.read(1); got != "200 \"answer to /x\" close\n" {
		t.Errorf("got %q", got)
	}
	if !<-done {
		t.Error("a connection is still open after draining")
	}
}

// TestCallersThatLeaveWhileReadingIsPaused leaves while the server reads no request, since it waits
// for something as the name of the case says. The in-flight requests must be canceled.
func TestCallersThatLeaveWhileReadingIsPaused(t *testing.T) {
	hang := "GET /hang HTTP/1.1\nHost: h\n\n"
	for _, one := range []struct {
		name, sent string
		left       int
		// stop is set if the server drains before the caller leaves, and half if the caller closes
		// only its sending side.
		stop, half bool
	}{
		{"for the next request", hang, 1, false, false},
		{"for the next request, sending side only", hang, 1, false, true},
		{"for the next request, after the listener closed", hang, 1, true, false},
		{"for earlier responses, to send 100 Continue", hang + postHead + "Expect: 100-continue\n\n", 1, false, false},
		{"for earlier responses, after the listener closed", hang + postHead + "Expect: 100-continue\n\n", 1, true, false},
		{"for a response to one of many requests", strings.Repeat(hang, maxPipelined+2), maxPipelined, false, false},
		{"for a response to one of many requests, after the listener closed", strings.Repeat(hang, maxPipelined+2), maxPipelined, true, false},
		{"for the last response", "GET /hang HTTP/1.1\nHost: h\nConnection: close\n\n", 1, false, false},
		{"for the last response, after the listener closed", "GET /hang HTTP/1.1\nHost: h\nConnection: close\n\n", 1, true, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.write(t, one.sent)
			time.Sleep(50 * time.Millisecond)
			if one.stop {
				fix.srv.Stop()
				fix.drain()
			}
			if tcp, ok := fix.con.(*net.TCPConn); ok && one.half {
				_ = tcp.CloseWrite()
			} else {
				_ = fix.con.Close()
			}
			left := 0
			for range 40 {
				time.Sleep(10 * time.Millisecond)
				fix.fks.mut.Lock()
				left = len(fix.fks.left)
				fix.fks.mut.Unlock()
				if left == one.left {
					return
				}
			}
			t.Errorf("the callers of %d requests have left, want %d", left, one.left)
		})
	}
}
