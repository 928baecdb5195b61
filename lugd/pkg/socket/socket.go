// Package socket sets the options of TCP sockets by which connections that have
// gone silent are noticed.
package socket

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// UserTimeout returns a control function for dialers and listeners that ends
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

// KeepAlive returns probes that find a silent connection dead in about dur.
func KeepAlive(dur time.Duration) net.KeepAliveConfig {
	const probes = 3
	interval := max((dur / (probes + 1)).Round(time.Second), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}
