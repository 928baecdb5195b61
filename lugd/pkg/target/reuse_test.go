package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"marigoldlug.example/core/verdict"
)

// idleTarget is a target that announces for how long it keeps idle connections. It resets a connection
// in place of the response to every request behind the first one while forgetful is set.
type idleTarget struct {
	lis       net.Listener
	announces string
	forgetful atomic.Bool
	conns     atomic.Int64
}

func newIdleTarget(t *testing.T, announces string) *idleTarget {
	t.Helper()
	tgt := &idleTarget{announces: announces}
	tgt.lis = listen(t, func(con net.Conn) {
		tgt.conns.Add(1)
		tgt.serve(con)
	})
	return tgt
}

func (tgt *idleTarget) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	for num := 0; ; num++ {
		if _, err := http.ReadRequest(src); err != nil {
			return
		}
		if num > 0 && tgt.forgetful.Load() {
			reset(con)
			return
		}
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+tgt.announces+"Content-Length: 4\r\n\r\ndone")
	}
}

// send sends a request that is not idempotent.
func (tgt *idleTarget) send(t *testing.T, pol *Pool) *Error {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://target/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	rsp, fail := pol.Send(context.Background(), Call{Address: tgt.lis.Addr().String(), Timeout: time.Second, MaxConnections: 4}, req)
	if fail == nil {
		_, _ = io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
	}
	return fail
}

// age makes the idle connections of a pool older.
func age(pol *Pool, dur time.Duration) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, cons := range pol.idle {
		for _, con := range cons {
			con.lastUsed = con.lastUsed.Add(-dur)
		}
	}
}

func newReusePool() *Pool {
	return New(Settings{DialTimeout: time.Second, IdlePerTarget: 4, BodyIdleTimeout: time.Second})
}

// TestAnnouncedTimeAllowsReuse sends requests that are not idempotent some seconds apart. They must use
// one connection where the target has announced that it keeps idle ones for longer, and else a new one
// each, since the target may be closing the idle one.
func TestAnnouncedTimeAllowsReuse(t *testing.T) {
	for _, one := range []struct {
		announces string
		idle      time.Duration
		conns     int64
	}{
		{"Keep-Alive: timeout=10, max=100\r\n", 4 * time.Second, 1},
		{"Keep-Alive: timeout=10\r\n", 6 * time.Second, 2},
		{"Keep-Alive: timeout=1\r\n", 900 * time.Millisecond, 1},
		{"Keep-Alive: timeout=soon\r\n", 4 * time.Second, 2},
		{"", 4 * time.Second, 2},
		{"", 900 * time.Millisecond, 1},
	} {
		tgt, pol := newIdleTarget(t, one.announces), newReusePool()
		for range 2 {
			if fail := tgt.send(t, pol); fail != nil {
				t.Fatal(fail)
			}
			age(pol, one.idle)
		}
		if got := tgt.conns.Load(); got != one.conns {
			t.Errorf("%q: %d connections for requests %v apart, want %d", one.announces, got, one.idle, one.conns)
		}
	}
}

// TestForgottenConnectionsEndTheTrust has a target reset connections that were idle, against what it has
// announced. One request may be lost for that; those after it must not use connections that were idle
// for so long, also to other targets.
func TestForgottenConnectionsEndTheTrust(t *testing.T) {
	for _, idle := range []time.Duration{3 * time.Second, 400 * time.Millisecond} {
		t.Run(idle.String(), func(t *testing.T) { checkForgotten(t, idle) })
	}
}

func checkForgotten(t *testing.T, idle time.Duration) {
	t.Helper()
	tgt, pol := newIdleTarget(t, "Keep-Alive: timeout=10\r\n"), newReusePool()
	other := newIdleTarget(t, "Keep-Alive: timeout=10\r\n")
	for _, one := range []*idleTarget{tgt, other} {
		if fail := one.send(t, pol); fail != nil {
			t.Fatal(fail)
		}
		one.forgetful.Store(true)
	}
	age(pol, idle)
	if fail := tgt.send(t, pol); fail == nil || fail.Verdict != verdict.MayHaveRun {
		t.Errorf("the request on a forgotten connection got %v", fail)
	}
	for num := range 3 {
		for _, one := range []*idleTarget{tgt, other} {
			if fail := one.send(t, pol); fail != nil {
				t.Errorf("request %d after the first loss: %v", num, fail)
			}
		}
		age(pol, idle)
	}
}
