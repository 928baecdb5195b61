package budget

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/memory"
)

// TestWaitersGetWhatOthersGiveBack guards against a share that is refused although a revoked one gives back in time.
func TestWaitersGetWhatOthersGiveBack(t *testing.T) {
	bud := New(memory.Limits{Size: 100 << 10})
	var stalled *Share
	stalled = bud.Open(func() { go stalled.Close() })
	if !stalled.Take(100 << 10) {
		t.Fatal("an empty budget has no room")
	}
	other := bud.Open(func() {})
	if !other.Take(1 << 10) {
		t.Error("the other share got nothing")
	}
	if other.Close(); bud.Held() != 0 {
		t.Errorf("%d bytes are held by nobody", bud.Held())
	}
	if _, revoked := bud.Refused(); revoked != 1 {
		t.Errorf("%d shares were revoked", revoked)
	}
}

// TestRevokedShareIsNotBound guards against a request that is begun although its memory is about to be taken away.
func TestRevokedShareIsNotBound(t *testing.T) {
	bud := New(memory.Limits{Size: 100 << 10})
	stalled := bud.Open(func() {})
	if !stalled.Take(100 << 10) {
		t.Fatal("an empty budget has no room")
	}
	if bud.Open(func() {}).Take(1 << 10) {
		t.Error("there was no room, and nothing was given back")
	}
	if stalled.Bind(1) || stalled.Take(1) {
		t.Error("a revoked share was bound, or got more")
	}
}

// TestFewWait guards against a crowd that waits for what is given back, all of which asks again each time.
func TestFewWait(t *testing.T) {
	bud := New(memory.Limits{Size: 100, Small: 10})
	bound := bud.Open(func() {})
	if !bound.Take(100) || !bound.Bind(100) {
		t.Fatal("an empty budget has no room")
	}
	var wgr sync.WaitGroup
	for range 4 * maxWaiting {
		wgr.Go(func() { bud.Open(func() {}).TakePatiently(1) })
	}
	most := 0
	for end := time.Now().Add(waitTime / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
		bud.mut.Lock()
		most = max(most, bud.waiting)
		bud.mut.Unlock()
	}
	wgr.Wait()
	if refused, _ := bud.Refused(); most != maxWaiting || refused != 4*maxWaiting || bud.waiting != 0 {
		t.Errorf("%d waited, %d were refused, %d wait still", most, refused, bud.waiting)
	}
}

// TestLargeSharesAreCollected guards against memory that is used again before the collector has freed it, and against
// a collector that never runs.
func TestLargeSharesAreCollected(t *testing.T) {
	bud := NewMemory(memory.Limits{Size: 1000, Small: 100})
	run := make(chan struct{})
	bud.collect = func() { <-run }
	small, large := bud.Open(func() {}), bud.Open(func() {})
	if !small.Take(100) || !large.Take(900) {
		t.Fatal("an empty budget has no room")
	}
	small.Close()
	large.Close()
	if got := bud.Held(); got != 900 {
		t.Errorf("%d bytes are held before the collector has run", got)
	}
	close(run)
	if !bud.Open(func() {}).Take(1000) {
		t.Error("the collector has run, but there is no room")
	}
}

// TestConcurrentSharesStayWithinTheBudget guards against races between shares that take, give back and are revoked.
func TestConcurrentSharesStayWithinTheBudget(t *testing.T) {
	bud := NewMemory(memory.Limits{Size: 64 << 10, Reserve: 8 << 10, Small: 2 << 10})
	var wgr sync.WaitGroup
	for num := range 32 {
		wgr.Go(func() {
			for range 50 {
				var shr *Share
				shr = bud.Open(func() { go shr.Close() })
				if shr.Take(int64(num+1)<<8) && shr.Bind(1<<8) {
					shr.GiveBound(1 << 7)
				}
				if held := bud.Held(); held > 64<<10 {
					t.Errorf("%d bytes are held", held)
				}
				shr.Close()
			}
		})
	}
	wgr.Wait()
	for end := time.Now().Add(2 * time.Second); bud.Held() > 64<<10/collectDivisor; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held by nobody", bud.Held())
		}
	}
}

// TestListenerClosesTheConnectionWithTheLeastProgress guards against silent connections that keep out others, and against a
// pinned one that is closed.
func TestListenerClosesTheConnectionWithTheLeastProgress(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	rep := NewReporter()
	files := New(memory.Limits{Size: 2})
	lis := Limit(raw, files, nil, rep, log, "testConnections")
	defer func() { _ = lis.Close() }()
	dial := func() (net.Conn, net.Conn) {
		client, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		server, err := lis.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, server
	}
	_, pinned := dial()
	if !Pin(pinned) {
		t.Fatal("the first connection is not pinned")
	}
	_, silent := dial()
	go func() {
		_, _ = silent.Read(make([]byte, 1)) // It ends once the connection is closed.
		_ = silent.Close()
	}()
	time.Sleep(10 * time.Millisecond) // The silent one must have lost some progress.
	client, last := dial()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := last.Read(make([]byte, 1)); err != nil {
		t.Errorf("the last connection is not served: %v", err)
	}
	if files.Held() != 2 || rep.Counts()["testConnections"] != 1 {
		t.Errorf("%d connections are open, %v were closed", files.Held(), rep.Counts())
	}
	for range 3 {
		rep.Report(log, "testConnections", "x", "again")
	}
	if got := strings.Count(out.String(), "testConnections"); got != 1 {
		t.Errorf("%d lines on one cause within a second", got)
	}
}
