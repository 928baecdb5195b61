package socket

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// smallBuffer is the receive buffer of the other end, in bytes.
const smallBuffer = 8 << 10

// connect returns both ends of a connection; theirs has a small receive buffer.
func connect(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	dlr := net.Dialer{Control: ReceiveBuffer(smallBuffer)}
	opened, err := dlr.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = opened.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), opened.(*net.TCPConn)
}

// dropSegments makes the kernel drop all segments that arrive at a connection, as if its machine were gone.
func dropSegments(t *testing.T, con *net.TCPConn) {
	t.Helper()
	control(con, func(fd int) {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]}); err != nil {
			t.Skipf("the kernel takes no filter: %v", err)
		}
	})
}

// watch watches a connection with a timeout and writes bytes to it. The result tells whether its other end counts as silent.
func watch(t *testing.T, con net.Conn, timeout time.Duration, bytes int) *atomic.Bool {
	t.Helper()
	silent := new(atomic.Bool)
	wtd := NewWatcher(timeout).Add(con, func() { silent.Store(true) })
	t.Cleanup(wtd.Close)
	wtd.Sent(0)
	cnt, err := con.Write(make([]byte, bytes))
	if err != nil {
		t.Fatal(err)
	}
	wtd.Sent(cnt)
	return silent
}

// TestEndThatReadsNothingIsNotSilent guards against closing the connection to an end that is slow: one that reads nothing for
// several times the timeout, and goes on then.
func TestEndThatReadsNothingIsNotSilent(t *testing.T) {
	const timeout, bytes = 400 * time.Millisecond, 100_000
	ours, theirs := connect(t)
	silent := watch(t, ours, timeout, bytes)
	for range 3 {
		time.Sleep(3 * timeout)
		if left, known := Unacknowledged(ours); !known || left == 0 {
			t.Fatalf("%d bytes are unacknowledged, %v", left, known)
		}
		if _, err := io.CopyN(io.Discard, theirs, bytes/4); err != nil {
			t.Fatal(err)
		}
	}
	if silent.Load() {
		t.Error("an end that reads nothing counts as silent")
	}
}

// TestEndThatIsGoneIsSilent guards against connections to machines that are gone which stay open: before anything arrives there, and
// while the other end has read nothing.
func TestEndThatIsGoneIsSilent(t *testing.T) {
	const timeout = 600 * time.Millisecond
	for _, one := range []struct {
		name   string
		closed bool
	}{{"at once", false}, {"while it reads nothing", true}} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			ours, theirs := connect(t)
			if one.closed {
				if _, err := ours.Write(make([]byte, 100_000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			dropSegments(t, theirs)
			silent := watch(t, ours, timeout, 1000)
			time.Sleep(timeout / 2)
			if silent.Load() {
				t.Error("the other end counts as silent too early")
			}
			// Probes of a closed window come ever later; the next one is sent within 2 s.
			for end := time.Now().Add(timeout + 5*time.Second); !silent.Load(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("an end that is gone does not count as silent")
				}
			}
		})
	}
}

// TestWatchEndsOnceEverythingIsAcknowledged checks that a connection is not looked at for ever.
func TestWatchEndsOnceEverythingIsAcknowledged(t *testing.T) {
	ours, _ := connect(t)
	wch := NewWatcher(400 * time.Millisecond)
	wtd := wch.Add(ours, func() { t.Error("silent") })
	if _, err := ours.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	wtd.Sent(1)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		wch.mut.Lock()
		running := wch.running
		wch.mut.Unlock()
		if !running {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the connection is still watched")
		}
	}
}
