package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
