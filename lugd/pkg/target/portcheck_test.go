package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"marigoldlug.example/core/health"
)

// getOnce sends one request and returns its response and failure.
func getOnce(pol *Pool, address string) (*Response, *Error) {
	req := &http.Request{Method: http.MethodGet, Header: http.Header{}, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}}
	return pol.Send(context.Background(), Call{Address: address, Timeout: time.Second, MaxConnections: 4}, req)
}

// exitingTarget returns the address of a target that closes its connections after it has sent answer, and
// its port before, if exits is set.
func exitingTarget(t *testing.T, answer string, exits bool) string {
	var lis net.Listener
	started := make(chan struct{})
	lis = listen(t, func(con net.Conn) {
		<-started
		buf := make([]byte, 1024)
		if _, err := con.Read(buf); err != nil {
			return
		}
		_, _ = io.WriteString(con, answer)
		if exits {
			_ = lis.Close()
		}
		_ = con.Close()
	})
	close(started)
	return lis.Addr().String()
}

func TestFailureTellsWhetherTheProcessOfTheTargetIsGone(t *testing.T) {
	for _, exits := range []bool{true, false} {
		pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 1})
		_, fail := getOnce(pol, exitingTarget(t, "", exits))
		if fail == nil || fail.Outcome != health.Failure || fail.PortClosed != exits {
			t.Errorf("exits %v: got %+v", exits, fail)
		}
	}
}

func TestCutBodyTellsWhetherTheProcessOfTheTargetIsGone(t *testing.T) {
	for _, exits := range []bool{true, false} {
		pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 1, BodyIdleTimeout: time.Second})
		rsp, fail := getOnce(pol, exitingTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", exits))
		if fail != nil {
			t.Fatal(fail)
		}
		_, err := io.Copy(io.Discard, rsp.Rest())
		if got := rsp.PortClosed(); err == nil || got != exits {
			t.Errorf("exits %v: the port is closed: %v, after %v", exits, got, err)
		}
		_ = rsp.Body.Close()
	}
}

func TestPortCheckKeepsToTheLimitOfConnections(t *testing.T) {
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 1})
	address := exitingTarget(t, "", false)
	if _, fail := getOnce(pol, address); fail == nil {
		t.Fatal("the request was answered")
	}
	if got := pol.Open()[address]; got != 1 {
		t.Errorf("%d connections are open after the check, want 1", got)
	}
}
