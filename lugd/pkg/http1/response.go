package http1

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/header"
)

// response is an HTTP response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest is the part of the body that follows body, or nil.
	rest io.Reader
	// length is that of body and rest together, in bytes, or -1 if it is not known.
	length int64
	// bodiless is set if HTTP allows no body: for HEAD requests and status 204 and 304.
	bodiless bool
	// noChunks is set for HTTP/1.0 callers, which don't understand the chunked encoding.
	noChunks bool
	// close adds "Connection: close".
	close bool
}

// write writes the whole response. Without a known length it is sent in chunks, so that the caller
// can tell if it was cut short.
func (rsp *response) write(wrt *bufio.Writer) error {
	hdr := rsp.header
	chunked := rsp.hasUnknownLength() && !rsp.noChunks
	switch {
	case chunked:
		hdr.Del("Content-Length")
		hdr.Set("Transfer-Encoding", "chunked")
	case !rsp.bodiless && rsp.length >= 0:
		hdr.Set("Content-Length", strconv.FormatInt(rsp.length, 10))
	}
	if rsp.close {
		hdr.Set("Connection", "close")
	}
	if _, err := fmt.Fprintf(wrt, "HTTP/1.1 %03d %s\r\n", rsp.status, http.StatusText(rsp.status)); err != nil {
		return err
	}
	if err := hdr.Write(wrt); err != nil {
		return err
	}
	if _, err := wrt.WriteString("\r\n"); err != nil || rsp.bodiless {
		return err
	}
	if chunked {
		return rsp.writeChunks(wrt)
	}
	if _, err := wrt.Write(rsp.body); err != nil {
		return err
	}
	if rsp.rest == nil {
		return nil
	}
	cnt, err := io.Copy(wrt, rsp.rest)
	if err == nil && rsp.length >= 0 && cnt+int64(len(rsp.body)) != rsp.length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// hasUnknownLength reports whether there is a body whose length is not known when the head is written.
func (rsp *response) hasUnknownLength() bool { return !rsp.bodiless && rsp.length < 0 }

// endsWithConnection reports whether the end of the body is that of the connection.
func (rsp *response) endsWithConnection() bool { return rsp.hasUnknownLength() && rsp.noChunks }

// writeChunks writes the body with the chunked encoding, and flushes each part of rest as it comes.
func (rsp *response) writeChunks(wrt *bufio.Writer) error {
	if err := writeChunk(wrt, rsp.body); err != nil {
		return err
	}
	if rsp.rest != nil {
		buf := make([]byte, relayBufferBytes)
		for {
			cnt, err := rsp.rest.Read(buf)
			if werr := writeChunk(wrt, buf[:cnt]); werr != nil {
				return werr
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			if err := wrt.Flush(); err != nil {
				return err
			}
		}
	}
	_, err := wrt.WriteString("0\r\n\r\n")
	return err
}

// relayBufferBytes is the size of the buffer for reading rest, in bytes.
const relayBufferBytes = 16 << 10

func writeChunk(wrt *bufio.Writer, chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(wrt, "%x\r\n", len(chunk)); err != nil {
		return err
	}
	if _, err := wrt.Write(chunk); err != nil {
		return err
	}
	_, err := wrt.WriteString("\r\n")
	return err
}

// problem is the body of a refusal: the problem details of RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
}

const problemType = "about:blank"

// refusalResponse returns the response for a refusal of the request with this ID, as its caller
// gave it; an empty ID is left out.
func refusalResponse(nms header.Names, ref request.Refusal, callerRequestID string) *response {
	sta := ref.Reason.Status()
	hdr := make(http.Header)
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(verdict.Header, ref.Verdict.String())
	if callerRequestID != "" && nms.Request != "" {
		hdr.Set(nms.Request, callerRequestID)
	}
	if sta == http.StatusUnauthorized {
		hdr.Set("WWW-Authenticate", "Bearer")
	}
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", formatSeconds(ref.RetryAfter))
	}
	body, err := json.Marshal(problem{
		Type: problemType, Title: http.StatusText(sta), Status: sta, Detail: ref.Detail, Reason: string(ref.Reason), Verdict: ref.Verdict.String(),
	})
	if err != nil {
		panic(err) // Encoding a struct of strings and numbers cannot fail.
	}
	return &response{status: sta, header: hdr, body: body, length: int64(len(body))}
}

// formatSeconds returns a duration in seconds, with decimals, rounded up to milliseconds.
func formatSeconds(dur time.Duration) string {
	up := (dur + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(up.Seconds(), 'f', -1, 64)
}
