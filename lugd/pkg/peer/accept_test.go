package peer

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
	"marigoldlug.example/lugd/pkg/budget"
)

// failingListener is a listener whose first calls of Accept fail for lack of file
// descriptors, as happens on a VM with very many callers.
type failingListener struct {
	net.Listener
	// remaining is how many calls of Accept are still to fail.
	remaining atomic.Int32
}

// Accept fails while failures remain.
func (fli *failingListener) Accept() (net.Conn, error) {
	if fli.remaining.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return fli.Listener.Accept()
}

// TestAcceptResumesAfterDescriptorShortage sends to a VM whose listener fails for a while.
// The message must arrive, the failures must be logged only once, and Serve must return
// after Close.
func TestAcceptResumesAfterDescriptorShortage(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fli := &failingListener{Listener: lis}
	fli.remaining.Store(10)
	log, hook := test.NewNullLogger()
	rec := new(recorder)
	to := New(member.VM{ID: "two", Address: lis.Addr().String()}, fli, budget.Unlimited(), rec, log)
	served := make(chan struct{})
	go func() {
		defer close(served)
		to.Serve()
	}()
	t.Cleanup(to.Close)
	from, _ := newRecordedTransport(t, "one", "127.0.0.1:0")
	from.AddAddress("two", to.self.Address)
	from.Send("two", gateway.Ping{})
	if !rec.await(func() bool { return len(rec.msgs) == 1 }) {
		t.Error("the message did not arrive")
	}
	if got := len(hook.AllEntries()); got != 1 {
		t.Errorf("%d lines were logged, want 1", got)
	}
	to.Close()
	<-served
}
