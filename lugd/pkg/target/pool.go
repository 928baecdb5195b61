// Package target is an HTTP/1.1 client for targets. It sends each request at most once, and if the
// request fails it returns a verdict on whether the target may have run it.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
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
	// lateReadTime and maxLateBytes bound what is read of a body after the timeout of its request. A target that has
	// sent all by then needs no more, however slowly the caller has read: lateReadTime covers the way of its last
	// bytes, and maxLateBytes what the socket buffers of both sides hold.
	lateReadTime = 250 * time.Millisecond
	maxLateBytes = 16 << 20
	// maxCarried is the number of requests for which a connection remembers their IDs.
	maxCarried = 64
	// silenceTimeout is for how long the kernel of a target may leave what is sent unanswered until the connection counts as
	// dead, and forwarderSilenceTimeout the same for a VM that forwards requests.
	silenceTimeout          = 4 * time.Second
	forwarderSilenceTimeout = 2 * time.Second
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
	// ErrOverdue ends the body of a response that the target has not completed within the timeout of the request.
	ErrOverdue = errors.New("the target has not completed its answer in time")
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
	// targets and forwarders find connections to targets, and to VMs that forward, whose machines do not answer.
	targets, forwarders *socket.Watcher

	mut sync.Mutex
	// idle has the idle connections by address, the most recently used one last.
	idle map[string][]*conn
	// open counts the open connections by address, with those being opened.
	open map[string]int
}

// New returns an empty pool.
func New(set Settings) *Pool {
	dlr := &net.Dialer{Timeout: set.DialTimeout}
	return &Pool{
		set: set, targets: socket.NewWatcher(silenceTimeout), forwarders: socket.NewWatcher(forwarderSilenceTimeout),
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
	// part of its body have arrived. The target must complete the body within it, too; see ErrOverdue.
	Timeout time.Duration
	// MaxConnections is the maximum number of open connections of this VM to the address.
	MaxConnections int
	// CallerRequestID is the request's ID as its caller gave it, which the response must repeat;
	// empty if the caller gave none.
	CallerRequestID string
	// MaySend is asked once a new connection is open, which may have taken long. If it returns false, the
	// request is not sent. nil allows every request.
	MaySend func() bool
	// MoreBytes is asked how many bytes of a body are to be read before the response is returned, if that is longer than
	// Settings.BodyPrefixBytes; length is that of the body, -1 if it is not known. nil asks for no more.
	MoreBytes func(length int64) int
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
	wch := pol.targets
	if cal.Forwarding != nil {
		wch = pol.forwarders
	}
	con.watched = wch.Add(raw, con.closeSilent)
	con.reader = bufio.NewReaderSize(con, connBufferBytes)
	return con, nil
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
	exc := &exchange{con: con, cancel: cancel, callerRequestID: cal.CallerRequestID, written: make(chan struct{})}
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
	raw.Body = &body{ReadCloser: raw.Body, exchange: exc, reusable: !raw.Close, endsWithConn: closeDelimited(raw, req.Method), late: lateBudget{from: began.Add(cal.Timeout), time: lateReadTime, bytes: maxLateBytes}}
	rsp := &Response{Response: raw, portClosed: func() bool { return cal.Forwarding == nil && pol.portClosed(cal) }}
	if err = pol.buffer(cal, rsp); err != nil || !timer.Stop() {
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

// buffer reads the part of the body that is read before the response is returned.
func (pol *Pool) buffer(cal Call, rsp *Response) error {
	if pol.set.BodyPrefixBytes == 0 {
		return nil
	}
	err := rsp.buffer(pol.set.BodyPrefixBytes)
	if err != nil || rsp.complete || cal.MoreBytes == nil {
		return err
	}
	return rsp.buffer(cal.MoreBytes(rsp.ContentLength))
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
