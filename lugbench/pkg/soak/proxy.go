package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wire is how a proxy treats the connections through it.
type wire struct {
	// delay holds every piece back.
	delay time.Duration
	// mute keeps pieces to the server, or to the client, for good.
	muteUp, muteDown bool
	// reset ends connections, present and new ones.
	reset bool
}

// proxy stands between a client and a server on loopback. It is safe for
// concurrent use.
type proxy struct {
	lis    net.Listener
	server string
	wire   atomic.Pointer[wire]
	// conns has the open connections as keys.
	conns sync.Map
}

// newProxy returns a proxy that accepts connections until ctx ends.
func newProxy(ctx context.Context, server string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &proxy{lis: lis, server: server}
	prx.wire.Store(&wire{})
	context.AfterFunc(ctx, func() { _ = lis.Close() })
	go prx.run()
	return prx, nil
}

func (prx *proxy) address() string { return prx.lis.Addr().String() }

// set changes how connections are treated.
func (prx *proxy) set(wir wire) {
	prx.wire.Store(&wir)
	if wir.reset {
		prx.conns.Range(func(con, _ any) bool {
			reset(con.(net.Conn))
			return true
		})
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

func (prx *proxy) run() {
	for {
		con, err := prx.lis.Accept()
		if err != nil {
			return
		}
		go prx.serve(con)
	}
}

func (prx *proxy) serve(client net.Conn) {
	if prx.wire.Load().reset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", prx.server, time.Second)
	if err != nil {
		reset(client)
		return
	}
	for _, con := range []net.Conn{client, server} {
		prx.conns.Store(con, nil)
		defer func() {
			prx.conns.Delete(con)
			_ = con.Close()
		}()
	}
	var wgr sync.WaitGroup
	wgr.Go(func() { prx.pass(client, server, func(wir wire) bool { return wir.muteUp }) })
	wgr.Go(func() { prx.pass(server, client, func(wir wire) bool { return wir.muteDown }) })
	wgr.Wait()
}

// pass carries bytes one way until an end closes. What is muted is lost, and the
// connection stays open and silent.
func (prx *proxy) pass(src, dst net.Conn, muted func(wir wire) bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		cnt, err := src.Read(buf)
		wir := *prx.wire.Load()
		lost = lost || muted(wir)
		if cnt > 0 && !lost {
			time.Sleep(wir.delay)
			if _, werr := dst.Write(buf[:cnt]); werr != nil {
				reset(src)
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !lost {
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			reset(dst)
			return
		}
	}
}
