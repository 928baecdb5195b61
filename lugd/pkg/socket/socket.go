// Package socket sets and reads TCP socket options that tell whether the other end is alive.
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
// connections whose sent bytes stay unacknowledged for longer than dur.
func UserTimeout(dur time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var serr error
		err := raw.Control(func(fd uintptr) {
			serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(dur.Milliseconds()))
		})
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

// Unacknowledged returns how many sent bytes the other end of a TCP or TLS connection has not
// acknowledged. known is false if the kernel does not tell.
func Unacknowledged(con net.Conn) (count int, known bool) {
	if tls, ok := con.(interface{ NetConn() net.Conn }); ok {
		con = tls.NetConn()
	}
	sys, ok := con.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		var uerr error
		count, uerr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		known = uerr == nil
	})
	return count, err == nil && known
}
