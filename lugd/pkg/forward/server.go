// Package forward sends requests on to targets for VMs that reach none themselves. Such a VM keeps the
// caller, the key, the rate and the decisions on its request; the one that forwards makes a single attempt.
package forward

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/socket"
	"marigoldlug.example/lugd/pkg/target"
)

const (
	// maxForwarded is the greatest number of requests that are forwarded at a time: the callers of this VM
	// come first.
	maxForwarded = 128
	// copyBufferBytes is the size of the buffer for the rest of a long response, in bytes.
	copyBufferBytes = 16 << 10
	// headTimeout bounds the time from the first byte of a request to the end of its head.
	headTimeout = 2 * time.Second
	// idleTimeout is how long a connection without requests is kept open.
	idleTimeout = time.Minute
	// silenceTimeout is for how long the kernel of another VM may leave what is sent unanswered until the connection counts
	// as dead. A VM whose caller reads slowly takes a response as slowly.
	silenceTimeout = 5 * time.Second
)

// decider decides what is forwarded; driver.Driver implements it with the VM's gateway.
type decider interface {
	// MayForward decides whether a request is forwarded. It returns the target and the greatest number of
	// connections to it, or why not.
	MayForward(fwd gateway.Forwarding) (tgt health.Target, connections int, rej *gateway.Rejection)
	// Step reports an event.
	Step(evt gateway.Event)
	// Now returns the time of the VM.
	Now() clock.Instant
}

// sender sends requests to targets.
type sender interface {
	Send(ctx context.Context, cal target.Call, req *http.Request) (*target.Response, *target.Error)
}

var (
	errBusy   = errors.New("the VM forwards as many requests as it may")
	errClosed = errors.New("the VM does not forward any more")
)

