package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

// linkFaults are the faults that a proxy injects into the connections through it. The
// report prints the fields by name.
type linkFaults struct {
	// delay delays every chunk of data.
	delay time.Duration
	// muteUp drops data to the server, and muteDown data to the client. A direction of a
	// connection that has lost data forwards nothing any more, also when the fault is
	// removed.
	muteUp, muteDown bool
	// reset resets open connections and new ones.
	reset bool
}

// proxy forwards TCP connections to a server on loopback. It is safe for concurrent
// use.
type proxy struct {
	server string
	// listenAddress is where the proxy listens, also after it was closed and opened again.
	listenAddress string
	mut           sync.Mutex
	// lis is nil while the proxy is closed.
	lis        net.Listener
	linkFaults atomic.Pointer[linkFaults]
	// faulty records when there were faults.
	faulty spans
	// conns has the open connections as keys.
	conns sync.Map
}

// newProxy returns a proxy that accepts connections until ctx is done.
func newProxy(ctx context.Context, server string) (*proxy, error) {
	prx := &proxy{server: server}
	prx.linkFaults.Store(&linkFaults{})
	if err := prx.open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, prx.close)
	return prx, nil
}

// open begins to accept connections.
func (prx *proxy) open(address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.lis, prx.listenAddress = lis, lis.Addr().String()
	go prx.run(lis)
	return nil
}

// close closes the port and all connections, as the exit of a process does.
func (prx *proxy) close() {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if prx.lis == nil {
		return
	}
	_ = prx.lis.Close()
	prx.lis = nil
	prx.conns.Range(func(con, _ any) bool {
		_ = con.(net.Conn).Close()
		return true
	})
}

func (prx *proxy) address() string { return prx.listenAddress }

// setFaults replaces the faults.
func (prx *proxy) setFaults(fls linkFaults) {
	prx.linkFaults.Store(&fls)
	prx.faulty.set(fls != linkFaults{})
	if fls.reset {
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

func (prx *proxy) run(lis net.Listener) {
	for {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		go prx.serve(con)
	}
}

func (prx *proxy) serve(client net.Conn) {
	if prx.linkFaults.Load().reset {
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
	wgr.Go(func() { prx.forward(client, server, func(fls linkFaults) bool { return fls.muteUp }) })
	wgr.Go(func() { prx.forward(server, client, func(fls linkFaults) bool { return fls.muteDown }) })
	wgr.Wait()
}

// forward copies data one way until one side closes. Once drops has returned true, it
// drops everything and leaves the connection open.
func (prx *proxy) forward(src, dst net.Conn, drops func(fls linkFaults) bool) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		cnt, err := src.Read(buf)
		fls := *prx.linkFaults.Load()
		dropped = dropped || drops(fls)
		if cnt > 0 && !dropped {
			time.Sleep(fls.delay)
			if _, werr := dst.Write(buf[:cnt]); werr != nil {
				reset(src)
				return
			}
		}
		if err != nil {
			// The error of a reset may have gone to the goroutine that writes to src; reading sees a plain end then.
			if errors.Is(err, io.EOF) && !dropped && socket.EndOf(src) != socket.EndClosed {
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
