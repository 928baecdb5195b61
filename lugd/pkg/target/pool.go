// Package target is an HTTP/1.1 client for targets. It sends each request at most once, and if the
// request fails it returns a verdict on whether the target may have run it.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// connBufferBytes is the size of a connection's read and write buffers, in bytes.
	connBufferBytes = 8 << 10
	// maxResponseHeads is how many heads are read for one request at most, including those of
	// interim and mismatched responses.
	maxResponseHeads = 5
	// maxHeadBytes is how many bytes are read from the connection at most until the head of a response
	// is complete.
	maxHeadBytes = 64 << 10
	// unlimitedHead is the value of conn.headBytesLeft while no head is read.
	unlimitedHead = -1
	// maxBodyTime bounds the time for reading the body of a response, so that one that never ends does
	// not hold its connection for good.
	maxBodyTime = 10 * time.Minute
	// maxCarried is the number of requests for which a connection remembers their IDs.
	maxCarried = 64
	// userTimeout is the TCP user timeout: how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	userTimeout = 4 * time.Second
)

// Error is the failure of an attempt.
type Error struct {
	// Verdict is NotRun only if no byte of the request was handed to the kernel.
	Verdict verdict.Verdict
	Outcome health.Outcome
	Err     error
	// Announcement is what the head of the response announced if its body could not be read; nil if no
	// head was read.
	Announcement *announcement.Announcement
	// PortClosed is set if the target closed the connection and then refused a new one: its process is
	// gone.
	PortClosed bool
}

// Error returns the cause.
func (err *Error) Error() string { return err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

var (
	errCloseDelimited = errors.New("the target's answer states neither length nor chunks")
	// errTooManyHeads is also returned when mismatched responses are among the maxResponseHeads.
	errTooManyHeads = errors.New("the target sent too many interim answers")
	errMismatched   = errors.New("the target answered another request")
	errCanceled     = errors.New("no answer in time, or the attempt was given up")
	errSwitching    = errors.New("the target switched protocols unasked")
	errHeadTooLong  = errors.New("the head of the target's answer is too long")
	errEndlessBody  = errors.New("the body of the target's answer does not end")
)

// Settings configure a Pool.
type Settings struct {
	DialTimeout time.Duration
	// IdlePerTarget is the maximum number of idle connections kept to one address.
	IdlePerTarget int
	// BodyIdleTimeout bounds the time without a byte while the body of a response is read.
	BodyIdleTimeout time.Duration
	// Names are the headers by which responses are matched to requests.
	Names header.Names
	// BodyPrefixBytes is how many bytes of a body are read before the response is returned, so that a
	// shorter response that is cut short counts as a failed attempt. 0 means none.
	BodyPrefixBytes int
	// AllowCloseDelimited allows responses whose end is marked by the end of their connection.
	AllowCloseDelimited bool
}

// Pool sends requests to targets and keeps idle connections to them. It is safe for concurrent use.
type Pool struct {
	set  Settings
	dial func(ctx context.Context, address string) (net.Conn, error)
	// dialVM opens a connection on which a VM forwards requests.
	dialVM func(ctx context.Context, vmm member.VM) (net.Conn, error)

	reuse reusePolicy

	mut sync.Mutex
	// idle has the idle connections by address, the most recently used one last.
	idle map[string][]*conn
	// open counts the open connections by address, with those being opened.
	open map[string]int
}

// New returns an empty pool.
func New(set Settings) *Pool {
	dlr := &net.Dialer{Timeout: set.DialTimeout, Control: socket.UserTimeout(userTimeout)}
	return &Pool{
		set: set,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dlr.DialContext(ctx, "tcp", address)
		},
		idle: make(map[string][]*conn),
		open: make(map[string]int),
	}
}

// SetForwarding sets how connections are opened on which other VMs forward requests. It must be called before
// Send.
func (pol *Pool) SetForwarding(dial func(ctx context.Context, vmm member.VM) (net.Conn, error)) {
	pol.dialVM = dial
}

