package target

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
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
