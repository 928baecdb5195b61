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
)

// recorder keeps what arrives at a VM.
type recorder struct {
	mut    sync.Mutex
	msgs   []any
	exited []string
}

// Received keeps a message.
func (rec *recorder) Received(_ string, msg any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	rec.msgs = append(rec.msgs, msg)
}

// PeerGone keeps the ID of a VM that has ended.
func (rec *recorder) PeerGone(id string) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	rec.exited = append(rec.exited, id)
}

func (rec *recorder) State() State                  { return State{} }
func (rec *recorder) Address(string) (string, bool) { return "", false }

// await waits until a condition on what has arrived holds, and reports whether it
// did.
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

// newRecordedTransport returns the transport of one run of a VM, at an address or at any.
func newRecordedTransport(t *testing.T, id, address string) (*Transport, *recorder) {
	t.Helper()
	lis, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	rec := new(recorder)
	trn := New(member.VM{ID: id, Address: lis.Addr().String()}, lis, rec, logrus.New())
	go trn.Serve()
	t.Cleanup(trn.Close)
	return trn, rec
}

// TestCloseSendsQueuedMessages closes the transport of a VM in its last moments: just
// after its first message, and while it sends many.
func TestCloseSendsQueuedMessages(t *testing.T) {
	for _, one := range []struct {
		name string
		cnt  int
		idle time.Duration
	}{
		{"the first message", 1, 0},
		{"many messages", 500, 0},
		{"messages on a link that was used before", 100, 50 * time.Millisecond},
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
			from.Send("two", gateway.Ping{}) // Too late, and harmless.
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

// TestRestartedVMGetsOnlyItsOwnMessages restarts a VM at its address while messages
// for its earlier run are queued. They do not reach the new run, the sender learns
// that the earlier one has ended, and messages for the new run arrive.
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
	if !seen.await(func() bool { return slices.Contains(seen.exited, "two.a") }) {
		t.Error("the sender does not learn that the earlier run has ended")
	}
	if !rec.await(func() bool { return len(rec.msgs) == 50 }) {
		t.Errorf("%d of 50 messages for the new run arrived", len(rec.msgs))
	}
	rec.mut.Lock()
	defer rec.mut.Unlock()
	for _, msg := range rec.msgs {
		if _, meant := msg.(gateway.Pong); !meant {
			t.Errorf("the new run got %+v", msg)
		}
	}
}

// TestNothingArrivesAfterClose sends to a VM that closes its transport.
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
