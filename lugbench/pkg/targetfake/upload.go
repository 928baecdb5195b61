package targetfake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// UploadParameter is the query parameter by which a request says how long its body is, which must be UploadBody then.
	UploadParameter = "upload"
	// EarlyParameter is the query parameter of an upload that is answered before its body is read: with a part of a body without a
	// length, and a reset.
	EarlyParameter = "early"
	// earlyBytes is how much of the body of an early answer is sent, and maxEarlyTime how long after that the reset comes at most.
	earlyBytes   = 1000
	maxEarlyTime = 80 * time.Millisecond
)

// UploadBody returns the body of an upload with a length in bytes. It has the text of another request, which must not be taken for one.
func UploadBody(request string, length int) string {
	line := fmt.Sprintf("GET /recipes/in-%s HTTP/1.1\r\nHost: h\r\n\r\n", request)
	return strings.Repeat(line, length/len(line)+1)[:length]
}

// readBody reads the body of a request, and records whether it is another one than its caller sent.
func (tgt *Target) readBody(req *http.Request) error {
	length, err := strconv.Atoi(req.URL.Query().Get(UploadParameter))
	if err != nil {
		_, err = io.Copy(io.Discard, req.Body)
		return err
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	id := req.Header.Get(tgt.names.Request)
	if string(raw) == UploadBody(id, length) {
		return nil
	}
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	for num := range tgt.runs {
		tgt.runs[num].Changed = tgt.runs[num].Changed || tgt.runs[num].Request == id
	}
	return nil
}

// answerEarly sends a part of an answer whose end only the end of its connection marks, and resets the connection.
func (tgt *Target) answerEarly(wrt http.ResponseWriter, req *http.Request) {
	con, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return // The VM has closed the connection.
	}
	defer func() { _ = con.Close() }()
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", tgt.names.Request, req.Header.Get(tgt.names.Request), strings.Repeat("x", earlyBytes))
	time.Sleep(rand.N(maxEarlyTime))
	if tcp, isTCP := con.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // So that closing resets.
	}
}
