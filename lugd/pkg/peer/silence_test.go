package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/lugd/pkg/budget"
)

// responder is a handler that answers pings and counts what arrives.
type responder struct {
	trn          *Transport
	pings, pongs atomic.Int64
}

func (res *responder) Received(from string, msg any) {
	switch msg.(type) {
	case gateway.Ping:
		res.pings.Add(1)
		res.trn.Send(from, gateway.Pong{})
	case gateway.Pong:
		res.pongs.Add(1)
	}
}

func (*responder) PeerExited(string, member.VM)  {}
func (*responder) State() State                  { return State{} }
func (*responder) Address(string) (string, bool) { return "", false }

// swallower forwards connections to a VM. Once silenced, the connections that are open then go on to
// acknowledge what their clients send and forward nothing of it; later ones work.
type swallower struct {
	lis    net.Listener
	server string

	mut      sync.Mutex
	silenced []*atomic.Bool
}

func newSwallower(t *testing.T, server string) *swallower {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	swa := &swallower{lis: lis, server: server}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			silent := new(atomic.Bool)
			swa.mut.Lock()
			swa.silenced = append(swa.silenced, silent)
			swa.mut.Unlock()
			go swa.forward(con, silent)
		}
	}()
	return swa
}

func (swa *swallower) forward(client net.Conn, silent *atomic.Bool) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", swa.server)
	if err != nil {
		return
	}
	// The connection to the server stays open, as it does when a network drops the end of one.
	go func() { _, _ = io.Copy(client, server) }()
	buf := make([]byte, 4<<10)
	for {
		cnt, err := client.Read(buf)
		if !silent.Load() {
			_, _ = server.Write(buf[:cnt])
		}
		if err != nil {
			return
		}
	}
}

func (swa *swallower) silence() {
	swa.mut.Lock()
	defer swa.mut.Unlock()
	for _, one := range swa.silenced {
		one.Store(true)
	}
}

// newResponder returns a serving transport with a responder and the proxy in front of it.
func newResponder(t *testing.T, id string) (*Transport, *responder, *swallower) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	swa := newSwallower(t, lis.Addr().String())
	res := new(responder)
	res.trn = New(member.VM{ID: id, Address: swa.lis.Addr().String()}, lis, budget.Unlimited(), res, logrus.New())
	go res.trn.Serve()
	t.Cleanup(res.trn.Close)
	return res.trn, res, swa
}

// TestSilentConnectionsAreReplaced silences the open connection from one VM to another, or the one by
// which that answers, so that what is sent is acknowledged and lost for good. While the first VM goes
// on to ask, the two must hear of each other again.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for _, one := range []struct {
		name    string
		towards string
		// reports is set if the other VM goes on to send messages that answer nothing.
		reports bool
	}{{"queries are lost", "two", false}, {"answers are lost", "one", false}, {"both are lost", "both", false}, {"queries are lost beside reports", "two", true}} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			from, asks, ownProxy := newResponder(t, "one")
			to, _, otherProxy := newResponder(t, "two")
			from.AddAddress("two", to.self.Address)
			stop := make(chan struct{})
			var wgr sync.WaitGroup
			wgr.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
						from.Send("two", gateway.Ping{})
						if one.reports {
							to.Send("one", placement.Ended{})
						}
					}
				}
			})
			defer wgr.Wait()
			defer close(stop)
			await(t, "the first answer", func() bool { return asks.pongs.Load() > 0 })
			if one.towards != "one" {
				otherProxy.silence()
			}
			if one.towards != "two" {
				ownProxy.silence()
			}
			time.Sleep(100 * time.Millisecond)
			before := asks.pongs.Load()
			await(t, "an answer after the silence", func() bool { return asks.pongs.Load() > before+5 })
		})
	}
}

// await waits for a condition.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * silenceTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s did not come within %v", what, 3*silenceTimeout)
			return
		}
	}
}

// TestRenewalsLoseNoMessages asks again and again for the connection to a VM to be replaced while messages
// are sent over it, as two VMs may do by turns when each sees the other's new connection before the end of
// the old one. All messages must arrive.
func TestRenewalsLoseNoMessages(t *testing.T) {
	const cnt = 400
	from, _ := newRecordedTransport(t, "one", "127.0.0.1:0")
	to, rec := newRecordedTransport(t, "two", "127.0.0.1:0")
	from.AddAddress("two", to.self.Address)
	for num := range cnt {
		from.Send("two", gateway.Ping{})
		from.mut.Lock()
		if que := from.sendQueues["two"]; que != nil && num%20 == 19 {
			que.requestRenewal()
		}
		from.mut.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	if !rec.await(func() bool { return len(rec.msgs) == cnt }) {
		t.Errorf("%d of %d messages arrived", len(rec.msgs), cnt)
	}
}