// conn is a connection to a target, or to a VM that forwards requests. It carries one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// headBytesLeft is how many bytes may still be read for the head that is being read, or
	// unlimitedHead.
	headBytesLeft int
	// sent counts the bytes of the current request that were handed to the kernel.
	sent     int64
	lastUsed time.Time
	// keepAlive is for how long the target has said that it keeps the idle connection open, 0 if it
	// has not said so.
	keepAlive time.Duration
	// idleBefore is how long the connection had been idle before the current request; 0 for the first.
	idleBefore time.Duration
	// carried holds the IDs of the last requests, maxCarried at most, as their callers gave them.
	carried []string
	closed  sync.Once
}

// carry records the ID of the request that is about to be sent.
func (con *conn) carry(requestID string) {
	con.carried = append(con.carried, requestID)
	if extra := len(con.carried) - maxCarried; extra > 0 {
		con.carried = slices.Delete(con.carried, 0, extra)
	}
}

// Read reads what the target has sent. It fails with errHeadTooLong instead of reading more than
// headBytesLeft.
func (con *conn) Read(buf []byte) (int, error) {
	if con.headBytesLeft == unlimitedHead {
		return con.Conn.Read(buf)
	}
	if con.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	cnt, err := con.Conn.Read(buf[:min(len(buf), con.headBytesLeft)])
	con.headBytesLeft -= cnt
	return cnt, err
}

// Write sends bytes and counts those handed to the kernel.
func (con *conn) Write(buf []byte) (int, error) {
	cnt, err := con.Conn.Write(buf)
	con.sent += int64(cnt)
	return cnt, err
}

// Close closes the connection and releases its place among the open ones. Further calls do nothing.
func (con *conn) Close() error {
	var err error
	con.closed.Do(func() {
		err = con.Conn.Close()
		con.pool.release(con.address)
	})
	return err
}

// reserve counts a connection that is about to be opened as open. It returns false if that would
// exceed the call's limit.
func (pol *Pool) reserve(cal Call) bool {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if pol.open[cal.peer()] >= cal.MaxConnections {
		return false
	}
	pol.open[cal.peer()]++
	return true
}

// release counts a connection as closed.
func (pol *Pool) release(address string) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if pol.open[address]--; pol.open[address] <= 0 {
		delete(pol.open, address)
	}
}

