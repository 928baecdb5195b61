package playground

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
	"marigoldlug.example/platform/pkg/objects"
)

const (
	// slowPause is for how long the slow ends of connections read nothing: longer than a machine may leave what is sent unanswered.
	slowPause = 6500 * time.Millisecond
	// slowTimeout is the timeout of the requests, and of their route.
	slowTimeout = 15 * time.Second
	// slowResponseBytes and slowBodyBytes are more than the buffers of the connections hold.
	slowResponseBytes = 16 << 20
	slowBodyBytes     = 8 << 20
)

var slowNote = strings.ReplaceAll(Note, "timeout: 2s", "timeout: "+slowTimeout.String())

// slowTarget answers reads with long responses, and reads the body of an order only after slowPause.
type slowTarget struct{}

// ServeHTTP answers one request.
func (*slowTarget) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	length := 0
	switch {
	case req.Method == http.MethodPost:
		time.Sleep(slowPause)
		cnt, err := io.Copy(io.Discard, req.Body)
		if err != nil || cnt != slowBodyBytes {
			return
		}
	case strings.HasSuffix(req.URL.Path, "/long"):
		length = slowResponseBytes
	}
	wrt.Header().Set(objects.Names().Request, req.Header.Get(objects.Names().Request))
	wrt.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = wrt.Write(make([]byte, length))
}

// slowCaller sends two requests on a connection with a small receive buffer, reads nothing for slowPause, and returns the
// lengths of the responses that it reads then.
func slowCaller(address string) ([]int64, error) {
	dlr := net.Dialer{Control: socket.ReceiveBuffer(8 << 10)}
	con, err := dlr.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = con.Close() }()
	for _, path := range []string{"/recipes/long", "/recipes/short"} {
		req, err := NewRequest(context.Background(), address, http.MethodGet, path, address+path, Key, slowTimeout)
		if err != nil {
			return nil, err
		}
		if err := req.Write(con); err != nil {
			return nil, err
		}
	}
	time.Sleep(slowPause)
	_ = con.SetDeadline(time.Now().Add(slowTimeout))
	var lengths []int64
	src := bufio.NewReader(con)
	for range 2 {
		rsp, err := http.ReadResponse(src, nil)
		if err != nil {
			return lengths, err
		}
		cnt, err := io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
		if err != nil {
			return lengths, fmt.Errorf("status %d, %d bytes: %w", rsp.StatusCode, cnt, err)
		}
		lengths = append(lengths, cnt)
	}
	return lengths, nil
}

// sendSlowOrder sends an order with a body that its target does not take for slowPause, and returns the status.
func sendSlowOrder(address string) (int, error) {
	req, err := NewRequest(context.Background(), address, http.MethodPost, "/orders/x", address+"order", Key, slowTimeout)
	if err != nil {
		return 0, err
	}
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", slowBodyBytes))), slowBodyBytes
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return rsp.StatusCode, rsp.Body.Close()
}

// TestSlowEndsOfConnectionsAreNotTakenForDead has a caller, and a target of a request with a body, read nothing for longer than a machine
// may leave what is sent unanswered, directly and through another VM that forwards. Their kernels answer all the while, so
// no connection may be closed: the caller must get its responses, and the order its answer.
func TestSlowEndsOfConnectionsAreNotTakenForDead(t *testing.T) {
	lnk := NewLinks()
	pgr, err := Start(context.Background(), Settings{VMs: 3, Log: io.Discard, Note: slowNote, Links: map[int]*Links{0: lnk}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pgr.Close)
	settle()
	for num := range 6 {
		address, closeServer, err := Serve(new(slowTarget))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeServer)
		if err := pgr.Register(fmt.Sprint("slow-", num), address, 6); err != nil {
			t.Fatal(err)
		}
	}
	settle()
	for num := range 6 {
		pgr.send(0, http.MethodGet, "/recipes/x", fmt.Sprint("warm-", num), Key)
	}
	lnk.Cut(true)
	for num := range 20 {
		pgr.send(0, http.MethodGet, "/recipes/x", fmt.Sprint("cut-", num), Key)
		time.Sleep(50 * time.Millisecond)
	}
	if res := pgr.send(0, http.MethodGet, "/recipes/x", "forwarded", Key); res.Status != http.StatusOK {
		t.Fatalf("the VM without a path is not served by the other one: %+v", res)
	}
	for num, name := range []string{"through another VM", "directly"} {
		t.Run("caller "+name, func(t *testing.T) {
			t.Parallel()
			lengths, err := slowCaller(pgr.CallerAddresses[num])
			if err != nil || len(lengths) != 2 || lengths[0] != slowResponseBytes {
				t.Errorf("got responses of %v bytes, then %v", lengths, err)
			}
		})
		t.Run("target "+name, func(t *testing.T) {
			t.Parallel()
			if status, err := sendSlowOrder(pgr.CallerAddresses[num]); err != nil || status != http.StatusOK {
				t.Errorf("got status %d, %v", status, err)
			}
		})
	}
}
