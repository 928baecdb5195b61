package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/socket"
)

// exchange is one request on one connection.
type exchange struct {
	con    *conn
	cancel context.CancelFunc
	// callerRequestID is the request's ID as its caller gave it, which the response must repeat;
	// empty if the caller gave none.
	callerRequestID string
	// stop keeps the end of the context from closing the connection. It returns false if the context
	// has ended already.
	stop func() bool
	// written is closed once the request has been written or writing it has failed, with writeError set.
	written    chan struct{}
	writeError error
}

// writers holds buffered writers for reuse.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}

// write sends the request, records the result and closes exc.written. If the connection has failed, what has arrived of the
// response can still be read.
func (exc *exchange) write(req *http.Request) {
	wrt, ok := writers.Get().(*bufio.Writer)
	if !ok {
		wrt = bufio.NewWriterSize(nil, connBufferBytes)
	}
	wrt.Reset(exc.con)
	defer func() {
		wrt.Reset(nil)
		writers.Put(wrt)
	}()
	err := req.Write(wrt)
	if err == nil {
		err = wrt.Flush()
	}
	if err != nil && exc.con.writeFailure() == nil {
		// The target must not take a request that was cut short for a complete one.
		_ = exc.con.Close()
	}
	exc.writeError = err
	close(exc.written)
}

// readHead reads the head of the response; its body is still to be read. It skips interim (1xx)
// responses and late responses to earlier requests.
func (exc *exchange) readHead(req *http.Request) (*http.Response, error) {
	for range maxResponseHeads {
		exc.con.headBytesLeft = maxHeadBytes
		rsp, err := readResponse(exc.con.reader, req)
		exc.con.headBytesLeft = unlimitedHead
		switch {
		case err != nil:
			return nil, fmt.Errorf("cannot read the answer of target %s: %w", exc.con.address, err)
		case rsp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case rsp.StatusCode < http.StatusOK:
			continue
		case closeDelimited(rsp, req.Method) && !exc.con.pool.set.AllowCloseDelimited:
			return nil, errCloseDelimited
		case exc.mismatched(rsp):
			// This is a late response to an earlier request; the one to this request follows.
			if err := skipBody(rsp.Body); err != nil {
				return nil, err
			}
			continue
		}
		return rsp, nil
	}
	return nil, errTooManyHeads
}

// mismatched reports whether a response belongs to another request, by the request ID in its
// headers. Only a refusal to run the request may come without one, and only on a connection that has
// carried no earlier request: otherwise it may be a late refusal of that one.
func (exc *exchange) mismatched(rsp *http.Response) bool {
	nms := exc.con.pool.set.Names
	if nms.Request == "" || exc.callerRequestID == "" {
		return false
	}
	requestID := rsp.Header.Get(nms.Request)
	if requestID == "" {
		refused := rsp.Header.Get(nms.NotRun) != "" || rsp.StatusCode == http.StatusMisdirectedRequest
		return !refused || exc.con.idleBefore > 0
	}
	return requestID != exc.callerRequestID
}

// skipBody reads the body of a mismatched response to its end. What follows the part that was read of
// a longer one must not be taken for the next response.
func skipBody(src io.Reader) error {
	cnt, err := io.Copy(io.Discard, io.LimitReader(src, maxMismatchedBytes+1))
	if err != nil || cnt > maxMismatchedBytes {
		return errMismatched
	}
	return nil
}

// maxMismatchedBytes is the maximum size of the body of a mismatched response that is skipped.
const maxMismatchedBytes = 1 << 20

// closeDelimited reports whether only the end of the connection marks the end of the body, so that
// a response that was cut short would look complete.
func closeDelimited(rsp *http.Response, method string) bool {
	if method == http.MethodHead || rsp.StatusCode == http.StatusNoContent || rsp.StatusCode == http.StatusNotModified {
		return false
	}
	return rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0
}

// cause returns why an exchange failed: errCanceled if its context ended, since that closes the
// connection and so is the reason for err. If err is nil, the response has arrived, but the timeout
// has passed: this is errCanceled too.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil || err == nil {
		return errCanceled
	}
	return err
}

// writeResultTimeout is how long to wait for the goroutine that sends a request to report. It is
// reached only if reading the request's body blocks.
const writeResultTimeout = time.Second

// writeResult ends the sending of the request and returns its result. A goroutine that waits until
// the target takes more bytes fails at once; one that has sent everything reports success, however
// late it is scheduled. done is false if the goroutine has not reported in time; the head may have
// been sent.
func (exc *exchange) writeResult() (done bool, err error) {
	_ = exc.con.SetWriteDeadline(time.Now())
	return exc.awaitWritten(writeResultTimeout)
}

