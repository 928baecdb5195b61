package http1

import (
	"io"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// lingerTime is how long the caller has to close its side, or to take more of the last response. It
	// is longer than the 350 ms between the refusals at the deadline of a graceful stop and the moment
	// at which open connections are cut (deadlineMargin and cutMargin of package edge). A connection
	// that lingers after such a refusal may therefore be counted as open and cut.
	lingerTime = 400 * time.Millisecond
	// lingerBytes is how many bytes of input are discarded at most.
	lingerBytes = 1 << 20
)

// lingerClose closes the sending side and discards up to lingerBytes of input, until the caller
// closes its side or has taken nothing more of the response for lingerTime. If the connection were
// closed at once, input that nobody reads would reset it, and the caller could lose the end of the
// last response.
func (con *conn) lingerClose() {
	if half, ok := con.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	input := io.LimitReader(con.raw, lingerBytes)
	left, known := socket.Unacknowledged(con.raw)
	for {
		_ = con.raw.SetReadDeadline(time.Now().Add(lingerTime))
		if _, err := io.Copy(io.Discard, input); !isTimeout(err) || !known {
			return
		}
		before := left
		if left, known = socket.Unacknowledged(con.raw); !known || left == 0 || left >= before {
			return
		}
	}
}
