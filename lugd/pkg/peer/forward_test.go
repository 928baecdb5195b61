package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
)

// echo is a forwarder that returns what it gets.
type echo struct{ accepting bool }

func (ech echo) Accepting() bool { return ech.accepting }

func (ech echo) Serve(con net.Conn) {
	_, _ = io.Copy(con, con)
	_ = con.Close()
}

// TestConnectionForForwardingReachesTheVMThatWasMeant opens such connections to a VM, to another one at its
// address, to one that takes none and to one that does not know them.
func TestConnectionForForwardingReachesTheVMThatWasMeant(t *testing.T) {
	from, _ := newRecordedTransport(t, "vm-1.a", "127.0.0.1:0")
	for _, one := range []struct {
		name, to  string
		forwarder forwarder
		want      bool
	}{
		{"meant", "vm-2.b", echo{accepting: true}, true},
		{"another one", "vm-2.c", echo{accepting: true}, false},
		{"stopping", "vm-2.b", echo{}, false},
		{"earlier version", "vm-2.b", nil, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			trn, rec := newRecordedTransport(t, "vm-2.b", "127.0.0.1:0")
			trn.forwarder = one.forwarder
			vmm := member.VM{ID: one.to, Address: trn.listener.Addr().String()}
			con, err := from.DialForwarding(context.Background(), vmm)
			if (err == nil) != one.want {
				t.Fatalf("got %v", err)
			}
			if err != nil {
				return
			}
			defer func() { _ = con.Close() }()
			if _, err := io.WriteString(con, "hello"); err != nil {
				t.Fatal(err)
			}
			buf := make([]byte, 5)
			if _, err := io.ReadFull(con, buf); err != nil || string(buf) != "hello" {
				t.Errorf("got %q, %v", buf, err)
			}
			// Messages go on beside it.
			from.AddAddress("vm-2.b", vmm.Address)
			from.Send("vm-2.b", gateway.Ping{})
			if !rec.await(func() bool { return len(rec.msgs) == 1 }) {
				t.Error("a message did not arrive")
			}
		})
	}
}

// TestSilentVMHoldsNoConnectionForForwarding has a VM accept a connection and say nothing.
func TestSilentVMHoldsNoConnectionForForwarding(t *testing.T) {
	from, _ := newRecordedTransport(t, "vm-1.a", "127.0.0.1:0")
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	began := time.Now()
	if _, err := from.DialForwarding(context.Background(), member.VM{ID: "vm-2.b", Address: lis.Addr().String()}); err == nil {
		t.Error("a silent VM was taken for one that forwards")
	}
	if took := time.Since(began); took > 2*dialTimeout {
		t.Errorf("took %v", took)
	}
}