// awaitWritten waits until the request has been written, or writing it has failed, and returns the result. done is false if
// that takes longer than a timeout.
func (exc *exchange) awaitWritten(timeout time.Duration) (done bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-exc.written:
		return true, exc.writeError
	case <-timer.C:
		return false, nil
	}
}

// endTimeout is how long to wait, once the connection has ended, for the goroutine that sends the request to report that
// it has failed.
const endTimeout = 100 * time.Millisecond

// cut returns why the end of the connection, which was just read, is not the end of the response, or nil if it is. The
// error of a connection that was reset goes to whoever asks the kernel first, which may be the goroutine that sends the
// request; reading sees a plain end then. After an end in order, writing fails in another way.
func (exc *exchange) cut() error {
	if socket.EndOf(exc.con.Conn) == socket.EndInOrder {
		return nil
	}
	_, _ = exc.awaitWritten(endTimeout)
	if err := exc.con.writeFailure(); err != nil && !errors.Is(err, syscall.EPIPE) {
		return fmt.Errorf("the answer of target %s was cut: %w", exc.con.address, err)
	}
	return nil
}

// fail ends an exchange that has no usable response and returns its error. It closes the connection
// and waits up to writeResultTimeout for the goroutine that sends the request. Once that goroutine
// has reported, it no longer reads the request, and so the verdict is final.
func (exc *exchange) fail(err error) *Error {
	exc.stop()
	exc.cancel()
	_ = exc.con.Close()
	if done, werr := exc.writeResult(); done && werr != nil && exc.con.sent == 0 {
		return &Error{Verdict: verdict.NotRun, Outcome: health.Failure, Err: fmt.Errorf("cannot send to target %s: %w", exc.con.address, werr)}
	}
	outcome := health.Failure
	if errors.Is(err, errCanceled) {
		outcome = health.Overdue
	}
	if idle := exc.con.idleBefore; idle > 0 {
		err = fmt.Errorf("on a connection that was idle for %v before: %w", idle.Round(time.Millisecond), err)
	}
	return &Error{Verdict: verdict.MayHaveRun, Outcome: outcome, Err: fmt.Errorf("target %s: %w", exc.con.address, err)}
}

// end ends an exchange whose response is not used, and closes its connection.
func (exc *exchange) end() {
	exc.stop()
	exc.cancel()
	_ = exc.con.Close()
}

// body is the body of a response. Closing it returns the connection to the pool.
type body struct {
	io.ReadCloser
	exchange *exchange
	// reusable is set if the target keeps the connection open, and endsWithConn if only the end of the connection
	// marks that of the body.
	reusable, endsWithConn bool
	// late bounds what is read after the timeout of the request.
	late lateBudget
	// complete is set once the body has been read to its end.
	complete bool
	// closed is set once the exchange has ended; the connection may carry another one since.
	closed bool
}

// Read reads the body. It fails if the target sends nothing for Settings.BodyIdleTimeout, and with ErrOverdue once
// the target has exceeded the timeout of the request.
func (bod *body) Read(buf []byte) (int, error) {
	began := time.Now()
	left, err := bod.late.left(began)
	if err != nil {
		return 0, err
	}
	wait := min(left, bod.exchange.con.pool.set.BodyIdleTimeout)
	if err := bod.exchange.con.SetReadDeadline(began.Add(wait)); err != nil {
		return 0, err
	}
	cnt, err := bod.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) && bod.endsWithConn {
		if cut := bod.exchange.cut(); cut != nil {
			err = cut
		}
	}
	if errors.Is(err, io.EOF) {
		bod.complete = true
	}
	bod.late.spend(began, time.Now(), cnt)
	if errors.Is(err, os.ErrDeadlineExceeded) && bod.late.spent() {
		err = ErrOverdue
	}
	return cnt, err
}

// Close ends the exchange. The connection is kept only if both the request and the response have
// been transferred completely.
func (bod *body) Close() error {
	if bod.closed {
		return nil
	}
	bod.closed = true
	exc := bod.exchange
	kept := false
	if bod.complete && bod.reusable && exc.stop() {
		done, err := exc.writeResult()
		kept = done && err == nil
	}
	if kept && exc.con.SetDeadline(time.Time{}) == nil {
		exc.con.pool.putIdle(exc.con)
	} else {
		exc.stop()
		_ = exc.con.Close()
	}
	exc.cancel()
	return nil
}
