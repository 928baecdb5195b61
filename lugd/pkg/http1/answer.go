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

// answer is an answer to a caller.
type answer struct {
	status int
	header http.Header
	body   []byte
	// rest follows body where the answer is longer than what is held.
	rest io.Reader
	// length is that of body and rest together, or -1 where it is not known.
	length int64
	// bodiless is set where the answer has no body by its nature.
	bodiless bool
	// plain is set for callers that do not understand chunks.
	plain bool
	close bool
}

// write sends the answer up to its end. An answer without known length is sent
// in chunks, so that the caller sees where it was cut.
func (ans *answer) write(wrt *bufio.Writer) error {
	hdr := ans.header
	chunked := !ans.bodiless && ans.length < 0 && !ans.plain
	switch {
	case chunked:
		hdr.Del("Content-Length")
		hdr.Set("Transfer-Encoding", "chunked")
	case !ans.bodiless && ans.length >= 0:
		hdr.Set("Content-Length", strconv.FormatInt(ans.length, 10))
	}
	if ans.close {
		hdr.Set("Connection", "close")
	}
	if _, err := fmt.Fprintf(wrt, "HTTP/1.1 %03d %s\r\n", ans.status, http.StatusText(ans.status)); err != nil {
		return err
	}
	if err := hdr.Write(wrt); err != nil {
		return err
	}
	if _, err := wrt.WriteString("\r\n"); err != nil || ans.bodiless {
		return err
	}
	if chunked {
		return ans.writeChunks(wrt)
	}
	if _, err := wrt.Write(ans.body); err != nil {
		return err
	}
	if ans.rest == nil {
		return nil
	}
	cnt, err := io.Copy(wrt, ans.rest)
	if err == nil && ans.length >= 0 && cnt+int64(len(ans.body)) != ans.length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (ans *answer) writeChunks(wrt *bufio.Writer) error {
	if err := writeChunk(wrt, ans.body); err != nil {
		return err
	}
	if ans.rest != nil {
		buf := make([]byte, relayBuffer)
		for {
			cnt, err := ans.rest.Read(buf)
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

func writeChunk(wrt *bufio.Writer, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(wrt, "%x\r\n", len(part)); err != nil {
		return err
	}
	if _, err := wrt.Write(part); err != nil {
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

// refusalAnswer returns the answer for a refusal of the request with a label.
func refusalAnswer(nms header.Names, ref request.Refusal, label string) *answer {
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
		hdr.Set("Retry-After", showSeconds(ref.RetryAfter))
	}
	body, err := json.Marshal(problem{
		Type: problemType, Title: http.StatusText(sta), Status: sta, Detail: ref.Detail, Reason: string(ref.Reason), Verdict: ref.Verdict.String(),
	})
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	return &answer{status: sta, header: hdr, body: body, length: int64(len(body))}
}

// showSeconds returns seconds with decimals, rounded up to milliseconds.
func showSeconds(dur time.Duration) string {
	up := (dur + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(up.Seconds(), 'f', -1, 64)
}
