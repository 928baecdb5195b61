package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
)

// requestIDHeader names the header that a response must repeat, in the tests that match responses.
const requestIDHeader = "Request-Id"

// rawTarget is a target that answers the first request of each connection, in order of the
// connections, by a function; later ones get "done".
type rawTarget struct {
	lis     net.Listener
	answers []func(con net.Conn, id string)
}

func newRawTarget(t *testing.T, answers ...func(con net.Conn, id string)) *rawTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	tgt := &rawTarget{lis: lis, answers: answers}
	go func() {
		for _, ans := range answers {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go tgt.serve(con, ans)
		}
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go tgt.serve(con, answerDone)
		}
	}()
	return tgt
}

func answerDone(con net.Conn, id string) {
	_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 4\r\n\r\ndone")
}

func (tgt *rawTarget) serve(con net.Conn, ans func(con net.Conn, id string)) {
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		ans(con, req.Header.Get(requestIDHeader))
		ans = answerDone
	}
}

// send sends an idempotent request with an ID and returns the response or its failure.
func (tgt *rawTarget) send(pol *Pool, id string, timeout time.Duration) (*Response, *Error) {
	req, _ := http.NewRequest(http.MethodGet, "http://target/", http.NoBody)
	req.Header.Set(requestIDHeader, id)
	return pol.Send(context.Background(), Call{
		Address: tgt.lis.Addr().String(), Idempotent: true, Timeout: timeout, MaxConnections: 4, CallerRequestID: id,
	}, req)
}

func newMatchingPool() *Pool {
	return New(Settings{
		DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, BodyPrefixBytes: 64 << 10, AllowCloseDelimited: true,
		Names: header.Names{Request: requestIDHeader},
	})
}

// TestLongLateResponseIsNotTakenForTheNextOne has a target send a late response to an earlier request,
// whose body is longer than what is skipped. A text in the rest of that body that reads like a
// response to the present request must not reach its caller.
func TestLongLateResponseIsNotTakenForTheNextOne(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nContent-Length: 6\r\n\r\nforged"
	tgt := newRawTarget(t, func(con net.Conn, _ string) {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2097152\r\n\r\n"+strings.Repeat("x", maxMismatchedBytes)+forged)
	})
	rsp, fail := tgt.send(newMatchingPool(), "two", time.Second)
	if fail == nil {
		t.Fatalf("the caller got %q", rsp.BodyPrefix)
	}
	if fail.Verdict != verdict.MayHaveRun {
		t.Errorf("the verdict is %v, want may-have-run", fail.Verdict)
	}
}
