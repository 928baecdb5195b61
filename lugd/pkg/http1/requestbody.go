package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// firstSegmentBytes and maxSegmentBytes are the sizes of the first and of later parts in which a body is kept, in
	// bytes. Each part is twice as large as the one before, so that little is taken for a body that does not come.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
)

// readBody reads the body into memory, so that a request can be sent again and no target waits for
// a slow caller.
func (con *conn) readBody(req *http.Request, set Settings) error {
	if req.ContentLength == 0 {
		return nil
	}
	if req.ContentLength > set.BodyBytes {
		return errBodyTooLarge
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		con.awaitResponses() // 100 Continue must not overtake the responses to earlier requests.
		if err := con.ctx.Err(); err != nil {
			return err
		}
		if err := con.writeContinue(); err != nil {
			con.cancel()
			return err
		}
	}
	// The time starts here, since a caller that expects 100 Continue sends no body before it.
	if err := con.setReadDeadline(time.Now().Add(set.BodyTimeout)); err != nil {
		return err
	}
	bod, err := con.readSegments(req, set.BodyBytes)
	if err == nil {
		req.Body = bod
		return nil
	}
	if errors.Is(err, errNoMemory) || errors.Is(err, errBodyTooLarge) {
		return err
	}
	// A caller that is too slow, or whose body cannot be parsed, is still connected and gets a refusal behind the responses to
	// its earlier requests.
	if hasLeft(err) {
		con.cancel()
	}
	return &readError{err: err}
}

// hasLeft reports whether an error that reading a body ended with came from the connection, and not from what was read.
func hasLeft(err error) bool {
	if isTimeout(err) {
		return false
	}
	var net net.Error
	return errors.As(err, &net) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// readSegments reads the body of a request, which must not be longer than limit. It takes the memory of each part
// before it reads it.
func (con *conn) readSegments(req *http.Request, limit int64) (*bufferedBody, error) {
	var segments [][]byte
	total, size := int64(0), int64(firstSegmentBytes)
	src := io.LimitReader(req.Body, limit+1)
	for {
		if req.ContentLength >= 0 {
			size = min(size, req.ContentLength-total)
		}
		if !con.memory.Take(size) {
			return nil, errNoMemory
		}
		con.taken += size
		segment := make([]byte, size)
		cnt, err := con.readSegment(src, segment)
		if cnt > 0 {
			segments = append(segments, segment[:cnt])
		}
		total += int64(cnt)
		switch {
		case total > limit:
			return nil, errBodyTooLarge
		case total == req.ContentLength, req.ContentLength < 0 && errors.Is(err, io.EOF):
			return newBufferedBody(segments), nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxSegmentBytes)
	}
}

// readSegment fills a part of a body. The error is io.EOF at the end of the body, also if a part of segment is filled.
func (con *conn) readSegment(src io.Reader, segment []byte) (int, error) {
	done := 0
	for done < len(segment) {
		cnt, err := src.Read(segment[done:])
		done += cnt
		con.memory.Advance(int64(cnt))
		con.files.Advance(int64(cnt))
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// writeContinue asks the caller to send the body of its request. All earlier responses must have been
// written.
func (con *conn) writeContinue() error {
	if _, err := con.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return con.writer.Flush()
}

// bufferedBody is a request body in memory.
type bufferedBody struct {
	io.Reader
	segments [][]byte
}

func newBufferedBody(segments [][]byte) *bufferedBody {
	return &bufferedBody{Reader: &segmentReader{rest: segments}, segments: segments}
}

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// segmentReader reads a body from its parts, none of which is empty.
type segmentReader struct {
	rest [][]byte
	// at is how much of the first part has been read, in bytes.
	at int
}

// Read implements io.Reader.
func (rdr *segmentReader) Read(buf []byte) (int, error) {
	if len(rdr.rest) == 0 {
		return 0, io.EOF
	}
	cnt := copy(buf, rdr.rest[0][rdr.at:])
	if rdr.at += cnt; rdr.at == len(rdr.rest[0]) {
		rdr.rest, rdr.at = rdr.rest[1:], 0
	}
	return cnt, nil
}
