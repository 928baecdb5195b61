package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// The states of a TCP connection that TCP_INFO tells, as Linux numbers them.
const (
	tcpClosed    = 7
	tcpCloseWait = 8
	tcpLastACK   = 9
)

// End is how the other end of a connection has ended its side.
type End int

const (
	// EndUnknown means that the kernel does not tell, or that the connection is closed on this side.
	EndUnknown End = iota
	// EndInOrder means that the other end has sent all it had to send, and all of it has arrived.
	EndInOrder
	// EndClosed means that the kernel has given the connection up, mostly for a reset. The other end may have ended its side in
	// order before that.
	EndClosed
)

// EndOf returns how the other end of a TCP connection has ended its side. It does not take the pending error of the
// connection, which the kernel gives only once.
func EndOf(con net.Conn) End {
	end := EndUnknown
	control(con, func(fd int) {
		inf, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch inf.State {
		case tcpCloseWait, tcpLastACK:
			end = EndInOrder
		case tcpClosed:
			end = EndClosed
		}
	})
	return end
}
