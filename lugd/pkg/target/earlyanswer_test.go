package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// earlyUploadBytes is more than the buffers of both sockets hold, so that the upload is still being written when the target answers.
	earlyUploadBytes = 24 << 20
	// earlyBodyBytes is the size of what the target sends of its body.
	earlyBodyBytes = 1000
	// earlyResetDelay is how long after its answer a target resets the connection.
	earlyResetDelay = 60 * time.Millisecond
)

// earlyTarget answers each request as soon as it has read its head, with a body that ends with the connection, and then ends
// the connection in its own way.
func earlyTarget(t *testing.T, head string, end func(con *net.TCPConn)) net.Listener {
	return listen(t, func(con net.Conn) {
		src := bufio.NewReader(con)
		if _, err := http.ReadRequest(src); err != nil {
			return
		}
		_, _ = con.Write(append([]byte(head), bytes.Repeat([]byte("a"), earlyBodyBytes)...))
		tcp, _ := con.(*net.TCPConn)
		end(tcp)
	})
}

const closeDelimitedHead = "HTTP/1.1 200 OK\r\n\r\n"

// resetLater resets a connection while the rest of the upload is on its way.
func resetLater(con *net.TCPConn) {
	time.Sleep(earlyResetDelay)
	_ = con.SetLinger(0)
	_ = con.Close()
}

// upload sends a long request to a target, pausing before it reads the body of the response.
func upload(t *testing.T, lis net.Listener, method string, prefix int, pause time.Duration) (body []byte, err error) {
	t.Helper()
	pol := New(Settings{DialTimeout: time.Second, IdlePerTarget: 2, BodyIdleTimeout: 5 * time.Second, BodyPrefixBytes: prefix, AllowCloseDelimited: true})
	req, rerr := http.NewRequest(method, "http://target/", bytes.NewReader(make([]byte, earlyUploadBytes)))
	if rerr != nil {
		t.Fatal(rerr)
	}
	rsp, fail := pol.Send(context.Background(), Call{Address: lis.Addr().String(), Timeout: 5 * time.Second, MaxConnections: 2}, req)
	if fail != nil {
		return nil, fail
	}
	defer func() { _ = rsp.Body.Close() }()
	time.Sleep(pause)
	body = rsp.BodyPrefix
	if rest := rsp.Rest(); rest != nil {
		var more []byte
		more, err = io.ReadAll(rest)
		body = append(body, more...)
	}
	return body, err
}

// TestResetDuringAnUploadDoesNotEndABody lets a target answer a long upload at once, with a body that ends with the connection, and reset that
// while the upload is still being written. The goroutine that writes takes the error from the kernel, and the one that reads the
// response sees a plain end: the part must not count as the whole body.
func TestResetDuringAnUploadDoesNotEndABody(t *testing.T) {
	lis := earlyTarget(t, closeDelimitedHead, resetLater)
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		for _, prefix := range []int{0, 500, 64 << 10} {
			for _, pause := range []time.Duration{0, 2 * earlyResetDelay} {
				t.Run(fmt.Sprintf("%s, prefix %d, reading after %v", method, prefix, pause), func(t *testing.T) {
					if body, err := upload(t, lis, method, prefix, pause); err == nil {
						t.Errorf("%d bytes count as the whole body", len(body))
					}
				})
			}
		}
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole lets a target answer a long upload at once, and end its side of the connection in order. Its answer is
// whole, also where the connection is reset after that since the upload goes on, and where the body has a length.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	withLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", earlyBodyBytes)
	for _, tst := range []struct {
		name, head string
		end        func(con *net.TCPConn)
	}{
		{"reads on", closeDelimitedHead, func(con *net.TCPConn) {
			_ = con.CloseWrite()
			_, _ = io.Copy(io.Discard, con)
			_ = con.Close()
		}},
		{"reads no more", closeDelimitedHead, func(con *net.TCPConn) {
			_ = con.CloseWrite()
			time.Sleep(earlyResetDelay)
			_ = con.Close()
		}},
		{"reset behind a length", withLength, resetLater},
	} {
		for _, prefix := range []int{0, 500, 64 << 10} {
			for _, pause := range []time.Duration{0, 2 * earlyResetDelay} {
				t.Run(fmt.Sprintf("%s, prefix %d, reading after %v", tst.name, prefix, pause), func(t *testing.T) {
					body, err := upload(t, earlyTarget(t, tst.head, tst.end), http.MethodPost, prefix, pause)
					if err != nil || len(body) != earlyBodyBytes {
						t.Errorf("got %d bytes, %v", len(body), err)
					}
				})
			}
		}
	}
}

// TestResetIsTheFailureOfABody checks that a body which a reset cuts fails as one that the target closed, since the end of its process is
// judged by that.
func TestResetIsTheFailureOfABody(t *testing.T) {
	_, err := upload(t, earlyTarget(t, closeDelimitedHead, resetLater), http.MethodPost, 0, 0)
	if !errors.Is(err, syscall.ECONNRESET) || !closedByPeer(err) {
		t.Errorf("got %v", err)
	}
}
