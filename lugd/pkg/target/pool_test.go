package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
)

// scriptedTarget is a target that treats each request as its list of actions says. It counts by
// name the requests whose heads it has read.
type scriptedTarget struct {
	lis net.Listener

	mut     sync.Mutex
	heads   map[string]int
	conns   int
	actions []string
}

func newScriptedTarget(t *testing.T) *scriptedTarget {
	t.Helper()
	tgt := &scriptedTarget{heads: make(map[string]int)}
	tgt.lis = listen(t, func(con net.Conn) {
		tgt.mut.Lock()
		tgt.conns++
		tgt.mut.Unlock()
		tgt.serve(con)
	})
	return tgt
}

// listen returns a listener on loopback until the end of the test. Each connection is served in a
// goroutine of its own.
func listen(t *testing.T, serve func(con net.Conn)) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(con)
		}
	}()
	return lis
}

// next removes and returns the action for the next request; without one it is "answer".
func (tgt *scriptedTarget) next() string {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if len(tgt.actions) == 0 {
		return "answer"
	}
	act := tgt.actions[0]
	tgt.actions = tgt.actions[1:]
	return act
}

func (tgt *scriptedTarget) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for {
		if _, err := src.Peek(1); err != nil {
			return
		}
		act := tgt.next()
		if act == "reset-before-head" {
			reset(con)
			return
		}
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		tgt.mut.Lock()
		tgt.heads[req.Header.Get("Name")]++
		tgt.mut.Unlock()
		if act == "reset-after-head" {
			reset(con)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !tgt.answer(con, act) {
			return
		}
	}
}

// answer carries out an action after a request was read, and reports whether the connection stays
// open.
func (tgt *scriptedTarget) answer(con net.Conn, act string) bool {
	switch act {
	case "answer":
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		return true
	case "answer-then-close":
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	case "cut-length":
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone")
	case "cut-chunks":
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n")
	case "unframed":
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n\r\ndone")
	case "two-answers":
		_, _ = io.WriteString(con, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 2))
		return true
	case "reset-after-body":
		reset(con)
	case "hang":
		time.Sleep(time.Second)
	case "garbage":
		_, _ = io.WriteString(con, "garbage\r\n\r\n")
	}
	return false
}

// reset closes a connection with a TCP reset.
func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

// onlyReader hides the type of a body from net/http, which treats some types specially.
type onlyReader struct{ io.Reader }

// TestExchanges guards against requests that are not idempotent and reach the target twice, verdicts
// of not-run for requests that the target has read, responses that are cut short without notice, and
// connections that are reused although the target has closed them. It runs the scripts in testdata/exchanges:
//   - "target ACTION..." sets how the target treats the next requests.
//   - "send NAME [method=M] [body=TEXT] [key] [idempotent]" sends a request, with key one that has an
//     Idempotency-Key header, and prints its status or its verdict, and how often the target has read
//     its head.
//   - "connections" prints how many connections the target has accepted so far.
func TestExchanges(t *testing.T) {
	datadriven.Walk(t, "testdata/exchanges", func(t *testing.T, path string) {
		tgt := newScriptedTarget(t)
		pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "target":
				for _, arg := range dat.CmdArgs {
					tgt.actions = append(tgt.actions, arg.Key)
				}
				return ""
			case "send":
				return tgt.send(t, pol, dat)
			case "connections":
				// The end of a connection that the target has closed must arrive before the next request.
				time.Sleep(20 * time.Millisecond)
				tgt.mut.Lock()
				defer tgt.mut.Unlock()
				return fmt.Sprintln(tgt.conns)
			}
			t.Fatalf("command %q does not exist", dat.Cmd)
			return ""
		})
	})
}

func (tgt *scriptedTarget) send(t *testing.T, pol *Pool, dat *datadriven.TestData) string {
	t.Helper()
	name := dat.CmdArgs[0].Key
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Host: "target",
		Header: http.Header{"Name": {name}},
	}
	if dat.HasArg("method") {
		dat.ScanArgs(t, "method", &req.Method)
	}
	if dat.HasArg("key") {
		req.Header.Set("Idempotency-Key", name)
	}
	if dat.HasArg("body") {
		var body string
		dat.ScanArgs(t, "body", &body)
		req.Body = io.NopCloser(onlyReader{strings.NewReader(body)})
		req.ContentLength = int64(len(body))
	}
	rsp, fail := pol.Send(context.Background(), Call{
		Address: tgt.lis.Addr().String(), Idempotent: dat.HasArg("idempotent"), Timeout: 300 * time.Millisecond, MaxConnections: 4,
	}, req)
	var out string
	if fail != nil {
		out = "failed: " + fail.Verdict.String()
	} else {
		_, err := io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
		out = fmt.Sprintf("status %d", rsp.StatusCode)
		if err != nil {
			out += ", cut short"
		}
	}
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return fmt.Sprintf("%s, seen %d\n", out, tgt.heads[name])
}

// TestFailedDialIsNotRun sends a request to an address at which nothing listens: the verdict must
// be that it has not run.
func TestFailedDialIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second})
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Header: http.Header{}}
	_, fail := pol.Send(context.Background(), Call{Address: address, Timeout: time.Second, MaxConnections: 1}, req)
	if fail == nil || fail.Verdict.String() != "not-run" {
		t.Errorf("got %v", fail)
	}
}

