// Package target speaks HTTP/1.1 to targets. It sends each request at most
// once and states what is known of its execution when it fails.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// maxIdleNonIdempotent bounds how long a connection may have been idle to carry a
	// request that is not idempotent; the target may be closing an older one.
	maxIdleNonIdempotent = time.Second
	maxIdle              = 30 * time.Second
	bufferSize           = 8 << 10
	maxResponseHeads     = 5
	// userTimeout is how long bytes sent may stay unacknowledged before
	// the connection counts as dead.
	userTimeout = 4 * time.Second
)

// Error is the failure of an attempt.
type Error struct {
	// Verdict is NotRun only if no byte of the request left the VM.
	Verdict verdict.Verdict
	Outcome health.Outcome
	Err     error
}

// Error returns the cause.
func (err *Error) Error() string { return err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

var (
	errCloseDelimited = errors.New("the target's answer states neither length nor chunks")
	errInterim        = errors.New("the target sent too many interim answers")
	errMismatched     = errors.New("the target answered another request")
	errCanceled       = errors.New("no answer in time, or the attempt was given up")
	errSwitching      = errors.New("the target switched protocols unasked")
)

// Settings bound the connections to targets.
type Settings struct {
	DialTimeout time.Duration
	// IdlePerTarget bounds the idle connections kept to one target.
	IdlePerTarget int
	// BodyIdleTimeout bounds the time between two parts of an answer's body.
	BodyIdleTimeout time.Duration
	// Names are the headers by which answers are matched to requests.
	Names header.Names
	// BufferBytes is the length in bytes up to which an answer is read whole before
	// it is returned, so that one that is cut short fails.
	BufferBytes int
	// AllowCloseDelimited allows answers whose end is that of their connection.
	AllowCloseDelimited bool
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	set  Settings
	dial func(ctx context.Context, address string) (net.Conn, error)

	mut sync.Mutex
	// idle has the most recently used connection of each address last.
	idle map[string][]*conn
	open map[string]int
}

// New returns a pool without connections.
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

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// sent counts the bytes handed to the kernel for the present request.
	sent     int64
	lastUsed time.Time
	closed   sync.Once
}

// Write counts the bytes that leave the VM.
func (con *conn) Write(buf []byte) (int, error) {
	cnt, err := con.Conn.Write(buf)
	con.sent += int64(cnt)
	return cnt, err
}

// Close closes the connection once and forgets it.
func (con *conn) Close() error {
	var err error
	con.closed.Do(func() {
		err = con.Conn.Close()
		con.pool.release(con.address)
	})
	return err
}

// reserve counts a connection that is about to be opened, if there may be one.
func (pol *Pool) reserve(cal Call) bool {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if pol.open[cal.Address] >= cal.Connections {
		return false
	}
	pol.open[cal.Address]++
	return true
}

func (pol *Pool) release(address string) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if pol.open[address]--; pol.open[address] <= 0 {
		delete(pol.open, address)
	}
}

// usable reports whether the connection is open with nothing to read. A
// connection with something to read was closed or owes an answer.
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

// getIdle returns an idle connection used within age, or nil.
func (pol *Pool) getIdle(address string, age time.Duration) *conn {
	for {
		con := pol.popIdle(address)
		if con == nil {
			return nil
		}
		if time.Since(con.lastUsed) <= age && con.usable() {
			con.sent = 0
			return con
		}
		_ = con.Close()
	}
}

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

// putIdle puts a connection that owes nothing back among the idle ones.
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

