package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
)

// listener counts the messages that arrive at a VM.
type listener struct {
	mut  sync.Mutex
	pngs int
}

func (lsn *listener) Received(string, any) {
	lsn.mut.Lock()
	defer lsn.mut.Unlock()
	lsn.pngs++
}

func (lsn *listener) PeerGone(string)               {}
func (lsn *listener) State() State                  { return State{} }
func (lsn *listener) Address(string) (string, bool) { return "", false }

func newTransport(t *testing.T, id string) (*Transport, *listener) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lsn := new(listener)
	trn := New(member.VM{ID: id, Address: lis.Addr().String()}, lis, lsn, logrus.New())
	go trn.Serve()
	t.Cleanup(trn.Close)
	return trn, lsn
}

// TestResetConnectionsLoseFewMessages resets the connections between two VMs
// while one sends.
func TestResetConnectionsLoseFewMessages(t *testing.T) {
	one, _ := newTransport(t, "one")
	two, lsn := newTransport(t, "two")
	one.Introduce("two", two.self.Address)
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
	time.Sleep(2 * redialTime)
	lsn.mut.Lock()
	defer lsn.mut.Unlock()
	if lost := messages - lsn.pngs; lost > 10 {
		t.Errorf("%d of %d messages were lost in three resets", lost, messages)
	}
}
