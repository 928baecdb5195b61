package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// client is a connection of a client.
type client struct {
	con net.Conn
	src *bufio.Reader
}

// dial opens a connection, with a receive buffer of the given size in bytes unless that is 0.
func dial(addr string, receiveBuffer int) (*client, error) {
	dlr := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	con, err := dlr.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{con: con, src: bufio.NewReaderSize(con, 1<<10)}, nil
}

// request returns the text of a request without a body.
func request(method, target, id, key string, budget time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", method, target, id, budget.Milliseconds(), key)
}

// requestWithBody returns the text of the head of a request with a body of a length.
func requestWithBody(method, target, id, key string, budget time.Duration, length int) string {
	return strings.TrimSuffix(request(method, target, id, key, budget), "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// answer is what a client got. err is set if there was no complete answer.
type answer struct {
	status int
	id     string
	signed bool
	bytes  int64
	err    error
}

func (ans answer) String() string {
	if ans.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v", ans.status, ans.bytes, ans.err)
	}
	return fmt.Sprintf("status %d, %d bytes", ans.status, ans.bytes)
}

// read reads the next answer whole.
func (cli *client) read() answer {
	rsp, err := http.ReadResponse(cli.src, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rsp.Body.Close() }()
	cnt, err := io.Copy(io.Discard, rsp.Body)
	return answer{status: rsp.StatusCode, id: rsp.Header.Get("Attempt-Id"), signed: rsp.Header.Get("Response-Signature") != "", bytes: cnt, err: err}
}

// ask sends a request and reads its answer.
func (cli *client) ask(text string, within time.Duration) answer {
	_ = cli.con.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(cli.con, text); err != nil {
		return answer{err: err}
	}
	return cli.read()
}