// Server forwards requests that arrive on the connections of other VMs. It is safe for concurrent use.
type Server struct {
	names   header.Names
	decider decider
	sender  sender
	log     logrus.FieldLogger
	server  *http.Server
	watcher *socket.Watcher
	conns   chan net.Conn
	// slots has one element for each request that is being forwarded.
	slots chan struct{}
	// closed is closed once no connections are taken any more.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a server whose requests dec decides on and sen sends to targets.
func New(nms header.Names, dec decider, sen sender, log logrus.FieldLogger) *Server {
	srv := &Server{
		names: nms, decider: dec, sender: sen, log: log, watcher: socket.NewWatcher(silenceTimeout), conns: make(chan net.Conn),
		slots: make(chan struct{}, maxForwarded), closed: make(chan struct{}),
	}
	srv.server = &http.Server{Handler: srv, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true, ErrorLog: stdlog.New(io.Discard, "", 0)}
	go func() { _ = srv.server.Serve(srv) }() // Serve always returns an error, http.ErrServerClosed after Close.
	return srv
}

// Serve serves the requests on a connection, and returns once it is closed.
func (srv *Server) Serve(con net.Conn) {
	wrapped := &trackedConn{Conn: con, watched: srv.watcher.Add(con, func() { socket.Reset(con) }), done: make(chan struct{})}
	select {
	case srv.conns <- wrapped:
		<-wrapped.done
	case <-srv.closed:
		_ = con.Close()
	}
}

// Accepting reports whether the server takes connections.
func (srv *Server) Accepting() bool {
	select {
	case <-srv.closed:
		return false
	default:
		return true
	}
}

// trackedConn closes done once it is closed, and is watched while the other VM has something to take.
type trackedConn struct {
	net.Conn

	watched *socket.Watched
	done    chan struct{}
	once    sync.Once
}

// Write sends bytes to the other VM.
func (con *trackedConn) Write(buf []byte) (int, error) {
	con.watched.Sent(0)
	cnt, err := con.Conn.Write(buf)
	con.watched.Sent(cnt)
	return cnt, err
}

// Close closes the connection.
func (con *trackedConn) Close() error {
	defer con.once.Do(func() {
		con.watched.Close()
		close(con.done)
	})
	return con.Conn.Close()
}

// Accept returns the next connection; see net.Listener.
func (srv *Server) Accept() (net.Conn, error) {
	select {
	case con := <-srv.conns:
		return con, nil
	case <-srv.closed:
		return nil, errClosed
	}
}

// Close ends Accept; see net.Listener.
func (srv *Server) Close() error {
	srv.closeOnce.Do(func() { close(srv.closed) })
	return nil
}

// Addr returns no address, since the connections come from another listener; see net.Listener.
func (srv *Server) Addr() net.Addr { return &net.TCPAddr{} }

// Stop takes no connections any more, and lets the requests that are being forwarded end until ctx does.
func (srv *Server) Stop(ctx context.Context) {
	if err := srv.server.Shutdown(ctx); err != nil {
		srv.log.WithField("requests", len(srv.slots)).Warn("the stop time is almost over; cutting requests that are forwarded for other VMs")
		_ = srv.server.Close()
	}
}

// ServeHTTP forwards one request.
func (srv *Server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	select {
	case srv.slots <- struct{}{}:
		defer func() { <-srv.slots }()
	default:
		srv.fail(wrt, req, &target.Error{Outcome: health.NotForwarded, Err: errBusy})
		return
	}
	fwd, cal, err := target.TakeForwarding(req.Header)
	if err != nil {
		srv.fail(wrt, req, &target.Error{Outcome: health.NotForwarded, Err: err})
		return
	}
	tgt, connections, rej := srv.decider.MayForward(fwd)
	if rej != nil {
		srv.fail(wrt, req, &target.Error{Outcome: rej.Outcome, Err: errors.New(rej.Detail)})
		return
	}
	cal.Address, cal.MaxConnections, cal.CallerRequestID = tgt.Address, connections, req.Header.Get(srv.names.Request)
	cal.MaySend = func() bool {
		_, _, rej := srv.decider.MayForward(fwd)
		return rej == nil
	}
	cal.Stalled = func(dbt path.Doubt) {
		srv.decider.Step(gateway.Stalled{Service: fwd.Service, Target: fwd.Run.Target, Doubt: dbt})
	}
	began := srv.decider.Now()
	rsp, fail := srv.sender.Send(req.Context(), cal, targetRequest(req, tgt.Address))
	if fail != nil {
		srv.decider.Step(gateway.Forwarded{Forwarding: fwd, StartedAt: began, Outcome: fail.Outcome, PortClosed: fail.PortClosed, Announcement: fail.Announcement})
		srv.fail(wrt, req, fail)
		return
	}
	evt := gateway.Forwarded{Forwarding: fwd, StartedAt: began, Outcome: health.Success}
	if rsp.StatusCode != http.StatusMisdirectedRequest {
		ann := srv.names.Announcement(rsp.StatusCode, rsp.Header)
		evt.Announcement = &ann
	}
	srv.decider.Step(evt)
	srv.relay(wrt, req, rsp)
}

// targetRequest returns the request to send to a target.
func targetRequest(req *http.Request, address string) *http.Request {
	hdr := req.Header.Clone()
	header.RemoveHopByHop(hdr)
	out := target.NewRequest(req, hdr, address)
	if req.ContentLength != 0 {
		out.Body, out.ContentLength, out.TransferEncoding = req.Body, req.ContentLength, req.TransferEncoding
	}
	return out
}

// fail tells the other VM that there is no response of the target. The status is never seen by a caller.
func (srv *Server) fail(wrt http.ResponseWriter, req *http.Request, fail *target.Error) {
	if fail.Outcome == health.NotForwarded || fail.Verdict != verdict.NotRun {
		srv.log.WithField("request", req.Header.Get(srv.names.Request)).WithError(fail).Info("cannot forward the request, or there is no response")
	}
	hdr := wrt.Header()
	if srv.names.Request != "" {
		hdr.Set(srv.names.Request, req.Header.Get(srv.names.Request))
	}
	target.MarkFailed(hdr, fail)
	wrt.WriteHeader(http.StatusBadGateway)
}

// relay passes the response of the target to the other VM. If it is cut short, the connection is closed, so
// that it does not look whole.
func (srv *Server) relay(wrt http.ResponseWriter, req *http.Request, rsp *target.Response) {
	defer func() { _ = rsp.Body.Close() }()
	copyHeader(wrt.Header(), rsp)
	target.MarkAnswered(wrt.Header())
	wrt.WriteHeader(rsp.StatusCode)
	if req.Method == http.MethodHead || rsp.StatusCode == http.StatusNoContent || rsp.StatusCode == http.StatusNotModified {
		return
	}
	_, err := wrt.Write(rsp.BodyPrefix)
	if rest := rsp.Rest(); rest != nil && err == nil {
		err = copyRest(wrt, rest)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyHeader sets the headers of the target's response, and keeps net/http from adding others.
func copyHeader(dst http.Header, rsp *target.Response) {
	hdr := rsp.Header.Clone()
	header.RemoveHopByHop(hdr)
	hdr.Del("Trailer")
	for name, vals := range hdr {
		dst[name] = vals
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, found := hdr[name]; !found {
			dst[name] = nil
		}
	}
}

// copyRest passes on the rest of a body as it arrives.
func copyRest(wrt http.ResponseWriter, src io.Reader) error {
	ctl := http.NewResponseController(wrt)
	buf := make([]byte, copyBufferBytes)
	for {
		cnt, err := src.Read(buf)
		if cnt > 0 {
			if _, werr := wrt.Write(buf[:cnt]); werr != nil {
				return werr
			}
			if ferr := ctl.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