// usable reports whether an idle connection is open and has nothing to read. If there is something
// to read, the target has closed it or has sent bytes that belong to no request.
func (con *conn) usable() bool {
	if con.reader.Buffered() > 0 {
		return false
	}
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// getIdle returns a usable connection that may carry the request, or nil. A response can be told from a
// repeated one to an earlier request only by an ID that none of those had.
func (pol *Pool) getIdle(cal Call) *conn {
	if pol.set.Names.Request != "" && cal.CallerRequestID == "" {
		return nil
	}
	for {
		con := pol.popIdle(cal.peer())
		if con == nil {
			return nil
		}
		idle := time.Since(con.lastUsed)
		repeated := cal.CallerRequestID != "" && slices.Contains(con.carried, cal.CallerRequestID)
		if !repeated && idle <= pol.reuse.maxIdle(con.keepAlive, cal.Idempotent) && con.usable() {
			con.sent, con.idleBefore = 0, idle
			return con
		}
		_ = con.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (pol *Pool) popIdle(address string) *conn {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	list := pol.idle[address]
	if len(list) == 0 {
		return nil
	}
	con := list[len(list)-1]
	pol.idle[address] = list[:len(list)-1]
	return con
}

// putIdle adds a connection whose exchange is complete to the idle ones, or closes it if there are
// IdlePerTarget of them.
func (pol *Pool) putIdle(con *conn) {
	con.lastUsed = time.Now()
	pol.mut.Lock()
	full := len(pol.idle[con.address]) >= pol.set.IdlePerTarget
	if !full {
		pol.idle[con.address] = append(pol.idle[con.address], con)
	}
	pol.mut.Unlock()
	if full {
		_ = con.Close()
	}
}

// Sweep closes the connections that have been idle for longer than maxIdleTime.
func (pol *Pool) Sweep(now time.Time) {
	var old []*conn
	pol.mut.Lock()
	for address, list := range pol.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Sub(con.lastUsed) > maxIdleTime {
				old = append(old, con)
				continue
			}
			kept = append(kept, con)
		}
		pol.idle[address] = kept
		if len(kept) == 0 {
			delete(pol.idle, address)
		}
	}
	pol.mut.Unlock()
	for _, con := range old {
		_ = con.Close()
	}
}

// Open returns the number of open connections by address.
func (pol *Pool) Open() map[string]int {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	out := make(map[string]int, len(pol.open))
	for address, cnt := range pol.open {
		out[address] = cnt
	}
	return out
}

// Call holds the parameters for sending a request.
type Call struct {
	Address    string
	Idempotent bool
	// Timeout bounds the time until Send returns: until the head of the response and the buffered
	// part of its body have arrived.
	Timeout time.Duration
	// MaxConnections is the maximum number of open connections of this VM to the address.
	MaxConnections int
	// CallerRequestID is the request's ID as its caller gave it, which the response must repeat;
	// empty if the caller gave none.
	CallerRequestID string
	// MaySend is asked once a new connection is open, which may have taken long. If it returns false, the
	// request is not sent. nil allows every request.
	MaySend func() bool
	// Stalled is told if the request makes no progress; nil if nobody wants to know.
	Stalled func(doubt path.Doubt)
	// Forwarding is set if another VM sends the request to the target.
	Forwarding *gateway.Forwarding
}

// forwarderPrefix distinguishes VMs that forward requests from the addresses of targets.
const forwarderPrefix = "vm "

// peer returns the address of the target, or a text for the VM that forwards the request, by which connections
// are kept.
func (cal Call) peer() string {
	if cal.Forwarding != nil {
		return forwarderPrefix + cal.Forwarding.VM.ID
	}
	return cal.Address
}

// errWithdrawn is returned when the request must not be sent any more.
var errWithdrawn = errors.New("the target wants no requests any more")

// errBusy is returned when all connections that the VM may open to the address are in use.
var errBusy = errors.New("all connections to the target are in use")

// connect returns an idle connection or opens a new one.
func (pol *Pool) connect(ctx context.Context, cal Call) (*conn, error) {
	if con := pol.getIdle(cal); con != nil {
		return con, nil
	}
	if !pol.reserve(cal) {
		return nil, errBusy
	}
	return pol.openConn(ctx, cal)
}

// openConn opens a connection that is already counted as open.
func (pol *Pool) openConn(ctx context.Context, cal Call) (*conn, error) {
	var raw net.Conn
	var err error
	if cal.Forwarding != nil {
		raw, err = pol.dialVM(ctx, cal.Forwarding.VM)
	} else {
		raw, err = pol.dial(ctx, cal.Address)
	}
	if err != nil {
		pol.release(cal.peer())
		return nil, err
	}
	con := &conn{Conn: raw, pool: pol, address: cal.peer(), headBytesLeft: unlimitedHead}
	con.reader = bufio.NewReaderSize(con, connBufferBytes)
	return con, nil
}

// Response is the response of a target. Its Body must be closed.
type Response struct {
	*http.Response
	// BodyPrefix is the buffered first part of the body; see Settings.BodyPrefixBytes.
	BodyPrefix []byte
	// complete is set if BodyPrefix is the whole body.
	complete bool
	// readError is the error with which reading the body ended, if any.
	readError error
	// portClosed checks the port of the target; see PortClosed.
	portClosed func() bool
}

// Rest returns a reader of the body after BodyPrefix, or nil if nothing is left.
func (rsp *Response) Rest() io.Reader {
	if rsp.complete {
		return nil
	}
	return rsp
}

// Read reads the body after BodyPrefix.
func (rsp *Response) Read(buf []byte) (int, error) {
	cnt, err := rsp.Body.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		rsp.readError = err
	}
	return cnt, err
}

// ReadError returns the error with which Read ended, or nil.
func (rsp *Response) ReadError() error { return rsp.readError }

// PortClosed reports whether the target closed the connection before the end of the body and now
// refuses a new one: its process is gone.
func (rsp *Response) PortClosed() bool {
	return rsp.portClosed != nil && closedByPeer(rsp.readError) && rsp.portClosed()
}

// Length returns the length of the whole body, or -1 if it is not known.
func (rsp *Response) Length() int64 {
	if rsp.complete {
		return int64(len(rsp.BodyPrefix))
	}
	return rsp.ContentLength
}

// buffer reads up to limit bytes of the body into BodyPrefix.
func (rsp *Response) buffer(limit int) error {
	var err error
	rsp.BodyPrefix, err = io.ReadAll(io.LimitReader(rsp.Body, int64(limit)))
	rsp.complete = err == nil && len(rsp.BodyPrefix) < limit
	return err
}

