package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/platform/pkg/objects"
)

const (
	// dialTimeout bounds the opening of a connection, and also how long the rest of the
	// logs of a process that has exited is read.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns is the largest number of idle connections that callers keep to a VM.
	maxIdleConns = 1000
	// peekTimeout bounds the check whether an idle connection is still open.
	peekTimeout = time.Millisecond
	// closeRaceTime is how long after a request was written, and the caller began to read, the VM
	// may close the connection without having read the request. It is also the margin by which a pause counts
	// as longer than it is.
	closeRaceTime = 200 * time.Millisecond
	// disruptionTime is how long after a pause or a kill cut connections are accepted.
	disruptionTime = 3 * time.Second
)

// conn is a connection of callers to a VM. It is kept until the VM closes it.
// Requests are never sent again, so that no cut connection goes unnoticed.
type conn struct {
	raw net.Conn
	rdr *bufio.Reader
	// pause is how long an exchange waits before it reads the responses.
	pause time.Duration
}

// connect returns an idle connection to the VM, or a new one.
func (prc *process) connect() (*conn, error) {
	for {
		select {
		case con := <-prc.idleConns:
			if con.isOpen() {
				return con, nil
			}
			_ = con.raw.Close()
		default:
			return dial(prc)
		}
	}
}

func dial(prc *process) (*conn, error) {
	raw, err := net.DialTimeout("tcp", prc.set.CallerAddress, dialTimeout)
	return &conn{raw: raw, rdr: bufio.NewReader(raw)}, err
}

// isOpen reports whether the VM has not closed the connection.
func (con *conn) isOpen() bool {
	_ = con.raw.SetReadDeadline(time.Now().Add(peekTimeout))
	_, err := con.rdr.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// errConnClosing is the error of pipelined requests after a response with which the VM
// closes the connection.
var errConnClosing = errors.New("an earlier response closed the connection")

// exchange sends requests at once, pipelined, and reads their responses. It reports
// whether the connection can be kept.
func (con *conn) exchange(reqs []sentRequest, key string) bool {
	wrt := bufio.NewWriter(con.raw)
	var err error
	for idx := range reqs {
		err = errors.Join(err, reqs[idx].write(wrt, key))
	}
	err = errors.Join(err, wrt.Flush())
	_ = con.raw.SetReadDeadline(time.Now().Add(requestTimeout + time.Second))
	time.Sleep(con.pause)
	readingFrom := time.Now() // Until then a close is not noticed.
	for idx := range reqs {
		req, closing := &reqs[idx], false
		if err == nil {
			closing, err = con.readResponse(req)
		}
		if err != nil {
			req.fail(readingFrom, idx > 0, err)
		} else if closing {
			err = errConnClosing
		}
	}
	if err != nil {
		_ = con.raw.Close()
	}
	return err == nil
}

// readResponse reads the whole response to a request. closing is set if the VM closes the
// connection after it.
func (con *conn) readResponse(req *sentRequest) (closing bool, err error) {
	rsp, err := http.ReadResponse(con.rdr, nil)
	for err == nil && rsp.StatusCode == http.StatusContinue {
		_ = rsp.Body.Close()
		rsp, err = http.ReadResponse(con.rdr, nil)
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = rsp.Body.Close() }()
	req.response, err = playground.ReadResponse(rsp)
	nms := objects.Names()
	req.limits, req.leaving = strings.Join(rsp.Header.Values(nms.RateLimit), ","), rsp.Header.Get(nms.Leaving)
	req.endedAt = time.Now()
	return rsp.Close, err
}

func (req *sentRequest) write(dst io.Writer, key string) error {
	method := http.MethodGet
	switch {
	case req.nonIdempotent:
		method = http.MethodPost
	case req.upload > 0:
		method = http.MethodPut
	}
	httpReq, err := playground.NewRequest(context.Background(), req.vm.set.CallerAddress, method, req.path, req.id, key, requestTimeout)
	if err == nil {
		if req.upload > 0 {
			httpReq.Body, httpReq.ContentLength = io.NopCloser(strings.NewReader(targetfake.UploadBody(req.id, req.upload))), int64(req.upload)
			httpReq.Header.Set("Expect", "100-continue")
		}
		if req.crash != "" {
			httpReq.Body, httpReq.ContentLength = http.NoBody, 0 // It asks for the same each time.
		}
		err = httpReq.Write(dst)
	}
	return err
}

// fail records that the connection ended before the whole response was read. This is
// accepted if the VM was paused or killed shortly before, or the request had timed out.
func (req *sentRequest) fail(readingFrom time.Time, pipelined bool, err error) {
	req.failed = true
	now := time.Now()
	if now.Sub(req.at) < requestTimeout && !req.vm.disruptedUntil.after(req.at.Add(-disruptionTime)) {
		req.cutReason = fmt.Sprintf("cut at %s, %v after it was sent: %v", formatTime(now), now.Sub(req.at), err)
		req.maybeUnread = pipelined || now.Sub(readingFrom) <= closeRaceTime
	}
}

// formatTime formats a time of day like the logs of VMs.
func formatTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }
