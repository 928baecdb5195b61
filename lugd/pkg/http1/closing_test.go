package http1

import (
	"testing"
	"time"
)

// TestCrowdThatTakesNothingDoesNotHoldConnections has callers that take nothing of their last responses, nor close their
// side. Their connections must end, and what they hold be given back, once they have taken nothing for the write timeout.
func TestCrowdThatTakesNothingDoesNotHoldConnections(t *testing.T) {
	const crowd, timeout = 20, 3 * time.Second
	fix := newFixtureWithTimeout(t, timeout)
	for range crowd {
		fix.connectWithBuffer(t, 8<<10)
		fix.write(t, "GET /kib/90 HTTP/1.1\nHost: h\nConnection: close\n\n")
		con := fix.con
		t.Cleanup(func() { _ = con.Close() })
		fix.con = nil
	}
	for end := time.Now().Add(timeout / 2); fix.fks.sentTo() < crowd && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	time.Sleep(2 * lingerTime)
	if cnt := fix.srv.Connections(); cnt != crowd {
		t.Errorf("%d of %d connections are open while callers have time to take their responses", cnt, crowd)
	}
	for end := time.Now().Add(3 * timeout); fix.srv.Connections() > 0 || fix.srv.memory.Held() > 0 || fix.srv.files.Held() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, %d bytes and %d descriptors held", fix.srv.Connections(), fix.srv.memory.Held(), fix.srv.files.Held())
		}
	}
}

// TestDeliveryStallsOnceNothingIsTaken checks that a caller that takes a little now and then is waited for, and one that takes
// nothing is not, also where more is written meanwhile.
func TestDeliveryStallsOnceNothingIsTaken(t *testing.T) {
	const timeout = 3 * time.Second
	began := time.Now()
	var dlv delivery
	for _, one := range []struct {
		at            time.Duration
		written, left int64
		stalled       bool
	}{
		{0, 100, 100, false},
		{2 * time.Second, 100, 90, false},
		{4 * time.Second, 130, 120, false},
		{5500 * time.Millisecond, 130, 120, true},
		{6 * time.Second, 130, 80, false},
		{10 * time.Second, 130, 0, false},
		{20 * time.Second, 180, 50, false}, // It had nothing to take before.
		{22 * time.Second, 180, 50, false},
		{23500 * time.Millisecond, 180, 50, true},
		{30 * time.Second, 300, 90, false}, // It has taken more than was left.
	} {
		now := began.Add(one.at)
		dlv = dlv.with(one.written, one.left, now)
		if got := dlv.stalled(now, timeout); got != one.stalled {
			t.Errorf("after %v, with %d bytes left: stalled is %v", one.at, one.left, got)
		}
	}
}
