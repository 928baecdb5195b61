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
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
)

// TestStatusLines runs the scripts in testdata/statuslines. Each line of "send" is the quoted start of a response, after which the
// target sends the rest of a head without a body and keeps the connection open; "forwarded" has another VM send that. Both print what
// becomes of the attempt. The scripts guard against callers that get a response that is none, against attempts that wait for the
// response after one that is taken for interim, and against connections that are used again after it.
func TestStatusLines(t *testing.T) {
	datadriven.Walk(t, "testdata/statuslines", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(dat.Input, "\n") {
				start, err := strconv.Unquote(line)
				if err != nil {
					t.Fatalf("%s: %v", line, err)
				}
				fmt.Fprintf(&out, "%s: %s\n", line, sendForStatus(t, start, dat.Cmd == "forwarded"))
			}
			return out.String()
		})
	})
}

// sendForStatus sends two requests to a target, of which the first gets a response that begins with start, and returns what
// becomes of it.
func sendForStatus(t *testing.T, start string, forwarded bool) string {
	t.Helper()
	var conns, answers atomic.Int32
	lis := listen(t, func(con net.Conn) {
		conns.Add(1)
		src := bufio.NewReader(con)
		for {
			if _, err := http.ReadRequest(src); err != nil {
				return
			}
			head := "HTTP/1.1 200 OK"
			if answers.Add(1) == 1 {
				head = start
			}
			_, _ = io.WriteString(con, head+"\r\nLugd-Result: answered\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, BodyPrefixBytes: 1 << 10})
	pol.SetForwarding(func(ctx context.Context, _ member.VM) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", lis.Addr().String())
	})
	cal := Call{Address: lis.Addr().String(), Timeout: 200 * time.Millisecond, MaxConnections: 4}
	if forwarded {
		cal.Forwarding = &gateway.Forwarding{VM: member.VM{ID: "vm.1", Address: "127.0.0.1:1"}, Run: health.Run{Target: "t"}}
	}
	get := func() (*Response, *Error) {
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Host: "target", Header: http.Header{}}
		rsp, fail := pol.Send(context.Background(), cal, req)
		if fail == nil {
			_ = rsp.Body.Close()
		}
		return rsp, fail
	}
	rsp, fail := get()
	if fail == nil {
		return fmt.Sprintf("status %d", rsp.StatusCode)
	}
	out := fmt.Sprintf("%v, %v", fail.Verdict, fail.Outcome)
	if rsp, fail := get(); fail != nil || rsp.StatusCode != http.StatusOK || conns.Load() != 2 {
		out += ", connection used again"
	}
	return out
}
