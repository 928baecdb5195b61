package soak

import (
	"errors"
	"io"
	"net"
	"sync"
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

	mut   sync.Mutex
	wire  wire
	conns map[net.Conn]struct{}
}

func newProxy(server string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &proxy{lis: lis, server: server, conns: make(map[net.Conn]struct{})}
	go prx.run()
	return prx, nil
}

func (prx *proxy) address() string { return prx.lis.Addr().String() }

func (prx *proxy) close() { _ = prx.lis.Close() }

// set changes how connections are treated.
func (prx *proxy) set(wir wire) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.wire = wir
	if wir.reset {
		for con := range prx.conns {
			reset(con)
		}
	}
}

func (prx *proxy) now() wire {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	return prx.wire
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
	if prx.now().reset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", prx.server, time.Second)
	if err != nil {
		reset(client)
		return
	}
	prx.keep(client, server)
	var wgr sync.WaitGroup
	wgr.Go(func() { prx.pass(client, server, func(wir wire) bool { return wir.muteUp }) })
	wgr.Go(func() { prx.pass(server, client, func(wir wire) bool { return wir.muteDown }) })
	wgr.Wait()
	prx.drop(client, server)
}

func (prx *proxy) keep(cons ...net.Conn) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	for _, con := range cons {
		prx.conns[con] = struct{}{}
	}
}

func (prx *proxy) drop(cons ...net.Conn) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	for _, con := range cons {
		delete(prx.conns, con)
		_ = con.Close()
	}
}

// pass carries bytes one way until an end closes. What is muted is lost, and the
// connection stays open and silent.
func (prx *proxy) pass(src, dst net.Conn, muted func(wir wire) bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		cnt, err := src.Read(buf)
		wir := prx.now()
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