// TestConnectionsAreBounded checks that a VM opens no more connections to a target than a call
// allows, and that a request that finds none free fails as not run.
func TestConnectionsAreBounded(t *testing.T) {
	tgt := newScriptedTarget(t)
	tgt.actions = []string{"hang"}
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second})
	cal := Call{Address: tgt.lis.Addr().String(), Timeout: 500 * time.Millisecond, MaxConnections: 1}
	get := func() *Error {
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Header: http.Header{}}
		rsp, fail := pol.Send(context.Background(), cal, req)
		if fail == nil {
			_ = rsp.Body.Close()
		}
		return fail
	}
	first := make(chan *Error, 1)
	go func() { first <- get() }()
	for pol.Open()[cal.Address] == 0 {
		time.Sleep(time.Millisecond)
	}
	if fail := get(); fail == nil || fail.Outcome != health.Shed || fail.Verdict != verdict.NotRun {
		t.Errorf("a request beyond the limit got %v", fail)
	}
	if fail := <-first; fail == nil {
		t.Error("a request to a target that hangs got a response")
	}
	if fail := get(); fail != nil {
		t.Errorf("a request after the end of the first one: %v", fail)
	}
}

// TestHeldAnswersKeepTheirConnections closes each response that was buffered completely only after
// the next request has been sent, as happens while a response is relayed to its caller. The
// connection must be reused while the response is held, or each such request would open one more.
func TestHeldAnswersKeepTheirConnections(t *testing.T) {
	tgt := newScriptedTarget(t)
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, BodyPrefixBytes: 1 << 10})
	var previous *Response
	for num := range 5 {
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Host: "target", Header: http.Header{}}
		rsp, fail := pol.Send(context.Background(), Call{Address: tgt.lis.Addr().String(), Timeout: time.Second, MaxConnections: 4}, req)
		if fail != nil {
			t.Fatalf("request %d: %v", num, fail)
		}
		if previous != nil {
			_ = previous.Body.Close()
		}
		previous = rsp
	}
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.conns != 1 {
		t.Errorf("%d connections for five consecutive requests, want 1", tgt.conns)
	}
}

// TestResponsesOfCanceledAttemptsAreDiscarded cancels attempts while the target handles them, as
// happens at the end of a graceful stop: before the head of the response, and in its body. What the
// target sends for them must not be taken for the response to a later request, and a connection that
// is kept must serve later requests.
func TestResponsesOfCanceledAttemptsAreDiscarded(t *testing.T) {
	for _, act := range []string{"hang", "cut-length", "two-answers", "answer-then-close"} {
		t.Run(act, func(t *testing.T) {
			tgt := newScriptedTarget(t)
			pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, BodyPrefixBytes: 1 << 10})
			cal := Call{Address: tgt.lis.Addr().String(), Timeout: time.Second, MaxConnections: 4}
			request := func(name string) *http.Request {
				req, err := http.NewRequest(http.MethodGet, "http://"+cal.Address+"/", http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Name", name)
				return req
			}
			tgt.mut.Lock()
			tgt.actions = []string{act}
			tgt.mut.Unlock()
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(50*time.Millisecond, cancel)
			rsp, fail := pol.Send(ctx, cal, request("ended"))
			if fail != nil && fail.Verdict != verdict.MayHaveRun {
				t.Errorf("the verdict is %v, want may-have-run", fail.Verdict)
			}
			if rsp != nil {
				_ = rsp.Body.Close()
			}
			<-ctx.Done()
			next, fail := pol.Send(t.Context(), cal, request("next"))
			if fail != nil {
				t.Fatal(fail)
			}
			if string(next.BodyPrefix) != "done" {
				t.Errorf("the next request got %q", next.BodyPrefix)
			}
			tgt.mut.Lock()
			defer tgt.mut.Unlock()
			if tgt.heads["ended"] != 1 || tgt.heads["next"] != 1 {
				t.Errorf("the target has seen %v", tgt.heads)
			}
		})
	}
}

// TestTargetsGetTheTimeThatIsLeft connects slowly, as a VM does that is paused between its decision and
// the sending of the request. The target must be given what is left of the time, and a request whose
// time has passed must not be sent at all.
func TestTargetsGetTheTimeThatIsLeft(t *testing.T) {
	const timeout, pause = 500 * time.Millisecond, 200 * time.Millisecond
	given := make(chan string, 2)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { given <- req.Header.Get("Timeout-Ms") })}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lis) }()
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, Names: header.Names{Timeout: "Timeout-Ms", TimeoutUnit: time.Millisecond}})
	dial := pol.dial
	send := func(pause time.Duration) *Error {
		pol.dial = func(_ context.Context, address string) (net.Conn, error) {
			time.Sleep(pause)
			return dial(context.Background(), address)
		}
		req, err := http.NewRequest(http.MethodPost, "http://target/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Timeout-Ms", "500")
		rsp, fail := pol.Send(context.Background(), Call{Address: lis.Addr().String(), Timeout: timeout, MaxConnections: 4}, req)
		if fail == nil {
			_ = rsp.Body.Close()
		}
		return fail
	}
	if fail := send(timeout + pause); fail == nil || fail.Verdict != verdict.NotRun {
		t.Errorf("a request whose time has passed got %v", fail)
	}
	if fail := send(pause); fail != nil {
		t.Fatal(fail)
	}
	left, err := strconv.Atoi(<-given)
	if err != nil || left > int((timeout-pause).Milliseconds()) || left <= 0 {
		t.Errorf("the target was given %d ms of %v, after a pause of %v", left, timeout, pause)
	}
	if len(given) > 0 {
		t.Errorf("the target got another request with %s ms", <-given)
	}
}
