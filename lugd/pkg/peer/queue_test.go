package peer

import (
	"net"
	"testing"
	"time"

	"marigoldlug.example/core/gateway"
)

// TestResetConnectionsLoseFewMessages resets the connections from one VM to another three
// times while messages are sent. At most 10 of 300 may be lost.
func TestResetConnectionsLoseFewMessages(t *testing.T) {
	one, _ := newRecordedTransport(t, "one", "127.0.0.1:0")
	two, rec := newRecordedTransport(t, "two", "127.0.0.1:0")
	one.AddAddress("two", two.self.Address)
	const messages = 300
	for num := range messages {
		one.Send("two", gateway.Ping{})
		time.Sleep(5 * time.Millisecond)
		if num%100 != 99 {
			continue
		}
		two.mut.Lock()
		for con := range two.inbound {
			if tcp, ok := con.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = con.Close()
		}
		two.mut.Unlock()
	}
	time.Sleep(2 * redialDelay)
	rec.mut.Lock()
	defer rec.mut.Unlock()
	if lost := messages - len(rec.msgs); lost > 10 {
		t.Errorf("%d of %d messages were lost in three resets", lost, messages)
	}
}
