package playground

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// downTime is how long a target that has crashed is away.
const downTime = 1500 * time.Millisecond

// targetServer serves a target, and lets it crash: its port and its connections are closed at once, and it
// is served again at the same address after a while, as another run.
type targetServer struct {
	target *targetfake.Target

	mut sync.Mutex
	// server is nil while the target is down, and address where it listens.
	server  *http.Server
	address string
	closed  bool
}

// start begins to serve the target and returns its address.
func (srv *targetServer) start(address string) (string, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.closed {
		return "", lis.Close()
	}
	ser := &http.Server{Handler: srv.target, ReadHeaderTimeout: time.Second}
	srv.server, srv.address = ser, lis.Addr().String()
	go func() { _ = ser.Serve(lis) }() // Serve always returns an error, http.ErrServerClosed after Close.
	return srv.address, nil
}

// stop closes the port and the connections of the target.
func (srv *targetServer) stop() {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.server != nil {
		_ = srv.server.Close()
		srv.server = nil
	}
}

// close stops the target for good.
func (srv *targetServer) close() {
	srv.mut.Lock()
	srv.closed = true
	srv.mut.Unlock()
	srv.stop()
}

// crash stops the target, and starts it again after downTime. register writes the registry entry of the
// new run.
func (srv *targetServer) crash(register func() error, log io.Writer) {
	srv.stop()
	time.AfterFunc(downTime, func() {
		srv.target.Restart()
		_, err := srv.start(srv.address)
		if err == nil {
			err = register()
		}
		if err != nil {
			_, _ = fmt.Fprintf(log, "the target %s cannot start again: %v\n", srv.target.ID(), err)
		}
	})
}
