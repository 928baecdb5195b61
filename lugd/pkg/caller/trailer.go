package caller

import (
	"errors"
	"io"
	"net/http"
)

// trailerCopier copies the permitted trailers of a request once its body has
// been read, and no others, since a late trailer may carry a key.
type trailerCopier struct {
	io.ReadCloser
	src http.Header
	dst http.Header
}

// Read copies the trailers at the end of the body.
func (cop *trailerCopier) Read(buf []byte) (int, error) {
	cnt, err := cop.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		for name := range cop.dst {
			cop.dst[name] = cop.src.Values(name)
		}
	}
	return cnt, err
}

// permittedTrailers returns the names of the announced trailers that may be
// passed on.
func permittedTrailers(announced http.Header) http.Header {
	var out http.Header
	for name := range announced {
		if carriesKey(name) {
			continue
		}
		if out == nil {
			out = make(http.Header)
		}
		out[name] = nil
	}
	return out
}
