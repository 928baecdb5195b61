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

// drainTime is how long the end of a stop may take in the tests.
const drainTime = 2 * time.Second

// drain begins the end of a stop and returns what tells whether all connections
// were closed in time.
func (fix *fixture) drain() <-chan bool {
	done := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		done <- fix.srv.Drain(ctx)
	}()
	time.Sleep(20 * time.Millisecond) // Lets it reach every connection.
	return done
}

// write sends bytes over the connection, with line ends of HTTP.
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

// TestCallersOfAStoppingVM plays what a caller may do on a connection that it keeps
// while the VM stops. "wait" lets time pass, "drain" ends the time in which the
// balancer notices; other steps are sent.
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
		{"sends another behind one under way after the listener closed", []string{slowRequest, wait, stop, drain, nextRequest}, slow + " close\n"},
		{"sends the rest of a head after the listener closed", []string{nextRequest[:10], wait, stop, drain, nextRequest[10:]}, next + " close\n"},
		{"sends the body after the listener closed", []string{postHead + "\n", wait, stop, drain, "body"}, posted},
		{"sends a body and another request after the listener closed", []string{postHead + "\n", wait, stop, drain, "body" + nextRequest}, posted},
		{"sends half a body and nothing more", []string{postHead + "\nbo", wait, stop, drain}, "408 close\n"},
		{"waits for leave to send its body", []string{postHead + "Expect: 100-continue\n\n", wait, stop, drain, "body"}, "100\n" + posted},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.write(t, nextRequest) // The connection is kept.
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
				t.Error("a connection is left")
			}
		})
	}
}

// TestContinueIsSentAfterEarlierResponses sends a request that waits for leave to send
// its body behind one that takes longer than a body may.
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

// hookedConn is a connection on which something happens as bytes arrive, before they
// are handed over.
type hookedConn struct {
	net.Conn
	onRead func()
}

// Read reads what has arrived.
func (hkc *hookedConn) Read(buf []byte) (int, error) {
	cnt, err := hkc.Conn.Read(buf)
	if cnt > 0 {
		hkc.onRead()
	}
	return cnt, err
}

// TestRequestReadWhileIdleConnectionClosesIsAnswered closes an idle connection at the moment
// at which a request arrives, before the server has taken note of it. The bytes are
// read, so that a caller may not send the request again unless it is answered.
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

// readLong reads a long answer and returns its length in bytes, and whether it says
// that it is the last.
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
		t.Errorf("the answer is cut: %v", err)
	}
	return int(got), rsp.Close
}

// TestLastResponseIsDeliveredDespiteLaterRequests sends further requests behind one whose answer
// says that it is the last, and then reads the answer, of which the connection holds
// a part on its way or the whole.
func TestLastResponseIsDeliveredDespiteLaterRequests(t *testing.T) {
	for _, one := range []struct {
		name  string
		mib   int
		stop  bool
		first string
	}{
		{"the VM stops and has sent a part", 16, true, ""},
		{"the VM stops and has sent the whole", 1, true, ""},
		{"the caller wanted it and the VM has sent a part", 16, false, "Connection: close\n"},
		{"the caller wanted it and the VM has sent the whole", 1, false, "Connection: close\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			if one.stop {
				fix.srv.Stop()
			}
			fix.write(t, fmt.Sprintf("GET /long/%d HTTP/1.1\nHost: h\n%s\n", one.mib, one.first))
			time.Sleep(50 * time.Millisecond) // The answer fills what the connection holds.
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

// TestRequestsBehindAStartedResponseAreAnswered stops while an answer is written
// that began before and does not say that it is the last.
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
		t.Error("a connection is left")
	}
}

// TestCallersThatLeaveWhileReadingIsPaused leaves while the server waits with reading,
// and looks whether the requests under way are given up.
func TestCallersThatLeaveWhileReadingIsPaused(t *testing.T) {
	hang := "GET /hang HTTP/1.1\nHost: h\n\n"
	for _, one := range []struct {
		name, sent string
		left       int
		// stop is set where the server closes connections by then, and half where the
		// caller ends its half only.
		stop, half bool
	}{
		{"for the next request", hang, 1, false, false},
		{"for the next request, by half", hang, 1, false, true},
		{"for the next request, after the listener closed", hang, 1, true, false},
		{"for earlier answers, to give leave for a body", hang + postHead + "Expect: 100-continue\n\n", 1, false, false},
		{"for earlier answers, after the listener closed", hang + postHead + "Expect: 100-continue\n\n", 1, true, false},
		{"for an answer of many requests", strings.Repeat(hang, maxPipelined+2), maxPipelined, false, false},
		{"for an answer of many requests, after the listener closed", strings.Repeat(hang, maxPipelined+2), maxPipelined, true, false},
		{"for the last answer", "GET /hang HTTP/1.1\nHost: h\nConnection: close\n\n", 1, false, false},
		{"for the last answer, after the listener closed", "GET /hang HTTP/1.1\nHost: h\nConnection: close\n\n", 1, true, false},
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
			t.Errorf("%d requests are given up, want %d", left, one.left)
		})
	}
}
