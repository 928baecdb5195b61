package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marigoldlug.example/core/verdict"
)

// TestResponseWhoseHeadIsCutIsNotPassedOn has a target stop at each byte of the head of its response and
// close or reset the connection, which is fresh or carries its second request. The attempt must fail as one
// that may have run.
func TestResponseWhoseHeadIsCutIsNotPassedOn(t *testing.T) {
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 10\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nDate: now\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"empty":            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: %s\r\n\r\n",
		"bare newlines":    "HTTP/1.1 200 OK\nRequest-Id: %s\nContent-Length: 0\n\n",
		"after interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n",
		"refusal":          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
	}
	for name, format := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := fmt.Sprintf(format, "two")
			for cut := range len(head) {
				for _, end := range []func(net.Conn){reset, func(con net.Conn) { _ = con.Close() }} {
					checkCutHead(t, head[:cut], end)
				}
			}
		})
	}
}

func checkCutHead(t *testing.T, part string, end func(net.Conn)) {
	t.Helper()
	cut := func(con net.Conn, _ string) {
		_, _ = io.WriteString(con, part)
		end(con)
	}
	pol := newMatchingPool()
	pol.set.Names.NotRun = "Not-Run"
	fresh, kept := newRawTarget(t, cut), newRawTarget(t, func(con net.Conn, id string) {
		answerDone(con, id)
		if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
			cut(con, "")
		}
	})
	if _, fail := kept.send(pol, "one", time.Second); fail != nil {
		t.Fatal(fail)
	}
	for _, tgt := range []*rawTarget{fresh, kept} {
		rsp, fail := tgt.send(pol, "two", time.Second)
		switch {
		case fail == nil:
			t.Errorf("after %q the caller got %+v", part, rsp.Response)
		case fail.Verdict != verdict.MayHaveRun:
			t.Errorf("after %q the verdict is %v, want may-have-run", part, fail.Verdict)
		}
		_ = tgt.lis.Close()
	}
}
