package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
)

// TestAnnouncementSurvivesATruncatedResponse cuts a response after its head. The failure must carry what
// the head announces, unless another target has the address now and speaks of itself.
func TestAnnouncementSurvivesATruncatedResponse(t *testing.T) {
	for _, one := range []struct {
		name, head string
		leaving    bool
	}{
		{"answered", "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\ncut", true},
		{"failed", "HTTP/1.1 503 No\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\n", true},
		{"misdirected", "HTTP/1.1 421 No\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\n", false},
	} {
		t.Run(one.name, func(t *testing.T) {
			lis := listen(t, func(con net.Conn) {
				_, _ = con.Read(make([]byte, connBufferBytes))
				_, _ = io.WriteString(con, one.head)
				_ = con.Close()
			})
			pol := New(Settings{DialTimeout: time.Second, BodyIdleTimeout: time.Second, BodyPrefixBytes: 100, Names: header.Names{Leaving: "Leaving"}})
			req, err := http.NewRequest(http.MethodGet, "http://target/", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			rsp, fail := pol.Send(context.Background(), Call{Address: lis.Addr().String(), Timeout: time.Second, MaxConnections: 4}, req)
			if fail == nil {
				_ = rsp.Body.Close()
				t.Fatal("the response was taken for complete")
			}
			if got := fail.Announcement != nil && fail.Announcement.Leaving; got != one.leaving {
				t.Errorf("announced %+v", fail.Announcement)
			}
		})
	}
}

// TestRequestWithdrawnWhileConnectingIsNotSent withdraws a request while its connection is opened, as
// happens when the target announces meanwhile that it leaves. It must not be sent, and the next request
// must get the connection.
func TestRequestWithdrawnWhileConnectingIsNotSent(t *testing.T) {
	tgt := newScriptedTarget(t)
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second})
	for num, maySend := range []bool{false, true} {
		req, err := http.NewRequest(http.MethodGet, "http://target/answer", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		cal := Call{Address: tgt.lis.Addr().String(), Timeout: time.Second, MaxConnections: 4, MaySend: func() bool { return maySend }}
		rsp, fail := pol.Send(context.Background(), cal, req)
		if fail == nil {
			_ = rsp.Body.Close()
		}
		if withdrawn := fail != nil && fail.Verdict == verdict.NotRun && fail.Outcome == health.Shed; withdrawn == maySend {
			t.Errorf("request %d got %v", num, fail)
		}
	}
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	heads := 0
	for _, cnt := range tgt.heads {
		heads += cnt
	}
	if heads != 1 || tgt.conns != 1 {
		t.Errorf("the target got %d requests on %d connections", heads, tgt.conns)
	}
}
