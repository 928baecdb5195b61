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

// response is an answer to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest follows body where the answer is longer than what is held.
	rest io.Reader
	// length is that of body and rest together, or -1 where it is not known.
	length int64
	// bodiless is set where the answer has no body by its nature.
	bodiless bool
	// noChunks is set for callers that do not understand chunks.
	noChunks bool
	close    bool
}

// write sends the answer up to its end. An answer without known length is sent
// in chunks, so that the caller sees where it was cut.
func (rsp *response) write(wrt *bufio.Writer) error {
	hdr := rsp.header
	chunked := !rsp.bodiless && rsp.length < 0 && !rsp.noChunks
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

func (rsp *response) writeChunks(wrt *bufio.Writer) error {
	if err := writeChunk(wrt, rsp.body); err != nil {
		return err
	}
	if rsp.rest != nil {
		buf := make([]byte, relayBuffer)
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

const relayBuffer = 16 << 10

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

// problem is the body of a refusal by RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
}

const problemType = "about:blank"

// refusalResponse returns the answer for a refusal of the request with a label.
func refusalResponse(nms header.Names, ref request.Refusal, label string) *response {
	sta := ref.Reason.Status()
	hdr := make(http.Header)
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(verdict.Header, ref.Verdict.String())
	if label != "" && nms.Request != "" {
		hdr.Set(nms.Request, label)
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
		panic(err) // A struct of strings and numbers always encodes.
	}
	return &response{status: sta, header: hdr, body: body, length: int64(len(body))}
}

// formatSeconds returns seconds with decimals, rounded up to milliseconds.
func formatSeconds(dur time.Duration) string {
	up := (dur + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(up.Seconds(), 'f', -1, 64)
}
