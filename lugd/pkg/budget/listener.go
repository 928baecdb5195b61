package budget

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"
)

// parseFactor is how much memory the parsed head of a request takes at most for each of its bytes. The shortest fields, of five
// bytes, take about 160: a place in a map, a list of one value and a name.
const parseFactor = 32

var errRevoked = errors.New("the connection is closed since it holds too much")

// Listener accepts as many connections as a budget has room for. If it has none, it closes the connection with the
// least progress. With a budget of memory, the connections account for what they read until they write, which suits a
// server of short requests that it answers one after the other.
type Listener struct {
	net.Listener

	files, memory *Budget
	reporter      *Reporter
	log           logrus.FieldLogger
	// cause is the name under which closed connections are reported.
	cause string
}

// Limit returns a listener that accepts connections from lis. mem may be nil.
func Limit(lis net.Listener, files, mem *Budget, rep *Reporter, log logrus.FieldLogger, cause string) *Listener {
	return &Listener{Listener: lis, files: files, memory: mem, reporter: rep, log: log, cause: cause}
}

// Accept returns the next connection for which there is room.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		con := &Conn{Conn: raw, listener: lis}
		con.files = lis.files.Open(con.revoke)
		if lis.memory != nil {
			con.memory = lis.memory.Open(con.revoke)
		}
		if con.files.Take(1) {
			return con, nil
		}
		con.revoke()
		con.release()
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn

	listener *Listener
	files    *Share
	// memory is nil if the connection does not account for what it reads.
	memory *Share
	// taken is what has been taken of memory since the last write.
	taken  atomic.Int64
	closed atomic.Bool
}

// revoke closes the connection since there is no room for it. A reader notices and closes it as well.
func (con *Conn) revoke() {
	con.listener.reporter.Report(con.listener.log, con.listener.cause, con.RemoteAddr().String(), "there is no room for so many connections or so large requests; closing one")
	_ = con.Conn.Close()
}

// release gives back all that the connection has.
func (con *Conn) release() {
	con.files.Close()
	if con.memory != nil {
		con.memory.Close()
	}
}

// Pin makes sure that the connection is not closed for lack of descriptors any more. It reports false if it has been.
func (con *Conn) Pin() bool { return con.files.Bind(1) }

// Read accounts for what it reads.
func (con *Conn) Read(buf []byte) (int, error) {
	cnt, err := con.Conn.Read(buf)
	if cnt <= 0 {
		return cnt, err
	}
	con.files.Advance(int64(cnt))
	if con.memory == nil {
		return cnt, err
	}
	con.memory.Advance(int64(cnt))
	more := parseFactor * int64(cnt)
	if !con.memory.TakePatiently(more) {
		con.revoke()
		return 0, errRevoked
	}
	con.taken.Add(more)
	return cnt, err
}

// Write gives back what was taken for the request.
func (con *Conn) Write(buf []byte) (int, error) {
	if taken := con.taken.Swap(0); taken > 0 {
		con.memory.Give(taken)
	}
	return con.Conn.Write(buf)
}

// SyscallConn returns the connection of the kernel; see syscall.Conn.
func (con *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sys.SyscallConn()
}

// SetLinger sets what closing the connection does with what was not delivered; see net.TCPConn.
func (con *Conn) SetLinger(sec int) error {
	if tcp, ok := con.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the sending side, if the connection has sides.
func (con *Conn) CloseWrite() error {
	if half, ok := con.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back all that it has.
func (con *Conn) Close() error {
	if con.closed.CompareAndSwap(false, true) {
		defer con.release()
	}
	return con.Conn.Close()
}

// Pin pins the connection of a Listener, also below TLS. Other connections need not be pinned.
func Pin(con net.Conn) bool {
	if tls, ok := con.(interface{ NetConn() net.Conn }); ok {
		con = tls.NetConn()
	}
	if one, ok := con.(*Conn); ok {
		return one.Pin()
	}
	return true
}
