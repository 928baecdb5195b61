package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is how a client attempt ended.
type outcome struct {
	// status is 0 if no complete answer came.
	status    int
	signature string
	body      string
	err       error
	sentAt    time.Time
	took      time.Duration
}

func (out outcome) String() string {
	if out.err != nil {
		return fmt.Sprintf("no whole answer after %v: %v", out.took.Round(time.Millisecond), out.err)
	}
	return fmt.Sprintf("status %d, signature %q, after %v", out.status, out.signature, out.took.Round(time.Millisecond))
}

// attempt is one client attempt.
type attempt struct {
	method, target, host, id, key, body string
	budget                              time.Duration
}

func (att attempt) bytes() string {
	var txt strings.Builder
	fmt.Fprintf(&txt, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", att.method, att.target, att.host, att.id, att.budget.Milliseconds())
	if att.key != "" {
		fmt.Fprintf(&txt, "Authorization: Bearer %s\r\n", att.key)
	}
	if att.body != "" || att.method == http.MethodPost {
		fmt.Fprintf(&txt, "Content-Length: %d\r\n", len(att.body))
	}
	return txt.String() + "\r\n" + att.body
}

var errStatus = errors.New("a status that is none")

// send makes an attempt on a new connection and records it.
func (rec *record) send(address string, att attempt) outcome {
	out := rec.sendQuietly(address, att)
	rec.printf("client: %s %s, id %s, at %s: %v", att.method, att.target, att.id, address, out)
	return out
}

// sendQuietly makes an attempt on a new connection.
func (*record) sendQuietly(address string, att attempt) outcome {
	out := outcome{sentAt: time.Now()}
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.err = err
	} else {
		defer func() { _ = con.Close() }()
		out = exchange(con, bufio.NewReader(con), att)
	}
	return out
}

// exchange sends an attempt and reads its answer.
func exchange(con net.Conn, rdr *bufio.Reader, att attempt) (out outcome) {
	out.sentAt = time.Now()
	defer func() { out.took = time.Since(out.sentAt) }()
	_ = con.SetDeadline(out.sentAt.Add(att.budget))
	if _, out.err = io.WriteString(con, att.bytes()); out.err != nil {
		return out
	}
	return readAnswer(rdr, att, out)
}

// readAnswer reads the answer to an attempt that was sent.
func readAnswer(rdr *bufio.Reader, att attempt, out outcome) outcome {
	rsp, err := http.ReadResponse(rdr, &http.Request{Method: att.method})
	if err != nil {
		out.err = err
		return out
	}
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		out.err = fmt.Errorf("status %d, broken off after %d bytes: %w", rsp.StatusCode, len(body), err)
		return out
	}
	if rsp.StatusCode < 100 {
		out.err = errStatus
		return out
	}
	out.status, out.signature, out.body = rsp.StatusCode, rsp.Header.Get("Response-Signature"), string(body)
	return out
}
