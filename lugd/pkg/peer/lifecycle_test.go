package peer

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/lugd/pkg/budget"
)

// recorder is a handler that records what arrives at a VM.
type recorder struct {
	mut    sync.Mutex
	msgs   []any
	exited []string
	// successors are the runs that replaced them.
	successors []string
}

// Received records a message.
func (rec *recorder) Received(_ string, msg any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	rec.msgs = append(rec.msgs, msg)
}

// PeerExited records the ID of a VM whose process has exited.
func (rec *recorder) PeerExited(id string, successor member.VM) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	rec.exited = append(rec.exited, id)
	rec.successors = append(rec.successors, successor.ID)
}

func (rec *recorder) State() State                  { return State{} }
func (rec *recorder) Address(string) (string, bool) { return "", false }

// await waits up to 3 s until a condition holds on what has arrived, and reports whether
// it did.
func (rec *recorder) await(holds func() bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		rec.mut.Lock()
		held := holds()
		rec.mut.Unlock()
		if held {
			return true
		}
	}
	return false
}

// newRecordedTransport returns a serving transport, for one process of a VM, that listens
// on an address and hands what arrives to the recorder.
func newRecordedTransport(t *testing.T, id, address string) (*Transport, *recorder) {
	t.Helper()
	lis, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	rec := new(recorder)
	trn := New(member.VM{ID: id, Address: lis.Addr().String()}, lis, budget.Unlimited(), rec, logrus.New())
	go trn.Serve()
	t.Cleanup(trn.Close)
	return trn, rec
}

// TestCloseSendsQueuedMessages closes a transport right after messages were queued, for a
// new connection and for one in use. All of them must arrive, in order.
func TestCloseSendsQueuedMessages(t *testing.T) {
	for _, one := range []struct {
		name string
		cnt  int
		idle time.Duration
	}{
		{"the first message", 1, 0},
		{"many messages", 500, 0},
		{"messages on a connection in use", 100, 50 * time.Millisecond},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			from, _ := newRecordedTransport(t, "one", "127.0.0.1:0")
			to, rec := newRecordedTransport(t, "two", "127.0.0.1:0")
			from.AddAddress("two", to.self.Address)
			want := one.cnt
			if one.idle > 0 {
				from.Send("two", gateway.Ping{})
				time.Sleep(one.idle)
				want++
			}
			for num := range one.cnt {
				from.Send("two", quota.Grant{Organisation: "org", Number: uint64(num)})
			}
			from.Close()
			from.Send("two", gateway.Ping{}) // Must be dropped after Close.
			if !rec.await(func() bool { return len(rec.msgs) == want }) {
				t.Errorf("%d of %d messages arrived", len(rec.msgs), want)
			}
			if !slices.IsSortedFunc(rec.msgs[want-one.cnt:], func(one, two any) int {
				return int(one.(quota.Grant).Number) - int(two.(quota.Grant).Number)
			}) {
				t.Error("the messages are out of order")
			}
		})
	}
}

// TestRestartedVMGetsOnlyItsOwnMessages restarts a VM at its address while messages for
// its previous process are sent. They must not reach the new process, the sender must
// learn that the previous process has exited, and messages for the new one must arrive.
func TestRestartedVMGetsOnlyItsOwnMessages(t *testing.T) {
	from, seen := newRecordedTransport(t, "one.a", "127.0.0.1:0")
	old, _ := newRecordedTransport(t, "two.a", "127.0.0.1:0")
	from.AddAddress("two.a", old.self.Address)
	from.Send("two.a", gateway.Ping{})
	time.Sleep(50 * time.Millisecond)
	old.Close()
	next, rec := newRecordedTransport(t, "two.b", old.self.Address)
	from.AddAddress("two.b", next.self.Address)
	for num := range 50 {
		from.Send("two.a", quota.Grant{Organisation: "org", Number: uint64(num)})
		from.Send("two.b", gateway.Pong{})
		time.Sleep(10 * time.Millisecond)
	}
	if !seen.await(func() bool { return slices.Contains(seen.exited, "two.a") && slices.Contains(seen.successors, "two.b") }) {
		t.Error("the sender did not learn that the previous process has exited, and which one has replaced it")
	}
	if !rec.await(func() bool { return len(rec.msgs) == 50 }) {
		t.Errorf("%d of 50 messages for the new process arrived", len(rec.msgs))
	}
	rec.mut.Lock()
	defer rec.mut.Unlock()
	for _, msg := range rec.msgs {
		if _, pong := msg.(gateway.Pong); !pong {
			t.Errorf("the new process got %+v", msg)
		}
	}
}

// TestNothingArrivesAfterClose sends to a VM that closes its transport. The handler must
// get no message after Close has returned.
func TestNothingArrivesAfterClose(t *testing.T) {
	from, _ := newRecordedTransport(t, "one", "127.0.0.1:0")
	to, rec := newRecordedTransport(t, "two", "127.0.0.1:0")
	from.AddAddress("two", to.self.Address)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			from.Send("two", gateway.Ping{})
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(20 * time.Millisecond)
	to.Close()
	rec.mut.Lock()
	arrived := len(rec.msgs)
	rec.mut.Unlock()
	<-done
	rec.mut.Lock()
	defer rec.mut.Unlock()
	if len(rec.msgs) != arrived {
		t.Errorf("%d messages were delivered after the transport was closed", len(rec.msgs)-arrived)
	}
}
