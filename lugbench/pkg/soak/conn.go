package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
)

const (
	// dialTime bounds the opening of a connection.
	dialTime = 500 * time.Millisecond
	// maxIdle bounds the connections that callers of a VM keep.
	maxIdle = 1000
	// peekTime is how long a kept connection is looked at before it is used.
	peekTime = time.Millisecond
	// crossTime is how long after its last byte a request may cross the close of
	// its connection, and hurtTime how long a pause or a kill explains cuts.
	crossTime = 200 * time.Millisecond
	hurtTime  = 3 * time.Second
)

// conn is a connection of callers to a VM. It is kept until the VM closes it.
// Nothing is sent twice, so that no cut is hidden.
type conn struct {
	raw net.Conn
	rdr *bufio.Reader
}

// connect returns a connection to the VM that is open and not in use.
func (prc *process) connect() (*conn, error) {
	for {
		select {
		case con := <-prc.idle:
			if con.open() {
				return con, nil
			}
			_ = con.raw.Close()
		default:
			return dial(prc)
		}
	}
}

func dial(prc *process) (*conn, error) {
	raw, err := net.DialTimeout("tcp", prc.set.CallerAddress, dialTime)
	return &conn{raw: raw, rdr: bufio.NewReader(raw)}, err
}

// open reports whether the VM has not closed the connection.
func (con *conn) open() bool {
	_ = con.raw.SetReadDeadline(time.Now().Add(peekTime))
	_, err := con.rdr.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// errLast ends requests behind an answer that closes the connection.
var errLast = errors.New("an earlier answer was the last of the connection")

// exchange sends requests at once and reads their answers. It reports whether the
// connection can be kept.
func (con *conn) exchange(ones []sent, key string) bool {
	wrt := bufio.NewWriter(con.raw)
	var err error
	for idx := range ones {
		err = errors.Join(err, ones[idx].write(wrt, key))
	}
	err = errors.Join(err, wrt.Flush())
	wrote := time.Now()
	_ = con.raw.SetReadDeadline(wrote.Add(requestTime + time.Second))
	for idx := range ones {
		one, last := &ones[idx], false
		if err == nil {
			one.response, last, err = con.read()
		}
		if err != nil {
			one.end(wrote, idx > 0, err)
		} else if last {
			err = errLast
		}
	}
	if err != nil {
		_ = con.raw.Close()
	}
	return err == nil
}

// read reads a whole answer, and whether it is the last of the connection.
func (con *conn) read() (res playground.Response, last bool, err error) {
	rsp, err := http.ReadResponse(con.rdr, nil)
	if err != nil {
		return res, false, err
	}
	defer func() { _ = rsp.Body.Close() }()
	res, err = playground.ReadResponse(rsp)
	return res, rsp.Close, err
}

func (one *sent) write(dst io.Writer, key string) error {
	method := http.MethodGet
	if one.once {
		method = http.MethodPost
	}
	req, err := playground.NewRequest(context.Background(), one.vm.set.CallerAddress, method, one.path, one.id, key, requestTime)
	if err == nil {
		err = req.Write(dst)
	}
	return err
}

// end notes that the connection ended without a whole answer, for which there is
// an excuse if the VM was paused or killed, or the time of the request was over.
func (one *sent) end(wrote time.Time, behind bool, err error) {
	one.failed = true
	now := time.Now()
	if now.Sub(one.at) < requestTime && !one.vm.hurt.after(one.at.Add(-hurtTime)) {
		one.cut = fmt.Sprintf("cut at %s, %v after it was sent: %v", stamp(now), now.Sub(wrote), err)
		one.crossed = behind || now.Sub(wrote) <= crossTime
	}
}

// stamp returns a time as the logs of VMs show it.
func stamp(at time.Time) string { return at.UTC().Format("15:04:05.000") }
