package target

import (
	"errors"
	"io"
	"net/http"
)

// Response is the response of a target. Its Body must be closed.
type Response struct {
	*http.Response
	// BodyPrefix is the buffered first part of the body; see Settings.BodyPrefixBytes.
	BodyPrefix []byte
	// complete is set if BodyPrefix is the whole body.
	complete bool
	// readError is the error with which reading the body ended, if any.
	readError error
	// portClosed checks the port of the target; see PortClosed.
	portClosed func() bool
}

// Rest returns a reader of the body after BodyPrefix, or nil if nothing is left.
func (rsp *Response) Rest() io.Reader {
	if rsp.complete {
		return nil
	}
	return rsp
}

// Read reads the body after BodyPrefix.
func (rsp *Response) Read(buf []byte) (int, error) {
	cnt, err := rsp.Body.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		rsp.readError = err
	}
	return cnt, err
}

// ReadError returns the error with which Read ended, or nil.
func (rsp *Response) ReadError() error { return rsp.readError }

// PortClosed reports whether the target closed the connection before the end of the body and now
// refuses a new one: its process is gone.
func (rsp *Response) PortClosed() bool {
	return rsp.portClosed != nil && closedByPeer(rsp.readError) && rsp.portClosed()
}

// Length returns the length of the whole body, or -1 if it is not known.
func (rsp *Response) Length() int64 {
	if rsp.complete {
		return int64(len(rsp.BodyPrefix))
	}
	return rsp.ContentLength
}

// buffer reads on until BodyPrefix has limit bytes or is the whole body.
func (rsp *Response) buffer(limit int) error {
	more := limit - len(rsp.BodyPrefix)
	if more <= 0 {
		return nil
	}
	part, err := io.ReadAll(io.LimitReader(rsp.Body, int64(more)))
	rsp.BodyPrefix = append(rsp.BodyPrefix, part...)
	rsp.complete = err == nil && len(part) < more
	return err
}

// NewResponse returns a response with a buffered first part of its body, which is the whole body if
// complete is set.
func NewResponse(raw *http.Response, prefix []byte, complete bool) *Response {
	return &Response{Response: raw, BodyPrefix: prefix, complete: complete}
}
