package http1

import (
	"io"
	"net"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// lingerTime is how long the caller has to close its side once it has taken the last response. It
	// is longer than the 350 ms between the refusals at the deadline of a graceful stop and the moment
	// at which open connections are cut (deadlineMargin and cutMargin of package edge). A connection
	// that lingers after such a refusal may therefore be counted as open and cut.
	lingerTime = 400 * time.Millisecond
	// lingerBytes is how many bytes of input are discarded at most.
	lingerBytes = 1 << 20
	// deliveryInterval is the time between two looks at what the caller has taken.
	deliveryInterval = 100 * time.Millisecond
)

// delivery tells how far the responses that were written have reached the caller.
type delivery struct {
	// left is how many bytes the caller's kernel has not acknowledged.
	left int
	// progressAt is when left last became smaller, or was 0.
	progressAt time.Time
}

// with returns the delivery after a look at the connection.
func (dlv delivery) with(left int, now time.Time) delivery {
	if left == 0 || left < dlv.left || dlv.progressAt.IsZero() {
		dlv.progressAt = now
	}
	dlv.left = left
	return dlv
}

// stalled reports whether the caller has taken nothing for longer than a timeout.
func (dlv delivery) stalled(now time.Time, timeout time.Duration) bool {
	return dlv.left > 0 && now.Sub(dlv.progressAt) > timeout
}

// awaitsDelivery reports whether the caller has yet to take a part of what was written, and has not stalled. Only the
// goroutine that serves the connection may call it.
func (con *conn) awaitsDelivery() bool {
	left, known := socket.Unacknowledged(con.raw)
	if !known {
		return false
	}
	now := time.Now()
	con.delivery = con.delivery.with(left, now)
	return left > 0 && !con.delivery.stalled(now, con.srv.writeTimeout)
}

// shutDown closes the connection after its last response. What the caller has not taken yet is lost only if it takes
// nothing for the server's write timeout, or if the process exits.
func (con *conn) shutDown() {
	if con.ctx.Err() == nil && (con.isCloseAnnounced() || con.awaitsDelivery()) {
		con.linger()
	}
	con.cancel()
	if con.delivery.left > 0 {
		con.reset() // The kernel would go on to hold it.
		return
	}
	_ = con.raw.Close()
}

// reset closes the connection at once. What the caller has not taken is lost, and the caller can tell.
func (con *conn) reset() {
	raw := con.transport()
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

// linger closes the sending side and discards input until the caller has closed its side, has had lingerTime to do so
// after it has taken everything, or has stalled. If the connection were closed at once, input that nobody reads would
// reset it, and the caller would lose what it has not taken.
func (con *conn) linger() {
	if half, ok := con.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	con.awaitDelivery()
}

// awaitDelivery discards input until the caller has closed its side, has taken everything and had lingerTime to close, or
// has stalled.
func (con *conn) awaitDelivery() {
	input := &io.LimitedReader{R: con.raw, N: lingerBytes}
	var takenAt time.Time
	for {
		if !con.discardFor(deliveryInterval, input) {
			return
		}
		if con.awaitsDelivery() {
			takenAt = time.Time{}
			continue
		}
		now := time.Now()
		if takenAt.IsZero() {
			takenAt = now
		}
		if con.delivery.left > 0 || input.N <= 0 || now.Sub(takenAt) >= lingerTime {
			return
		}
	}
}

// discardFor reads and discards input for a time. It reports false once the caller has closed its side. Input beyond
// the limit stays unread, so that the caller cannot send on.
func (con *conn) discardFor(dur time.Duration, input *io.LimitedReader) bool {
	if input.N <= 0 {
		time.Sleep(dur)
		return true
	}
	_ = con.raw.SetReadDeadline(time.Now().Add(dur))
	_, err := io.Copy(io.Discard, input)
	return isTimeout(err) || err == nil && input.N <= 0
}

// transport returns the connection below TLS, or the connection itself.
func (con *conn) transport() net.Conn {
	if tls, ok := con.raw.(interface{ NetConn() net.Conn }); ok {
		return tls.NetConn()
	}
	return con.raw
}