// Sweep closes the connections that have been idle for too long.
func (pol *Pool) Sweep(now time.Time) {
	var old []*conn
	pol.mut.Lock()
	for address, list := range pol.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Sub(con.lastUsed) > maxIdle {
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

// Open returns the number of connections open to each address.
func (pol *Pool) Open() map[string]int {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	out := make(map[string]int, len(pol.open))
	for address, cnt := range pol.open {
		out[address] = cnt
	}
	return out
}

// Call says how to send a request.
type Call struct {
	Address    string
	Idempotent bool
	// Timeout bounds the time until the head of the answer.
	Timeout time.Duration
	// Connections bounds the connections of this VM to the address.
	Connections int
	// Label identifies the request; the answer must repeat it. Empty where the
	// caller gave none.
	Label string
	// Target is the ID of the target that is meant.
	Target string
}

// errBusy is returned when every connection that the VM may open is in use.
var errBusy = errors.New("all connections to the target are in use")

func (pol *Pool) connect(ctx context.Context, cal Call) (*conn, error) {
	age := maxIdleNonIdempotent
	if cal.Idempotent {
		age = maxIdle
	}
	address := cal.Address
	if con := pol.getIdle(address, age); con != nil {
		return con, nil
	}
	if !pol.reserve(cal) {
		return nil, errBusy
	}
	raw, err := pol.dial(ctx, address)
	if err != nil {
		pol.release(address)
		return nil, err
	}
	return &conn{Conn: raw, pool: pol, address: address, reader: bufio.NewReaderSize(raw, bufferSize)}, nil
}

// Response is the head of an answer and its body, which must be closed.
type Response struct {
	*http.Response
	// BodyPrefix is the first part of the body, if the pool holds answers.
	BodyPrefix []byte
	// complete is set when Held is the whole body.
	complete bool
	failed   error
}

// Rest returns the body behind the part that is held, or nil if nothing is left.
func (rsp *Response) Rest() io.Reader {
	if rsp.complete {
		return nil
	}
	return rsp
}

// Read reads the body behind the part that is held.
func (rsp *Response) Read(buf []byte) (int, error) {
	cnt, err := rsp.Body.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		rsp.failed = err
	}
	return cnt, err
}

// Failed returns the error that cut the answer short, or nil.
func (rsp *Response) Failed() error { return rsp.failed }

// Length returns the length of the whole body, or -1 where it is not known.
func (rsp *Response) Length() int64 {
	if rsp.complete {
		return int64(len(rsp.BodyPrefix))
	}
	return rsp.ContentLength
}

// buffer reads the body up to a length.
func (rsp *Response) buffer(limit int) error {
	var err error
	rsp.BodyPrefix, err = io.ReadAll(io.LimitReader(rsp.Body, int64(limit)))
	rsp.complete = err == nil && len(rsp.BodyPrefix) < limit
	return err
}

// Send sends req once as the call says, and returns when the head of the answer
// has arrived or the timeout has passed. Cancelling ctx closes the connection,
// also while the body of the answer is read.
func (pol *Pool) Send(ctx context.Context, cal Call, req *http.Request) (*Response, *Error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(cal.Timeout, cancel)
	con, err := pol.connect(ctx, cal)
	if err != nil {
		timer.Stop()
		cancel()
		outcome := health.Unreachable
		if errors.Is(err, errBusy) {
			outcome = health.Shed
		}
		return nil, &Error{Verdict: verdict.NotRun, Outcome: outcome, Err: fmt.Errorf("cannot connect to target %s: %w", cal.Address, err)}
	}
	exc := &exchange{con: con, cancel: cancel, label: cal.Label, written: make(chan error, 1)}
	exc.stop = context.AfterFunc(ctx, func() { _ = con.Close() })
	go exc.write(req)
	raw, err := exc.readHead(req) //nolint:bodyclose // the caller of Send closes it
	if err != nil {
		return nil, exc.fail(cause(ctx, err))
	}
	raw.Body = &body{ReadCloser: raw.Body, exchange: exc, reusable: !raw.Close}
	rsp := &Response{Response: raw}
	if pol.set.BufferBytes > 0 {
		err = rsp.buffer(pol.set.BufferBytes)
	}
	if err != nil || !timer.Stop() {
		return nil, exc.fail(cause(ctx, err))
	}
	if rsp.complete {
		_ = rsp.Body.Close()
	}
	return rsp, nil
}

// NewResponse returns an answer of which a part is held, and its whole where
// whole is set.
func NewResponse(raw *http.Response, prefix []byte, complete bool) *Response {
	return &Response{Response: raw, BodyPrefix: prefix, complete: complete}
}
