package http1

import (
	"io"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// lingerTime is how long the caller has to close its side once it has taken the last response. It
	// is longer than the 350 ms between the refusals at the deadline of a graceful stop and the end of the wait
	// for open connections (deadlineMargin and cutMargin of package edge), so some are open when the process exits.
	lingerTime = 400 * time.Millisecond
	// lingerBytes is how many bytes of input are discarded at most.
	lingerBytes = 1 << 20
	// deliveryInterval is the time between two looks at what the caller has taken.
	deliveryInterval = 100 * time.Millisecond
)

// delivery tells how far the responses that were written have reached the caller.
type delivery struct {
	// left is how many bytes the caller's kernel has not acknowledged, and taken how many it has.
	left, taken int64
	// progressAt is when the caller was last seen to have taken more, or to have nothing to take.
	progressAt time.Time
}

// with returns the delivery after a look at the connection, to which a number of bytes have been written in all.
func (dlv delivery) with(written, left int64, now time.Time) delivery {
	taken := written - left
	if left == 0 || dlv.left == 0 || taken > dlv.taken {
		dlv.progressAt = now
	}
	dlv.left, dlv.taken = left, taken
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
	con.delivery = con.delivery.with(con.progress.written, int64(left), now)
	return left > 0 && !con.delivery.stalled(now, con.srv.writeTimeout)
}

// abort ends the connection after a response that could not be written whole: nothing more is written or read. The goroutine
// that serves the connection closes it. hidden is set if the caller would take the end of the connection for that of the response.
func (con *conn) abort(hidden bool) {
	con.mut.Lock()
	con.endHidden = hidden
	con.mut.Unlock()
	con.cancel()
	con.stopReading()
}

func (con *conn) isEndHidden() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.endHidden
}

// shutDown closes the connection after its last response. What the caller has not taken yet is lost only if it takes
// nothing for the server's write timeout, if the connection has failed, or if the process exits.
func (con *conn) shutDown() {
	con.dropRequest() // No more of it is read.
	hidden, stalled := con.isEndHidden(), con.progress.failed
	if !stalled && (con.isCloseAnnounced() || con.awaitsDelivery()) {
		if !hidden {
			con.closeWrite()
		}
		stalled = con.awaitDelivery()
	}
	con.cancel()
	if hidden || stalled {
		con.reset() // The kernel would go on to hold what a caller does not take.
		return
	}
	_ = con.raw.Close()
}

// closeWrite closes the sending side.
func (con *conn) closeWrite() {
	if half, ok := con.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// closeSilent closes the connection since the caller's machine does not answer.
func (con *conn) closeSilent() {
	con.srv.log.WithField("caller", con.raw.RemoteAddr().String()).Info("the machine of the caller does not answer; closing the connection")
	con.cancel()
	con.reset()
}

// reset closes the connection at once. What the caller has not taken is lost, and the caller can tell.
func (con *conn) reset() { socket.Reset(con.raw) }

// awaitDelivery discards input until the caller has closed its side, or has taken everything and had lingerTime to close. If
// the connection were closed at once, input that nobody reads would reset it, and the caller would lose what it has not
// taken. It reports whether the caller has stalled before.
func (con *conn) awaitDelivery() (stalled bool) {
	input := &io.LimitedReader{R: con.raw, N: lingerBytes}
	var takenAt time.Time
	for con.discardFor(deliveryInterval, input) {
		if con.awaitsDelivery() {
			takenAt = time.Time{}
			continue
		}
		now := time.Now()
		if takenAt.IsZero() {
			takenAt = now
		}
		if con.delivery.left > 0 {
			return true
		}
		if input.N <= 0 || now.Sub(takenAt) >= lingerTime {
			return false
		}
	}
	return false
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
