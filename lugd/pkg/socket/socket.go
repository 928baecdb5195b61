// Package socket tells whether the other end of a TCP connection is alive. An end that is slow, and reads nothing for
// some time, is alive: its kernel answers what is sent to it.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for dialers and listeners. The kernel then closes
// connections whose sent bytes stay unacknowledged for longer than dur, also those whose other end reads nothing for so
// long. A Watcher is for connections whose other end may be slow.
func UserTimeout(dur time.Duration) func(network, address string, raw syscall.RawConn) error {
	return option(syscall.IPPROTO_TCP, tcpUserTimeout, int(dur.Milliseconds()))
}

// ReceiveBuffer returns a Control function for dialers and listeners that sets the size of the receive buffer, in bytes. It must
// be set before a connection is open, since the first window follows from it.
func ReceiveBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return option(syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
}

// option returns a Control function that sets an option of a socket.
func option(level, name, val int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var serr error
		err := raw.Control(func(fd uintptr) { serr = syscall.SetsockoptInt(int(fd), level, name, val) })
		if err != nil {
			return err
		}
		return serr
	}
}

// KeepAlive returns a configuration of keep-alive probes that detects a dead connection after about
// dur. The time between probes is rounded to whole seconds and is at least 1 s.
func KeepAlive(dur time.Duration) net.KeepAliveConfig {
	const probes = 3
	interval := max((dur / (probes + 1)).Round(time.Second), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// deadProbes is how many probes of a closed window in a row must go unanswered to say something: kernels leave one
// unanswered that comes within 0.5 s of the one before.
const deadProbes = 2

// Unacknowledged returns how many sent bytes the other end of a TCP or TLS connection has not
// acknowledged. known is false if the kernel does not tell.
func Unacknowledged(con net.Conn) (count int, known bool) {
	control(con, func(fd int) {
		var err error
		count, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		known = err == nil
	})
	return count, known
}

// AwaitsAnswer reports whether the other end has not answered what was sent to it. One that has no room for more has.
func AwaitsAnswer(con net.Conn) bool {
	rdg, known := read(con)
	return known && rdg.awaitsAnswer()
}

// Reset closes a TCP connection, or one over TLS, at once. What was not delivered is lost, and the other end can tell.
func Reset(con net.Conn) {
	if tcp, ok := transport(con).(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	Close(con)
}

// Close closes a TCP connection, or the one below TLS. Closing a TLS connection could wait for the other end.
func Close(con net.Conn) { _ = transport(con).Close() }

// transport returns the connection below TLS and other layers.
func transport(con net.Conn) net.Conn {
	for {
		inner, wrapped := con.(interface{ NetConn() net.Conn })
		if !wrapped {
			return con
		}
		con = inner.NetConn()
	}
}

// read returns what the kernel tells of a connection. known is false if it does not tell how much is unacknowledged.
func read(con net.Conn) (rdg reading, known bool) {
	rdg.unacknowledged, known = Unacknowledged(con)
	if !known || rdg.unacknowledged == 0 {
		return rdg, known
	}
	control(con, func(fd int) {
		inf, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		rdg.tellsAnswers = inf.Segs_in > 0 // The other end has sent one at least to open the connection.
		rdg.dataUnanswered = inf.Unacked > 0 && inf.Last_ack_recv >= inf.Last_data_sent
		rdg.probesUnanswered = inf.Probes >= deadProbes
		rdg.lastAnswer = time.Duration(inf.Last_ack_recv) * time.Millisecond
	})
	return rdg, known
}

// control calls use with the descriptor of a connection, if it has one.
func control(con net.Conn, use func(fd int)) {
	sys, ok := transport(con).(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sys.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { use(int(fd)) })
	}
}