// Send sends req once, with the parameters in cal, and returns when the head of the response and
// the buffered part of its body have arrived or the timeout has passed. Canceling ctx closes the
// connection, also while the rest of the body is read.
func (pol *Pool) Send(ctx context.Context, cal Call, req *http.Request) (*Response, *Error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(cal.Timeout, cancel)
	began := time.Now()
	var wch progressWatch
	wch.start(cal.Stalled)
	defer wch.stop()
	con, err := pol.connect(ctx, cal)
	if err == nil && con.idleBefore == 0 && cal.MaySend != nil && !cal.MaySend() {
		pol.putIdle(con)
		err = errWithdrawn
	}
	if err == nil {
		err = pol.setTimeLeft(cal, req, cal.Timeout-time.Since(began))
		if err != nil {
			_ = con.Close()
		}
	}
	if err != nil {
		timer.Stop()
		cancel()
		outcome := health.Unreachable
		switch {
		case errors.Is(err, errBusy), errors.Is(err, errWithdrawn):
			outcome = health.Shed
		case errors.Is(err, errTooLate):
			outcome = health.Canceled // This says nothing about the target.
		}
		return nil, blameForwarder(cal, &Error{Verdict: verdict.NotRun, Outcome: outcome, Err: fmt.Errorf("cannot connect to target %s: %w", cal.peer(), err)})
	}
	con.carry(cal.CallerRequestID)
	exc := &exchange{con: con, cancel: cancel, callerRequestID: cal.CallerRequestID, written: make(chan error, 1)}
	exc.stop = context.AfterFunc(ctx, func() { _ = con.Close() })
	wch.connected(con.Conn)
	go exc.write(req)
	raw, err := exc.readHead(req) //nolint:bodyclose // the caller of Send closes the body
	if err != nil {
		err = cause(ctx, err)
		pol.reuse.noteFailure(con.idleBefore, err)
		return nil, blameForwarder(cal, pol.notePortClosed(cal, err, exc.fail(err)))
	}
	if cal.Forwarding != nil {
		if fail := takeResult(raw.Header, cal.Forwarding.VM.ID); fail != nil {
			exc.end()
			return nil, fail
		}
	}
	con.keepAlive = announcedKeepAlive(raw.Header)
	raw.Body = &body{ReadCloser: raw.Body, exchange: exc, reusable: !raw.Close, end: time.Now().Add(maxBodyTime)}
	rsp := &Response{Response: raw, portClosed: func() bool { return cal.Forwarding == nil && pol.portClosed(cal) }}
	if pol.set.BodyPrefixBytes > 0 {
		err = rsp.buffer(pol.set.BodyPrefixBytes)
	}
	if err != nil || !timer.Stop() {
		err = cause(ctx, err)
		fail := blameForwarder(cal, pol.notePortClosed(cal, err, exc.fail(err)))
		if raw.StatusCode != http.StatusMisdirectedRequest {
			ann := pol.set.Names.Announcement(raw.StatusCode, raw.Header)
			fail.Announcement = &ann
		}
		return nil, fail
	}
	if rsp.complete {
		_ = rsp.Body.Close()
	}
	return rsp, nil
}

// errTooLate is returned when the timeout has passed before the request could be sent, for instance
// since the process was paused.
var errTooLate = errors.New("the time for the request has passed")

// setTimeLeft sets the time that the target has for a request which is about to be sent: what is left
// of the timeout after connecting. It returns errTooLate if nothing is left.
func (pol *Pool) setTimeLeft(cal Call, req *http.Request, left time.Duration) error {
	if left <= 0 {
		return errTooLate
	}
	if cal.Forwarding != nil {
		setForwarding(req.Header, cal, left)
	}
	if nms := pol.set.Names; nms.Timeout != "" && nms.TimeoutUnit > 0 {
		req.Header.Set(nms.Timeout, nms.FormatTimeout(left))
	}
	return nil
}

// NewResponse returns a response with a buffered first part of its body, which is the whole body if
// complete is set.
func NewResponse(raw *http.Response, prefix []byte, complete bool) *Response {
	return &Response{Response: raw, BodyPrefix: prefix, complete: complete}
}
