package http1

import (
	"net"
	"time"
)

// maxWriteBytes is how many bytes are handed to the kernel at a time. Each such part has a deadline of
// its own.
const maxWriteBytes = 16 << 10

// progressWriter writes to a caller's connection. A write fails if the caller takes no part of
// maxWriteBytes within timeout; the whole of it may take longer.
type progressWriter struct {
	raw     net.Conn
	timeout time.Duration
	// sent is called before bytes are handed to the kernel, and after that with their number.
	sent func(cnt int)
	// written counts the bytes that were handed to the kernel.
	written int64
	// failed is set once a write has failed. The connection may carry a part of what was to be written.
	failed bool
}

// Write writes all bytes, or returns the error with which the connection failed.
func (wrt *progressWriter) Write(buf []byte) (int, error) {
	done, err := wrt.write(buf)
	wrt.failed = wrt.failed || err != nil
	return done, err
}

func (wrt *progressWriter) write(buf []byte) (int, error) {
	done := 0
	for {
		if err := wrt.raw.SetWriteDeadline(time.Now().Add(wrt.timeout)); err != nil {
			return done, err
		}
		wrt.sent(0)
		cnt, err := wrt.raw.Write(buf[done:min(done+maxWriteBytes, len(buf))])
		wrt.sent(cnt)
		wrt.written += int64(cnt)
		done += cnt
		if err != nil || done == len(buf) {
			return done, err
		}
	}
}
