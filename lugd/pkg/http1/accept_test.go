package http1

import (
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// failingListener is a listener whose Accept fails a number of times for want of file descriptors.
type failingListener struct {
	net.Listener
	// remaining is how many calls of Accept are still to fail.
	remaining atomic.Int32
}

// Accept fails while failures remain.
func (fls *failingListener) Accept() (net.Conn, error) {
	if fls.remaining.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return fls.Listener.Accept()
}

// TestAcceptFailuresAreLoggedOncePerSeries lets a server fail to accept connections twenty times,
// five of them between two successes, as happens close to the limit of file descriptors. The server
// must log one series: its first failure and the number of failures.
func TestAcceptFailuresAreLoggedOncePerSeries(t *testing.T) {
	fix := newFixture(t)
	log, hook := test.NewNullLogger()
	srv := New(fix.srv.Settings(), budgets(), names(), fix.fks, fix.fks, fix.fks, log)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = fix.lis.Close()
	fix.lis = lis
	fls := &failingListener{Listener: lis}
	served := make(chan error, 1)
	fls.remaining.Store(15)
	go func() { served <- srv.Serve(fls) }()
	ask := func() {
		fix.connect(t)
		fix.write(t, nextRequest)
		if got := fix.read(1); got != "200 \"answer to /x\"\n" {
			t.Errorf("got %q", got)
		}
	}
	ask()
	fls.remaining.Store(5)
	ask() // This is accepted by the call of Accept that was already waiting.
	ask()
	time.Sleep(acceptQuietTime + 100*time.Millisecond)
	ask()
	ask()
	_ = lis.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	var got []string
	for _, ent := range hook.AllEntries() {
		if strings.Contains(ent.Message, "accept") {
			got = append(got, ent.Message)
			if cnt, found := ent.Data["failures"]; found && cnt != 20 {
				t.Errorf("%v failures were counted, want 20", cnt)
			}
		}
	}
	if want := []string{"cannot accept callers; retrying", "accepting callers again"}; !slices.Equal(got, want) {
		t.Errorf("logged %q, want %q", got, want)
	}
}
