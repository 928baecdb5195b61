package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
)

// exchange is one request on one connection.
type exchange struct {
	con    *conn
	cancel context.CancelFunc
	// label is repeated in the answer; empty where none was sent.
	label string
	// stop cancels the closing of the connection by the context.
	stop func() bool
	// written receives the result of writing the request.
	written chan error
}

// writers holds buffered writers for reuse.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

func (exc *exchange) write(req *http.Request) {
	wrt, ok := writers.Get().(*bufio.Writer)
	if !ok {
		wrt = bufio.NewWriterSize(nil, bufferSize)
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
	if err != nil {
		// The target must not take a request that was cut short for a whole one.
		_ = exc.con.Close()
	}
	exc.written <- err
}

func (exc *exchange) readHead(req *http.Request) (*http.Response, error) {
	for range maxResponseHeads {
		rsp, err := http.ReadResponse(exc.con.reader, req)
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
			// The late answer to an earlier request comes before this one's.
			if _, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxMismatchedBytes)); err != nil {
				return nil, errMismatched
			}
			continue
		}
		return rsp, nil
	}
	return nil, errInterim
}

// mismatched reports whether an answer belongs to another request. Only a refusal
// to run may come without the label.
func (exc *exchange) mismatched(rsp *http.Response) bool {
	nms := exc.con.pool.set.Names
	if nms.Request == "" || exc.label == "" {
		return false
	}
	label := rsp.Header.Get(nms.Request)
	if label == "" {
		return rsp.Header.Get(nms.NotRun) == "" && rsp.StatusCode != http.StatusMisdirectedRequest
	}
	return label != exc.label
}

// maxMismatchedBytes bounds the length in bytes of an answer that is skipped.
const maxMismatchedBytes = 1 << 20

// closeDelimited reports whether the end of the answer is marked only by the end of
// the connection, so that an answer cut short would look whole.
func closeDelimited(rsp *http.Response, method string) bool {
	if method == http.MethodHead || rsp.StatusCode == http.StatusNoContent || rsp.StatusCode == http.StatusNotModified {
		return false
	}
	return rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0
}

// cause returns why an exchange failed. One that was given up fails for that and
// not for the closing of its connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil || err == nil {
		return errCanceled
	}
	return err
}

// writeResultTimeout is how long the goroutine that has sent a request may take to say so.
const writeResultTimeout = time.Millisecond

// writeResult returns how the sending of the request ended. It is not done where the
// writer still waits for the caller's body; the head has been sent then.
func (exc *exchange) writeResult() (done bool, err error) {
	select {
	case err := <-exc.written:
		return true, err
	case <-time.After(writeResultTimeout):
		return false, nil
	}
}

// fail ends the exchange before an answer and waits until the request is no
// longer read, so that the verdict is final.
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
	return &Error{Verdict: verdict.MayHaveRun, Outcome: outcome, Err: fmt.Errorf("target %s: %w", exc.con.address, err)}
}

// body is the body of an answer. It gives the connection back at its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	reusable bool
	complete bool
	// closed is set once the exchange has ended; the connection may serve
	// another one since.
	closed bool
}

// Read notes the end of the body. It fails when the target sends nothing for
// the longest pause allowed.
func (bod *body) Read(buf []byte) (int, error) {
	if err := bod.exchange.con.SetReadDeadline(time.Now().Add(bod.exchange.con.pool.set.BodyIdleTimeout)); err != nil {
		return 0, err
	}
	cnt, err := bod.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		bod.complete = true
	}
	return cnt, err
}

// Close ends the exchange and keeps the connection only if both the request
// and the answer have gone over it to their ends.
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
	if kept && exc.con.SetReadDeadline(time.Time{}) == nil {
		exc.con.pool.putIdle(exc.con)
	} else {
		exc.stop()
		_ = exc.con.Close()
	}
	exc.cancel()
	return nil
}
