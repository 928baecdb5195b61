package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
)

// refusalTo returns a refusal to run the request with an ID; without the header if the ID is empty.
func refusalTo(id string) string {
	line := ""
	if id != "" {
		line = "Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + line + "Content-Length: 0\r\n\r\n"
}

// TestRepeatedRefusalIsNotTakenForOne has a target refuse a request and write that refusal once more when
// the next request arrives on the connection, which it runs. That request must not count as refused, also
// if its caller gave it the same ID or none.
func TestRepeatedRefusalIsNotTakenForOne(t *testing.T) {
	for _, one := range []struct{ name, first, second, answers string }{
		{"another ID", "one", "two", "two"},
		{"same ID", "one", "one", "one"},
		{"no ID", "", "", ""},
		{"no ID behind one", "one", "", ""},
		{"one behind no ID", "", "two", "two"},
		{"no response follows", "one", "two", "nothing"},
	} {
		t.Run(one.name, func(t *testing.T) {
			repeat := func(con net.Conn, _ string) {
				_, _ = io.WriteString(con, refusalTo(one.first))
				if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
					return
				}
				_, _ = io.WriteString(con, refusalTo(one.first))
				if one.answers != "nothing" {
					answerDone(con, one.answers)
				}
			}
			tgt := newRawTarget(t, repeat, answerDone)
			pol := New(Settings{
				DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second, BodyPrefixBytes: 1 << 10,
				Names: header.Names{Request: requestIDHeader, NotRun: "Not-Run"},
			})
			if rsp, fail := tgt.send(pol, one.first, time.Second); fail != nil || rsp.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("the first request got %+v, %v", rsp, fail)
			}
			rsp, fail := tgt.send(pol, one.second, 300*time.Millisecond)
			if fail == nil && rsp.StatusCode != http.StatusOK || fail != nil && fail.Verdict != verdict.MayHaveRun {
				t.Errorf("the second request got %+v, %v", rsp, fail)
			}
			if got := strings.Contains(one.answers, "nothing"); fail == nil && got {
				t.Errorf("the second request got %+v without a response", rsp)
			}
		})
	}
}
