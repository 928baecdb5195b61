package target

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// errStatusLine is returned for what does not begin as a response. It ends the attempt as one that may have run.
var errStatusLine = errors.New("the target sent no valid status line")

// statusLineBytes is the length of a status line up to the byte after the status: "HTTP/1.1 200 ".
const statusLineBytes = 13

// The positions of the parts of a status line.
const (
	versionAt = len("HTTP/1.")
	statusAt  = len("HTTP/1.1 ")
	statusEnd = len("HTTP/1.1 200")
)

// checkStatusLine checks the status line that comes next, without reading it, and fails as soon as it is known to be
// invalid. net/http also takes other versions, signs, and every number of three digits, of which those below 200
// would pass for interim responses.
func checkStatusLine(src *bufio.Reader) error {
	for size := 1; size <= statusLineBytes; size++ {
		line, err := src.Peek(size)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !validStatusByte(line) {
			return fmt.Errorf("%w: it begins with %q", errStatusLine, line)
		}
	}
	return nil
}

// validStatusByte reports whether the last byte of the start of a status line is valid, if the ones before are.
func validStatusByte(line []byte) bool {
	at := len(line) - 1
	chr := line[at]
	switch {
	case at == versionAt:
		return chr == '0' || chr == '1'
	case at < statusAt:
		return chr == "HTTP/1.1 "[at]
	case at == statusAt && chr == '1':
		return line[versionAt] == '1' // HTTP/1.0 has no interim responses.
	case at == statusAt:
		return chr >= '2' && chr <= '5'
	case at < statusEnd:
		return chr >= '0' && chr <= '9'
	}
	return chr == ' ' || chr == '\r' || chr == '\n'
}

// readResponse reads a head that begins with a valid status line.
func readResponse(src *bufio.Reader, req *http.Request) (*http.Response, error) {
	if err := checkStatusLine(src); err != nil {
		return nil, err
	}
	return http.ReadResponse(src, req)
}
