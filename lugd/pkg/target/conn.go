package target

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

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
	// watched tells if the machine at the other end does not answer, and silent is set once it is closed for that.
	watched *socket.Watched
	silent  atomic.Bool
	// writeError holds the error with which writing first failed.
	writeError atomic.Pointer[error]
}

// errSilent is why a connection fails whose other end does not answer.
var errSilent = fmt.Errorf("the machine does not answer: %w", syscall.ETIMEDOUT)

// closeSilent resets the connection since the machine at the other end does not answer, so that nothing of the request arrives
// there once it does.
func (con *conn) closeSilent() {
	con.silent.Store(true)
	socket.Reset(con.Conn)
	_ = con.Close()
}

// failure returns why reading or writing has failed.
func (con *conn) failure(err error) error {
	if err != nil && con.silent.Load() {
		return errSilent
	}
	return err
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
		cnt, err := con.Conn.Read(buf)
		return cnt, con.failure(err)
	}
	if con.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	cnt, err := con.Conn.Read(buf[:min(len(buf), con.headBytesLeft)])
	con.headBytesLeft -= cnt
	return cnt, con.failure(err)
}

// Write sends bytes and counts those handed to the kernel.
func (con *conn) Write(buf []byte) (int, error) {
	con.watched.Sent(0)
	cnt, err := con.Conn.Write(buf)
	con.watched.Sent(cnt)
	con.sent += int64(cnt)
	err = con.failure(err)
	if err != nil {
		con.writeError.CompareAndSwap(nil, &err)
	}
	return cnt, err
}

// writeFailure returns the error with which writing first failed, or nil. The kernel gives the error of a connection once: if
// writing has got it, reading sees a plain end.
func (con *conn) writeFailure() error {
	if err := con.writeError.Load(); err != nil {
		return *err
	}
	return nil
}

// Close closes the connection and releases its place among the open ones. Further calls do nothing.
func (con *conn) Close() error {
	var err error
	con.closed.Do(func() {
		con.watched.Close()
		err = con.Conn.Close()
		con.pool.release(con.address)
	})
	return err
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
